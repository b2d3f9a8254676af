package io.jackdawring.fleet

import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** The thread that owns all decisions of the process. */
interface ControlLoop {
    /** Steady time in milliseconds. */
    fun nowMillis(): Long

    /** Runs [action] on the control thread; may be called from any thread. */
    fun execute(action: () -> Unit)

    /** Runs [action] on the control thread after [delayMillis]. */
    fun schedule(
        delayMillis: Long,
        action: () -> Unit,
    )
}

internal class RealControlLoop(
    private val executor: ScheduledExecutorService,
) : ControlLoop {
    override fun nowMillis(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    override fun execute(action: () -> Unit) =
        try {
            executor.execute(action)
        } catch (_: RejectedExecutionException) {
            // The process is closing; nothing is decided any more.
        }

    override fun schedule(
        delayMillis: Long,
        action: () -> Unit,
    ) {
        try {
            executor.schedule(action, delayMillis, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            // The process is closing; nothing is decided any more.
        }
    }
}
