package io.jackdawring.core.claim

/** Permits [ratePerSecond] calls per second on average, and bursts of the same size. */
internal class TokenBucket(
    private val ratePerSecond: Int,
) {
    private var tokens = ratePerSecond.toDouble()
    private var updatedAtMillis = Long.MIN_VALUE

    fun tryTake(nowMillis: Long): Boolean {
        refill(nowMillis)
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    /** Time in milliseconds until the next call is permitted. */
    fun millisToNext(nowMillis: Long): Long {
        refill(nowMillis)
        if (ratePerSecond <= 0) return MILLIS_PER_SECOND
        return ((1.0 - tokens).coerceAtLeast(0.0) * MILLIS_PER_SECOND / ratePerSecond).toLong() + 1
    }

    private fun refill(nowMillis: Long) {
        if (updatedAtMillis != Long.MIN_VALUE) {
            val added = (nowMillis - updatedAtMillis).toDouble() * ratePerSecond / MILLIS_PER_SECOND
            tokens = minOf(ratePerSecond.toDouble(), tokens + added)
        }
        updatedAtMillis = nowMillis
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
