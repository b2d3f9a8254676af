package io.jackdawring.core

/**
 * Detects that the process was paused, and delays task starts until the events of the pause are handled.
 *
 * Notices that a target is leaving may be queued behind older events after a pause.
 */
internal class PauseDetector {
    private var lastEventMillis: Long? = null
    private var catchUpUntilMillis = Long.MIN_VALUE

    /** Records that an event is handled at [nowMillis]. */
    fun onEvent(nowMillis: Long) {
        val last = lastEventMillis
        if (last != null && nowMillis - last > MIN_PAUSE_MILLIS) catchUpUntilMillis = nowMillis + CATCH_UP_MILLIS
        lastEventMillis = nowMillis
    }

    /** Whether task starts are still delayed after a pause. */
    fun isCatchingUp(nowMillis: Long): Boolean = nowMillis < catchUpUntilMillis

    /** End of the current delay, or null if there is none. */
    fun nextTimerMillis(): Long? = catchUpUntilMillis.takeIf { it > (lastEventMillis ?: Long.MAX_VALUE) }

    private companion object {
        // Gossip timers run every second, so a longer gap between two events means that the process did not run.
        const val MIN_PAUSE_MILLIS = 2_000L

        // Long enough to drain the socket buffers, short compared with the run times of tasks.
        const val CATCH_UP_MILLIS = 50L
    }
}
