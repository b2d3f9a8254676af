package io.jackdawring.core.configuration

import kotlin.random.Random

/** Jittered delays with a bound that doubles with every failure, from [BASE_MILLIS] to [MAX_MILLIS]. */
internal class Backoff(
    private val random: Random,
) {
    private var failures = 0

    fun reset() {
        failures = 0
    }

    /** The next delay: between half of the bound and the bound, so that instances don't retry at the same time. */
    fun nextDelayMillis(): Long {
        val boundMillis = minOf(MAX_MILLIS, BASE_MILLIS shl minOf(failures, MAX_DOUBLINGS))
        failures++
        return boundMillis / 2 + random.nextLong(boundMillis / 2 + 1)
    }

    companion object {
        const val BASE_MILLIS = 100L

        /** Below the 4 s within which a published configuration must be in force everywhere. */
        const val MAX_MILLIS = 2_000L
        private const val MAX_DOUBLINGS = 10
    }
}
