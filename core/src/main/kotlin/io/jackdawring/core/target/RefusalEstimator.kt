package io.jackdawring.core.target

/**
 * Estimates the probability that a target refuses a start as busy, from the free slots that it had when it last
 * reported its usage and the age of that report.
 *
 * Every later report shows whether a start would have been refused, so the estimate follows the load of the fleet
 * without sending anything.
 */
internal class RefusalEstimator {
    private val probabilities =
        DoubleArray(FREE_BUCKETS * AGE_BUCKETS) { index ->
            if (index < AGE_BUCKETS) INITIAL_WHEN_FULL else INITIAL_WHEN_FREE * (index % AGE_BUCKETS)
        }

    /** Estimate for a target with [free] slots, [ageMillis] ago; a negative age means that nothing is known. */
    fun probability(
        free: Int,
        ageMillis: Long,
    ): Double = probabilities[bucket(free, ageMillis)]

    fun learn(
        free: Int,
        ageMillis: Long,
        wouldBeRefused: Boolean,
    ) {
        val bucket = bucket(free, ageMillis)
        probabilities[bucket] += LEARNING_RATE * ((if (wouldBeRefused) 1.0 else 0.0) - probabilities[bucket])
    }

    private fun bucket(
        free: Int,
        ageMillis: Long,
    ): Int {
        // Age bucket 0 is kept for targets without any report, 1 is less than 1 ms, 2 is 1 ms, 3 is 2 to 3 ms, …
        val age =
            if (ageMillis < 0) 0 else minOf(AGE_BUCKETS - 1, 1 + Long.SIZE_BITS - ageMillis.countLeadingZeroBits())
        return free.coerceIn(0, FREE_BUCKETS - 1) * AGE_BUCKETS + age
    }

    private companion object {
        /** 0, 1, 2, 3, and 4 or more free slots. */
        const val FREE_BUCKETS = 5

        /** Up to 4 s; older reports say little. */
        const val AGE_BUCKETS = 14

        /** About the last 50 reports of a bucket count, so that the estimate follows a burst within a second. */
        const val LEARNING_RATE = 0.02
        const val INITIAL_WHEN_FULL = 0.9
        const val INITIAL_WHEN_FREE = 0.004
    }
}
