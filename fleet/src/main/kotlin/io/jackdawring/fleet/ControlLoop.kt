package io.jackdawring.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger("io.jackdawring.control")

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

/** Runs [action] now and every [intervalMillis] until it returns false; an error ends one round, not the series. */
internal fun ControlLoop.repeatEvery(
    intervalMillis: Long,
    action: () -> Boolean,
) {
    var goesOn = true
    try {
        goesOn = action()
    } finally {
        if (goesOn) schedule(intervalMillis) { repeatEvery(intervalMillis, action) }
    }
}

internal class RealControlLoop(
    private val executor: ScheduledExecutorService,
) : ControlLoop {
    override fun nowMillis(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    override fun execute(action: () -> Unit) =
        try {
            executor.execute { runLogged(action) }
        } catch (_: RejectedExecutionException) {
            // The process is closing; nothing is decided any more.
        }

    override fun schedule(
        delayMillis: Long,
        action: () -> Unit,
    ) {
        try {
            executor.schedule({ runLogged(action) }, delayMillis, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            // The process is closing; nothing is decided any more.
        }
    }

    /** The executor would drop the error of a scheduled action without a trace. */
    private fun runLogged(action: () -> Unit) =
        try {
            action()
        } catch (e: RuntimeException) {
            logger.error(e) { "an action of the control thread failed; the others go on" }
        }
}
