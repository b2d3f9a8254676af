package io.jackdawring.core.shard.interference

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/**
 * Learns which kinds of task lengthen the runs of which others, from runs with and without them.
 *
 * The runs of a kind are compared with each other, so errors that all of them share cancel, such as that of the queue's
 * declared durations. [onChanged] is called when a pair is kept apart or no longer is.
 */
internal class InterferenceModel(
    private val onChanged: (Pair) -> Unit,
) {
    /** An ordered pair of kinds: runs of [kind] take [factor] times as long beside [neighbour]. */
    data class Pair(
        val kind: Int,
        val neighbour: Int,
        val factor: Double,
    )

    private class Estimate(
        val effect: Double,
        val standardError: Double,
    ) {
        fun exceeds(
            factor: Double,
            margin: Double,
        ) = effect - margin * standardError > ln(factor)
    }

    private val kinds = arrayOfNulls<KindEvidence>(KindTable.SIZE)
    private val pairs = Array(KindTable.SIZE) { arrayOfNulls<PairEvidence>(KindTable.SIZE) }
    private var orderedPairsApart = 0

    /** Whether any pair is kept apart. */
    val hasPairsApart: Boolean get() = orderedPairsApart > 0

    /** Whether tasks of [kind] and [other] are kept apart. */
    fun areApart(
        kind: Int,
        other: Int,
    ): Boolean = pairs[kind][other]?.isApart == true || pairs[other][kind]?.isApart == true

    /** Adds a run that took [observedMillis] and had [neighbours]; [weight] is 1 for an independent observation. */
    fun add(
        neighbours: RunNeighbours,
        observedMillis: Long,
        expectedMillis: Long,
        weight: Double,
        nowMillis: Long,
    ) {
        val kind = neighbours.kind
        val ratio = (observedMillis + SLACK_MILLIS) / (expectedMillis + SLACK_MILLIS)
        val value = ln(ratio.coerceIn(1 / MAX_RATIO, MAX_RATIO))
        val evidence = kinds[kind] ?: KindEvidence().also { kinds[kind] = it }
        evidence.decay(nowMillis)
        evidence.add(value, weight)
        for (other in 0 until neighbours.kinds) {
            val share = neighbours.share(other)
            if (share <= 0) continue
            val pair = pairs[kind][other] ?: PairEvidence().also { pairs[kind][other] = it }
            pair.decay(nowMillis)
            pair.add(value, weight, neighbours.earlyShare(other), share)
            update(kind, other, pair)
        }
    }

    /** Applies the loss of weight to all pairs; those without enough evidence left are placed together again. */
    fun decay(nowMillis: Long) {
        for (kind in pairs.indices) {
            val evidence = kinds[kind] ?: continue
            evidence.decay(nowMillis)
            for (other in pairs.indices) {
                val pair = pairs[kind][other] ?: continue
                pair.decay(nowMillis)
                update(kind, other, pair)
                if (pair.isNegligible) pairs[kind][other] = null
            }
        }
    }

    /** Forgets all that is known of [kind]. */
    fun forget(kind: Int) {
        kinds[kind] = null
        for (other in pairs.indices) {
            forget(kind, other)
            forget(other, kind)
        }
    }

    /** Forgets all pairs that are kept apart. */
    fun forgetAll() = pairs.indices.forEach(::forget)

    private fun forget(
        kind: Int,
        other: Int,
    ) {
        val pair = pairs[kind][other] ?: return
        set(kind, other, pair, null)
        pairs[kind][other] = null
    }

    private fun update(
        kind: Int,
        other: Int,
        pair: PairEvidence,
    ) {
        val evidence = kinds[kind] ?: return
        val estimate = estimate(evidence, pair)
        val isApart =
            when {
                estimate == null -> false
                pair.isApart -> estimate.exceeds(END_FACTOR, END_MARGIN)
                minOf(pair.weight, evidence.weight - pair.weight) < MIN_WEIGHT -> false
                else -> estimate.exceeds(START_FACTOR, START_MARGIN)
            }
        set(kind, other, pair, estimate?.effect?.takeIf { isApart })
    }

    /** Keeps a pair apart that has [effect], or places it together again if that is null. */
    private fun set(
        kind: Int,
        other: Int,
        pair: PairEvidence,
        effect: Double?,
    ) {
        val wereApart = areApart(kind, other)
        if (pair.isApart != (effect != null)) orderedPairsApart += if (effect != null) 1 else -1
        pair.isApart = effect != null
        if (areApart(kind, other) != wereApart) onChanged(Pair(kind, other, exp(effect ?: 0.0)))
    }

    /** The effect of the neighbour on a run beside which it is present all the time; null if it cannot be told. */
    private fun estimate(
        evidence: KindEvidence,
        pair: PairEvidence,
    ): Estimate? {
        val beside = pair.weight
        val without = evidence.weight - beside
        if (beside <= 0 || without <= 0) return null
        val shareDifference = pair.shares / beside - (pair.allShares - pair.shares) / without
        if (shareDifference < MIN_SHARE_DIFFERENCE) return null
        val difference = pair.sum / beside - (evidence.sum - pair.sum) / without
        val standardError = sqrt(evidence.variance * (1 / beside + 1 / without))
        return Estimate(difference / shareDifference, standardError / shareDifference)
    }

    private companion object {
        /** Added to both durations, so that delays of messages do not make short runs look slow. */
        const val SLACK_MILLIS = 20.0

        /** Limits the influence of a run that takes much longer for another reason. */
        const val MAX_RATIO = 4.5

        /** Observations that are needed with the neighbour and without it. */
        const val MIN_WEIGHT = 12.0

        /** With a smaller difference, small errors of the durations would count as large effects. */
        const val MIN_SHARE_DIFFERENCE = 0.2

        /**
         * Factor, and margin in standard errors, from which on a pair is kept apart.
         *
         * The margin is wide because thousands of pairs are tested again and again: in simulated loads without interference,
         * a margin of 2.5 gave false pairs within a minute, and one of 3 none.
         */
        const val START_FACTOR = 1.15
        const val START_MARGIN = 3.5

        /** Factor and margin down to which a pair is kept apart; lower, so that pairs do not alternate. */
        const val END_FACTOR = 1.1
        const val END_MARGIN = 2.5
    }
}
