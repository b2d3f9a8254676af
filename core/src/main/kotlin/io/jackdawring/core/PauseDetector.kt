package io.jackdawring.core

/**
 * Notices that the process was paused and holds back task starts until it has caught up.
 *
 * News about leaving targets that arrived during the pause may be queued behind older events.
 */
internal class PauseDetector {
    private var lastEventMillis: Long? = null
    private var holdUntilMillis = Long.MIN_VALUE

    /** Notes that an event is handled at [nowMillis]. */
    fun onEvent(nowMillis: Long) {
        val last = lastEventMillis
        if (last != null && nowMillis - last > PAUSE_MILLIS) holdUntilMillis = nowMillis + CATCH_UP_MILLIS
        lastEventMillis = nowMillis
    }

    /** Whether no task may be started yet. */
    fun isHolding(nowMillis: Long): Boolean = nowMillis < holdUntilMillis

    /** End of the hold, or null if there is none. */
    fun nextTimerMillis(): Long? = holdUntilMillis.takeIf { it > (lastEventMillis ?: Long.MAX_VALUE) }

    private companion object {
        // Gossip timers run every second, so a longer gap between two events means that the process did not run.
        const val PAUSE_MILLIS = 2_000L

        // Long enough to read what waits in the sockets, short against the run times of tasks.
        const val CATCH_UP_MILLIS = 50L
    }
}
