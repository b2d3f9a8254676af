package io.jackdawring.core

/**
 * Detects that the process was paused, and for how long it must not act on what it knew before.
 *
 * Messages that arrived meanwhile are handled in any order; among them may be requests whose callers have given up and
 * sent their jobs again. A pause shows as a gap between ticks, or, if the monotonic clock stood still, as a jump of
 * [unixMillis], the time of day.
 */
class PauseGuard(
    private val unixMillis: (() -> Long)? = null,
) {
    private var lastTickMillis = Long.MAX_VALUE
    private var clockDifferenceMillis = Long.MAX_VALUE
    private var settledAtMillis = Long.MIN_VALUE
    private var pausedSinceMillis = Long.MIN_VALUE
    private var uncountedMillis = 0L

    /** Must be called several times in [MIN_PAUSE_MILLIS]. */
    fun onTick(nowMillis: Long) {
        if (isOverdue(nowMillis)) {
            pausedSinceMillis = pausedSinceMillis(nowMillis)
            settledAtMillis = nowMillis + SETTLE_MILLIS
        }
        uncountedMillis += jumpMillis(nowMillis)
        lastTickMillis = nowMillis
        unixMillis?.let { clockDifferenceMillis = it() - nowMillis }
    }

    /** Whether the process may still have to handle what arrived during a pause. */
    fun isCatchingUp(nowMillis: Long): Boolean = nowMillis < settledAtMillis || isOverdue(nowMillis)

    /** Time at which a message that is read now has arrived at the earliest. */
    fun earliestArrivalMillis(nowMillis: Long): Long =
        when {
            isOverdue(nowMillis) -> pausedSinceMillis(nowMillis)
            nowMillis < settledAtMillis -> pausedSinceMillis
            else -> nowMillis
        }

    /** Beginning of the pause that ends now, or of the one before if what arrived in that was not read yet. */
    private fun pausedSinceMillis(nowMillis: Long): Long {
        val sinceMillis = lastTickMillis - jumpMillis(nowMillis)
        return if (lastTickMillis < settledAtMillis) minOf(sinceMillis, pausedSinceMillis) else sinceMillis
    }

    /** The monotonic time and the length of the pauses that the monotonic clock did not count. */
    fun elapsedMillis(nowMillis: Long): Long = nowMillis + uncountedMillis + jumpMillis(nowMillis)

    private fun isOverdue(nowMillis: Long): Boolean =
        nowMillis - lastTickMillis >= MIN_PAUSE_MILLIS || jumpMillis(nowMillis) > 0

    /** By how much the time of day has jumped since the last tick; 0 if that is no pause. */
    private fun jumpMillis(nowMillis: Long): Long {
        if (unixMillis == null || clockDifferenceMillis == Long.MAX_VALUE) return 0
        val millis = unixMillis() - nowMillis - clockDifferenceMillis
        return if (millis >= MIN_PAUSE_MILLIS) millis else 0
    }

    companion object {
        /** Well below the time after which callers send a job again, far above the interval of ticks. */
        const val MIN_PAUSE_MILLIS = 500L

        /** Time to read what arrived during a pause. */
        const val SETTLE_MILLIS = 50L
    }
}
