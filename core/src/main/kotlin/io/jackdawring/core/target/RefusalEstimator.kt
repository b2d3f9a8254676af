package io.jackdawring.core.target

/**
 * Estimates the probability that a target refuses a start as busy, from the free slots in its last usage report and
 * the age of that report.
 *
 * Every new report shows whether a start would have been refused, so the estimate follows the load of the fleet without
 * extra messages.
 */
internal class RefusalEstimator {
    private val probabilities =
        DoubleArray(FREE_SLOT_BUCKETS * AGE_BUCKETS) { index ->
            if (index < AGE_BUCKETS) INITIAL_WHEN_FULL else INITIAL_WHEN_FREE * (index % AGE_BUCKETS)
        }

    /** Estimate for a target that had [freeSlots] free slots [ageMillis] ago; a negative age means no report. */
    fun probability(
        freeSlots: Int,
        ageMillis: Long,
    ): Double = probabilities[bucket(freeSlots, ageMillis)]

    fun learn(
        freeSlots: Int,
        ageMillis: Long,
        wouldBeRefused: Boolean,
    ) {
        val bucket = bucket(freeSlots, ageMillis)
        probabilities[bucket] += LEARNING_RATE * ((if (wouldBeRefused) 1.0 else 0.0) - probabilities[bucket])
    }

    private fun bucket(
        freeSlots: Int,
        ageMillis: Long,
    ): Int {
        // Age bucket 0 is for targets without any report, 1 is less than 1 ms, 2 is 1 ms, 3 is 2 to 3 ms, …
        val age =
            if (ageMillis < 0) 0 else minOf(AGE_BUCKETS - 1, 1 + Long.SIZE_BITS - ageMillis.countLeadingZeroBits())
        return freeSlots.coerceIn(0, FREE_SLOT_BUCKETS - 1) * AGE_BUCKETS + age
    }

    private companion object {
        /** 0, 1, 2, 3, and 4 or more free slots. */
        const val FREE_SLOT_BUCKETS = 5

        /** Distinguishes ages up to 2 s; older reports have little predictive value. */
        const val AGE_BUCKETS = 14

        /** Averages about the last 50 reports of a bucket, so that the estimate follows a burst within a second. */
        const val LEARNING_RATE = 0.02
        const val INITIAL_WHEN_FULL = 0.9
        const val INITIAL_WHEN_FREE = 0.004
    }
}
