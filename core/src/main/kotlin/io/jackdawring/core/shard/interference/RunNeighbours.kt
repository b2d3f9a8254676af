package io.jackdawring.core.shard.interference

/** Which kinds were beside a run of [kind], and for how much of its time. */
internal class RunNeighbours(
    val kind: Int,
    /** Whether the duration of the run can be compared with the declared one. */
    val isMeasured: Boolean,
    private val startedAtMillis: Long,
    /** End of the early part of the run, which is chosen when it starts and so does not depend on its duration. */
    val earlyUntilMillis: Long,
    private val sumsAtStart: LongArray,
) {
    private var early: DoubleArray? = null
    private var whole: DoubleArray? = null

    /** Whether the early part of the run is not over. */
    val isEarly: Boolean get() = early == null

    /** Number of kinds of which the shares are known; all others were not beside the run. */
    val kinds: Int get() = whole?.size ?: 0

    /** Share of the early part of the run during which [kind] was beside it. */
    fun earlyShare(kind: Int): Double = early?.getOrNull(kind) ?: 0.0

    /** Share of the whole run during which [kind] was beside it. */
    fun share(kind: Int): Double = whole?.getOrNull(kind) ?: 0.0

    fun endEarly(
        sums: LongArray,
        nowMillis: Long,
    ) {
        early = shares(sums, nowMillis)
    }

    fun end(
        sums: LongArray,
        nowMillis: Long,
    ) {
        if (isEarly) endEarly(sums, nowMillis)
        whole = shares(sums, nowMillis)
    }

    private fun shares(
        sums: LongArray,
        nowMillis: Long,
    ): DoubleArray {
        val millis = (nowMillis - startedAtMillis).coerceAtLeast(1).toDouble()
        return DoubleArray(sums.size) { (sums[it] - sumsAtStart.getOrElse(it) { 0 }) / millis }
    }
}
