package io.jackdawring.load

import org.HdrHistogram.ConcurrentHistogram

/** Records the ratios of response time to ideal response time for the complete answers of one class. */
internal class SlowdownRecorder {
    private val histogram = ConcurrentHistogram(MAX_SLOWDOWN * SCALE, SIGNIFICANT_DIGITS)

    fun record(
        responseNanos: Long,
        idealMillis: Long,
    ) {
        val scaled = responseNanos * SCALE / (idealMillis * NANOS_PER_MILLI)
        histogram.recordValue(scaled.coerceIn(0, MAX_SLOWDOWN * SCALE))
    }

    fun toSlowdown(): Slowdown =
        Slowdown(
            answers = histogram.totalCount,
            mean = histogram.mean / SCALE,
            p99 = histogram.getValueAtPercentile(PERCENTILE) / SCALE.toDouble(),
        )

    private companion object {
        const val SCALE = 1_000L
        const val MAX_SLOWDOWN = 10_000L
        const val SIGNIFICANT_DIGITS = 3
        const val PERCENTILE = 99.0
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
