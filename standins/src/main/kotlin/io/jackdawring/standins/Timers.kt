package io.jackdawring.standins

import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Runs delayed actions on a separate thread, so that event loops never block. */
interface Timers : AutoCloseable {
    /** Monotonic time. */
    fun nowMillis(): Long

    /** Runs [action] after [delayNanos]. */
    fun scheduleNanos(
        delayNanos: Long,
        action: () -> Unit,
    ): TimerHandle

    /** Runs [action] after [delayMillis]. */
    fun schedule(
        delayMillis: Long,
        action: () -> Unit,
    ): TimerHandle = scheduleNanos(TimeUnit.MILLISECONDS.toNanos(delayMillis), action)

    override fun close()
}

/** A scheduled action. */
fun interface TimerHandle {
    /** Prevents the action from running if it has not started. */
    fun cancel()
}

/** Returns [Timers] backed by one daemon thread. */
fun realTimers(): Timers = RealTimers()

internal class RealTimers : Timers {
    private val executor =
        ScheduledThreadPoolExecutor(1) { task -> Thread(task, "standin-timers").apply { isDaemon = true } }.apply {
            removeOnCancelPolicy = true
            // After close() new actions are dropped: delayed responses of a closed stand-in have no receiver.
            rejectedExecutionHandler = ThreadPoolExecutor.DiscardPolicy()
        }

    override fun nowMillis(): Long = System.nanoTime() / 1_000_000

    override fun scheduleNanos(
        delayNanos: Long,
        action: () -> Unit,
    ): TimerHandle {
        val future = executor.schedule(action, delayNanos, TimeUnit.NANOSECONDS)
        return TimerHandle { future.cancel(false) }
    }

    override fun close() {
        executor.shutdownNow()
    }
}
