package io.jackdawring.standins

/** Counts calls in windows of one second and determines which of them exceed a limit. */
internal class RateCap {
    private var window = Long.MIN_VALUE
    private var used = 0

    /** Whether a call at [nowMillis] is within [maxPerSecond]; 0 means no limit. */
    @Synchronized
    fun admits(
        nowMillis: Long,
        maxPerSecond: Int,
    ): Boolean {
        val current = Math.floorDiv(nowMillis, WINDOW_MILLIS)
        if (current != window) {
            window = current
            used = 0
        }
        used++
        return maxPerSecond == 0 || used <= maxPerSecond
    }

    private companion object {
        const val WINDOW_MILLIS = 1_000L
    }
}
