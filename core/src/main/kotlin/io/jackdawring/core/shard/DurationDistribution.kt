package io.jackdawring.core.shard

/**
 * Distribution of the durations of recent runs relative to the expected ones.
 *
 * Until [MIN_RUNS] runs are known, every run counts as being as long as expected.
 */
internal class DurationDistribution {
    private val weights = DoubleArray(BINS)
    private var total = 0.0
    private var runs = 0L
    private val isKnown: Boolean get() = runs >= MIN_RUNS

    /** Share of the runs beyond each bin. */
    private val shareBeyond = DoubleArray(BINS)

    /** Mean ratio of the runs beyond each bin. */
    private val meanBeyond = DoubleArray(BINS)

    /** Mean duration relative to the expected one. */
    var mean = 1.0
        private set

    /** Ratio that 99 of 100 runs do not exceed. */
    var upperEnd = 1.0
        private set

    /** Adds a run that took [ratio] times as long as expected. */
    fun add(ratio: Double) {
        weights[binOf(ratio)]++
        total++
        runs++
        if (total >= MAX_WEIGHT) {
            for (bin in weights.indices) weights[bin] /= 2.0
            total /= 2.0
        }
        if (isKnown && runs % UPDATE_INTERVAL == 0L) update()
    }

    private fun update() {
        var weight = 0.0
        var ratios = 0.0
        for (bin in weights.indices.reversed()) {
            shareBeyond[bin] = weight / total
            meanBeyond[bin] = if (weight > 0.0) ratios / weight else startOf(bin + 1)
            weight += weights[bin]
            ratios += weights[bin] * (startOf(bin) + startOf(bin + 1)) / 2
        }
        mean = ratios / total
        upperEnd = quantile(UPPER_SHARE)
    }

    /** Ratio that [share] of the runs do not exceed. */
    fun quantile(share: Double): Double {
        if (!isKnown) return 1.0
        val bin = shareBeyond.indexOfFirst { it <= 1 - share }
        return startOf(bin + 1)
    }

    /** Share of the runs that take more than [ratio] times as long as expected. */
    fun shareAbove(ratio: Double): Double = if (isKnown) shareBeyond[binOf(ratio)] else 0.0

    /** Mean remaining duration of a run that has lasted for [ratio]; both relative to the expected duration. */
    fun remaining(ratio: Double): Double =
        maxOf(MIN_REMAINING, if (isKnown) meanBeyond[binOf(ratio)] - ratio else 1 - ratio)

    private companion object {
        /** Bins are eighths of the powers of two: the exponent and the upper three bits of the mantissa of a ratio. */
        const val BIN_SHIFT = 49
        const val LOWEST_RATIO = 0.125

        /** Covers ratios of up to 16. */
        const val BINS = 56
        val LOWEST_BITS = LOWEST_RATIO.toRawBits() shr BIN_SHIFT

        /** Runs after which the distribution is used; the upper end of fewer ones is a matter of chance. */
        const val MIN_RUNS = 64L

        /** Total weight at which the earlier runs lose half of theirs, so that the distribution follows a change. */
        const val MAX_WEIGHT = 2_000.0
        const val UPDATE_INTERVAL = 16L
        const val UPPER_SHARE = 0.99

        /** A run is always assumed to need at least another quarter of its expected duration. */
        const val MIN_REMAINING = 0.25

        fun binOf(ratio: Double): Int =
            ((ratio.coerceAtLeast(LOWEST_RATIO).toRawBits() shr BIN_SHIFT) - LOWEST_BITS)
                .coerceAtMost(BINS - 1L)
                .toInt()

        /** Lower end of [bin], which is the upper end of the one before. */
        fun startOf(bin: Int): Double = Double.fromBits((LOWEST_BITS + bin) shl BIN_SHIFT)
    }
}
