package io.jackdawring.core.shard.interference

import kotlin.math.pow

/** Weight that sums keep after [millis]. */
private fun keptWeight(millis: Long) = 0.5.pow(millis / Evidence.HALF_LIFE_MILLIS)

/** Weighted sums over runs of kinds; old observations lose weight. */
internal object Evidence {
    /**
     * Time in which an observation loses half of its weight.
     *
     * Long enough for some hundred runs of a pair that meets a few times a second, short enough to place a pair together
     * again within minutes after its interference has ended.
     */
    const val HALF_LIFE_MILLIS = 15_000.0
}

/** Logarithms of observed over expected durations of the runs of one kind. */
internal class KindEvidence {
    var weight = 0.0
        private set
    var sum = 0.0
        private set
    private var squares = 0.0
    private var updatedAtMillis = 0L

    /** Variance of a single observation. */
    val variance: Double
        get() = if (weight > 0) maxOf(MIN_VARIANCE, squares / weight - (sum / weight).pow(2)) else MIN_VARIANCE

    fun decay(nowMillis: Long) {
        val kept = keptWeight(nowMillis - updatedAtMillis)
        updatedAtMillis = nowMillis
        weight *= kept
        sum *= kept
        squares *= kept
    }

    fun add(
        value: Double,
        valueWeight: Double,
    ) {
        weight += valueWeight
        sum += valueWeight * value
        squares += valueWeight * value * value
    }

    private companion object {
        /** Spread of 0.2, so that a few equal durations are not taken for certainty. */
        const val MIN_VARIANCE = 0.04
    }
}

/** Runs of one kind beside which another one ran; the sums over all runs of the kind are in [KindEvidence]. */
internal class PairEvidence {
    /** Number of the runs, each with the share of its early part that the neighbour was present. */
    var weight = 0.0
        private set

    /** Sum of their observations. */
    var sum = 0.0
        private set

    /** Sum of the shares of their whole time that the neighbour was present. */
    var shares = 0.0
        private set

    /** Sum of the shares over all runs of the kind. */
    var allShares = 0.0
        private set
    private var updatedAtMillis = 0L

    /** Whether the pair is kept apart. */
    var isApart = false

    val isNegligible: Boolean get() = weight < NEGLIGIBLE_WEIGHT && !isApart

    fun decay(nowMillis: Long) {
        val kept = keptWeight(nowMillis - updatedAtMillis)
        updatedAtMillis = nowMillis
        weight *= kept
        sum *= kept
        shares *= kept
        allShares *= kept
    }

    /** Adds a run beside which the neighbour was present for [share] of its time and [earlyShare] of its early part. */
    fun add(
        value: Double,
        valueWeight: Double,
        earlyShare: Double,
        share: Double,
    ) {
        val besideWeight = valueWeight * earlyShare
        weight += besideWeight
        sum += besideWeight * value
        shares += besideWeight * share
        allShares += valueWeight * share
    }

    private companion object {
        const val NEGLIGIBLE_WEIGHT = 1e-3
    }
}
