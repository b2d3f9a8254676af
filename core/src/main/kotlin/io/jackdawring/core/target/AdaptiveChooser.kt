package io.jackdawring.core.target

import kotlin.math.max
import kotlin.math.min
import kotlin.random.Random

/**
 * Chooses the target with the lowest estimated cost from a sample of targets with room.
 *
 * The expected number of busy refusals is bounded by a budget that grows with every start.
 */
internal class AdaptiveChooser(
    private val random: Random,
    private val spareSlots: Int,
) : TargetChooser {
    val refusals = RefusalEstimator()
    private var budget = BUDGET_MAX

    /** Slots that must stay free on a target where this instance has its fair share. */
    private var margin = spareSlots
    private var best: PooledTarget? = null
    private var bestCost = 0.0
    private var bestProbability = 0.0

    override fun choose(
        service: ServiceTargets,
        need: TaskNeed,
        nowMillis: Long,
    ): PooledTarget? {
        if (service.isKeptFrom(need, nowMillis)) {
            service.noRoomAtMillis = nowMillis
            return null
        }
        best = null
        val limit = max(FREE_PROBABILITY, min(MAX_PROBABILITY, budget))
        // Special needs are rare; a sample could miss the few targets that meet them.
        val sampleSize = if (service.everyTargetFits(need)) SAMPLE_SIZE else Int.MAX_VALUE
        val sampled = service.withRoom.shuffleFront(sampleSize, random)
        for (index in 0 until sampled) {
            consider(service.withRoom[index], need, nowMillis, limit)
        }
        service.lastAnswered?.let {
            if (it.indexed.place == IndexedState.Place.WITH_ROOM) {
                consider(it, need, nowMillis, limit)
            }
        }
        if (best == null) considerFull(service, need, nowMillis, limit)
        val chosen = best
        service.onChoice(need, chosen != null, nowMillis)
        if (chosen == null) {
            service.noRoomAtMillis = nowMillis
        } else {
            budget = min(BUDGET_MAX, budget + BUDGET_PER_START - bestProbability)
        }
        best = null
        return chosen
    }

    private fun considerFull(
        service: ServiceTargets,
        need: TaskNeed,
        nowMillis: Long,
        limit: Double,
    ) {
        val forced = mayForce(service, nowMillis)
        val topClass = service.isTopClass(need, nowMillis)
        margin = if (topClass) min(TOP_CLASS_MARGIN, spareSlots) else spareSlots
        val accepted =
            when {
                forced -> 1.0
                topClass -> max(limit, TOP_CLASS_MAX_PROBABILITY)
                else -> limit
            }
        val sampled = service.full.shuffleFront(FULL_SAMPLE_SIZE, random)
        for (index in 0 until sampled) {
            consider(service.full[index], need, nowMillis, accepted)
        }
        margin = spareSlots
        if (forced && best != null) service.nextForcedMillis = nowMillis + FORCED_INTERVAL_MILLIS
    }

    /** Whether this instance has been far below its fair share for a while, so that a refusal is worth the risk. */
    private fun mayForce(
        service: ServiceTargets,
        nowMillis: Long,
    ): Boolean {
        if (service.inFlight >= max(1.0, service.fairShares * STARVED_SHARE)) return false
        val outdated = nowMillis > service.nextForcedMillis + FORCED_INTERVAL_MILLIS
        if (outdated) service.nextForcedMillis = nowMillis + FORCED_INTERVAL_MILLIS
        return nowMillis >= service.nextForcedMillis
    }

    private fun consider(
        target: PooledTarget,
        need: TaskNeed,
        nowMillis: Long,
        limit: Double,
    ) {
        if (!target.fits(need)) return
        val probability = probability(target, nowMillis)
        val accepted =
            when {
                target.hasOwnShare -> max(limit, MAX_OWN_SHARE_PROBABILITY)
                target.knownAtMillis < 0 -> max(limit, min(MAX_UNKNOWN_PROBABILITY, budget))
                else -> limit
            }
        if (probability > accepted) return
        val cost = target.cost(need, nowMillis) + probability * REFUSAL_COST_MILLIS
        if (best == null || cost < bestCost) {
            best = target
            bestCost = cost
            bestProbability = probability
        }
    }

    private fun probability(
        target: PooledTarget,
        nowMillis: Long,
    ): Double {
        val ageMillis = target.ageMillis(nowMillis)
        if (target.hasOwnShare) return OWN_SHARE_RISK * refusals.probability(target.free, ageMillis)
        // Nothing is known: the first start shows the usage, more would be guesses.
        if (ageMillis < 0) return if (target.free > 0) refusals.probability(target.free, ageMillis) else 1.0
        return refusals.probability(if (target.withinShare) target.free else target.free - margin, ageMillis)
    }

    private companion object {
        const val SAMPLE_SIZE = 8
        const val FULL_SAMPLE_SIZE = 8

        /**
         * The highest class is rare enough to take slots that are kept free for others, and to risk a refusal.
         *
         * Measured in the fleet model at twice the capacity, small jobs, 9 instances: a risk of 0.1 gives 0.0211 wasted
         * messages per task, 0.08 gives 0.0193.
         */
        const val TOP_CLASS_MARGIN = 1
        const val TOP_CLASS_MAX_PROBABILITY = 0.08

        /** Expected refusals allowed per borrowed slot; the aim is at most 0.02 wasted messages per task in all. */
        const val BUDGET_PER_START = 0.01

        /** Lets an instance that was idle try a few targets at once. */
        const val BUDGET_MAX = 3.0

        /** A borrowed slot with a risk up to this is allowed even when the budget is used up. */
        const val FREE_PROBABILITY = 0.01
        const val MAX_PROBABILITY = 0.05

        /**
         * Risk of a start within the fair share relative to one above it, because borrowers leave slots free.
         *
         * Measured in the fleet model at 80% load: 0.25 without an upper bound gives 0.0127 busy refusals per task, 0.5
         * with the bound gives 0.0114.
         */
        const val OWN_SHARE_RISK = 0.5
        const val MAX_OWN_SHARE_PROBABILITY = 0.45

        /** Targets that have not answered yet are worth a higher risk, because only a start shows their usage. */
        const val MAX_UNKNOWN_PROBABILITY = 0.5

        /** A refusal wastes a message and uses up the retry budget, so a longer run time is preferred to the risk. */
        const val REFUSAL_COST_MILLIS = 1_000.0

        /** An instance with fewer starts than this part of its fair share tries targets that seem to be full. */
        const val STARVED_SHARE = 0.75
        const val FORCED_INTERVAL_MILLIS = 500L
    }
}
