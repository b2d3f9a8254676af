package io.jackdawring.core.target

import kotlin.math.max
import kotlin.math.min
import kotlin.random.Random

/**
 * Chooses the target with the lowest estimated cost from a random sample of the targets with available slots.
 *
 * A budget that grows with every start bounds the expected number of busy refusals.
 */
internal class AdaptiveChooser(
    private val random: Random,
    private val spareSlots: Int,
) : TargetChooser {
    val refusals = RefusalEstimator()
    private var refusalBudget = MAX_BUDGET

    /** Slots that must stay free on a target where this instance already uses its fair share. */
    private var requiredFreeSlots = spareSlots
    private var best: PooledTarget? = null
    private var bestCost = 0.0
    private var bestRefusalProbability = 0.0

    override fun choose(
        service: ServiceTargets,
        requirements: TaskRequirements,
        nowMillis: Long,
    ): PooledTarget? {
        if (service.isReservedForHigherClass(requirements, nowMillis)) {
            service.noSlotAtMillis = nowMillis
            return null
        }
        best = null
        val maxProbability = max(UNBUDGETED_PROBABILITY, min(MAX_PROBABILITY, refusalBudget))
        // Unusual requirements are rare, and a sample could miss the few targets that meet them.
        val sampleSize = if (service.everyTargetFits(requirements)) SAMPLE_SIZE else Int.MAX_VALUE
        val sampled = service.available.shuffleFront(sampleSize, random)
        for (index in 0 until sampled) {
            consider(service.available[index], requirements, nowMillis, maxProbability)
        }
        service.lastAnswered?.let {
            if (it.indexed.targetSet == IndexedState.TargetSet.AVAILABLE) {
                consider(it, requirements, nowMillis, maxProbability)
            }
        }
        if (best == null) considerFullTargets(service, requirements, nowMillis, maxProbability)
        val chosen = best
        service.onChoice(requirements, chosen != null, nowMillis)
        if (chosen == null) {
            service.noSlotAtMillis = nowMillis
        } else {
            refusalBudget = min(MAX_BUDGET, refusalBudget + BUDGET_PER_START - bestRefusalProbability)
        }
        best = null
        return chosen
    }

    private fun considerFullTargets(
        service: ServiceTargets,
        requirements: TaskRequirements,
        nowMillis: Long,
        maxProbability: Double,
    ) {
        val forced = mayStartOnFullTarget(service, nowMillis)
        val topClass = service.isTopClass(requirements, nowMillis)
        requiredFreeSlots = if (topClass) min(TOP_CLASS_REQUIRED_FREE_SLOTS, spareSlots) else spareSlots
        val allowedProbability =
            when {
                forced -> 1.0
                topClass -> max(maxProbability, TOP_CLASS_MAX_PROBABILITY)
                else -> maxProbability
            }
        val sampled = service.full.shuffleFront(FULL_SAMPLE_SIZE, random)
        for (index in 0 until sampled) {
            consider(service.full[index], requirements, nowMillis, allowedProbability)
        }
        requiredFreeSlots = spareSlots
        if (forced && best != null) service.nextForcedStartMillis = nowMillis + FORCED_START_INTERVAL_MILLIS
    }

    /** Whether this instance has been far below its fair share long enough to risk a refusal by a full target. */
    private fun mayStartOnFullTarget(
        service: ServiceTargets,
        nowMillis: Long,
    ): Boolean {
        if (service.inFlight >= max(1.0, service.fairShares * STARVED_SHARE)) return false
        val outdated = nowMillis > service.nextForcedStartMillis + FORCED_START_INTERVAL_MILLIS
        if (outdated) service.nextForcedStartMillis = nowMillis + FORCED_START_INTERVAL_MILLIS
        return nowMillis >= service.nextForcedStartMillis
    }

    private fun consider(
        target: PooledTarget,
        requirements: TaskRequirements,
        nowMillis: Long,
        maxProbability: Double,
    ) {
        if (!target.fits(requirements)) return
        val probability = probability(target, nowMillis)
        val allowedProbability =
            when {
                target.hasUnusedShare -> max(maxProbability, MAX_OWN_SHARE_PROBABILITY)
                target.usageKnownAtMillis < 0 -> max(maxProbability, min(MAX_UNKNOWN_PROBABILITY, refusalBudget))
                else -> maxProbability
            }
        if (probability > allowedProbability) return
        val cost = target.cost(requirements, nowMillis) + probability * REFUSAL_COST_MILLIS
        if (best == null || cost < bestCost) {
            best = target
            bestCost = cost
            bestRefusalProbability = probability
        }
    }

    private fun probability(
        target: PooledTarget,
        nowMillis: Long,
    ): Double {
        val ageMillis = target.ageMillis(nowMillis)
        if (target.hasUnusedShare) return OWN_SHARE_RISK_RATIO * refusals.probability(target.freeSlots, ageMillis)
        // Without a usage report, a start is risked only while a slot is assumed to be free.
        if (ageMillis < 0) return if (target.freeSlots > 0) refusals.probability(target.freeSlots, ageMillis) else 1.0
        return refusals.probability(
            if (target.withinShare) target.freeSlots else target.freeSlots - requiredFreeSlots,
            ageMillis,
        )
    }

    private companion object {
        const val SAMPLE_SIZE = 8
        const val FULL_SAMPLE_SIZE = 8

        /**
         * The highest class is rare enough to use slots that are reserved for other instances, and to risk a refusal.
         *
         * In the fleet model at twice the capacity, with small jobs and 9 instances, a risk of 0.1 gives 0.0211 wasted
         * messages per task, 0.08 gives 0.0193.
         */
        const val TOP_CLASS_REQUIRED_FREE_SLOTS = 1
        const val TOP_CLASS_MAX_PROBABILITY = 0.08

        /** Expected refusals allowed per start; the objective is at most 0.02 wasted messages per task. */
        const val BUDGET_PER_START = 0.01

        /** Lets an instance that was idle start on a few uncertain targets at once. */
        const val MAX_BUDGET = 3.0

        /** Refusal probability up to which a slot may be borrowed even when the budget is exhausted. */
        const val UNBUDGETED_PROBABILITY = 0.01
        const val MAX_PROBABILITY = 0.05

        /**
         * Refusal probability of a start within the fair share relative to one above it; borrowers leave slots free.
         *
         * In the fleet model at 80% load, 0.25 without an upper bound gives 0.0127 busy refusals per task, 0.5
         * with the bound gives 0.0114.
         */
        const val OWN_SHARE_RISK_RATIO = 0.5
        const val MAX_OWN_SHARE_PROBABILITY = 0.45

        /** Targets without a usage report justify a higher risk, because only a start shows their usage. */
        const val MAX_UNKNOWN_PROBABILITY = 0.5

        /** A refusal wastes a message and a retry from the budget, so a longer run time is preferred to the risk. */
        const val REFUSAL_COST_MILLIS = 1_000.0

        /** Below this fraction of its fair share in flight, an instance tries targets that are believed full. */
        const val STARVED_SHARE = 0.75
        const val FORCED_START_INTERVAL_MILLIS = 500L
    }
}
