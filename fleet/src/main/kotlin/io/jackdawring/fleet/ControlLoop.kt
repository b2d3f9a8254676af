package io.jackdawring.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger("io.jackdawring.control")

/** Schedules actions on the control thread, to which the mutable state of an entry instance is confined. */
interface ControlLoop {
    /** Monotonic time in milliseconds. */
    fun nowMillis(): Long

    /** Runs [action] on the control thread; may be called from any thread. */
    fun execute(action: () -> Unit)

    /** Runs [action] on the control thread after [delayMillis]. */
    fun schedule(
        delayMillis: Long,
        action: () -> Unit,
    )
}

/** Runs [action] now and every [intervalMillis] until it returns false; an exception does not stop the repetition. */
internal fun ControlLoop.repeatEvery(
    intervalMillis: Long,
    action: () -> Boolean,
) {
    var isRepeated = true
    try {
        isRepeated = action()
    } finally {
        if (isRepeated) schedule(intervalMillis) { repeatEvery(intervalMillis, action) }
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
            // The executor is shut down because the process is closing; the action is dropped.
        }

    override fun schedule(
        delayMillis: Long,
        action: () -> Unit,
    ) {
        try {
            executor.schedule({ runLogged(action) }, delayMillis, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            // The executor is shut down because the process is closing; the action is dropped.
        }
    }

    /** A scheduled executor swallows the exceptions of its actions, so they are logged here. */
    private fun runLogged(action: () -> Unit) =
        try {
            action()
        } catch (e: RuntimeException) {
            logger.error(e) { "action on the control thread failed" }
        }
}
