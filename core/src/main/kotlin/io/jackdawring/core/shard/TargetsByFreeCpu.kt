package io.jackdawring.core.shard

import java.util.TreeSet

/** Targets sorted by free CPU, so that searches skip full targets. */
internal class TargetsByFreeCpu(
    private val cost: DecisionCost,
) {
    private val ordered =
        TreeSet(compareByDescending<TrackedTarget> { it.free.cpuMillis }.thenBy { it.sequence })

    /** Removes [target]; must be called before its free CPU, the sort key, changes. */
    fun remove(target: TrackedTarget) {
        ordered.remove(target)
    }

    fun add(target: TrackedTarget) {
        ordered.add(target)
    }

    /** At most [MAX_CANDIDATES] [wanted] targets that accept tasks, with at least [cpuMillis] free, in descending order. */
    fun candidates(
        cpuMillis: Int,
        nowMillis: Long,
        wanted: (TrackedTarget) -> Boolean,
    ): Candidates {
        val found = ArrayList<TrackedTarget>()
        for (target in ordered) {
            cost.add()
            if (target.free.cpuMillis < cpuMillis) break
            if (!wanted(target) || !TargetSelector.acceptsTasks(target, nowMillis)) continue
            if (found.size == MAX_CANDIDATES) return Candidates(found, isComplete = false)
            found.add(target)
        }
        return Candidates(found, isComplete = true)
    }

    /** Targets found by a search; unless it [isComplete], there are others with less free CPU. */
    class Candidates(
        val targets: List<TrackedTarget>,
        val isComplete: Boolean,
    ) {
        private val largestFree = targets.fold(Resources()) { most, target -> most.elementwiseMax(target.free) }

        /** Whether no target can have enough free capacity for [demand]. */
        fun isTooSmall(demand: Resources): Boolean = isComplete && !demand.fitsInto(largestFree)
    }

    private companion object {
        /** Limits the cost of a selection; a larger sample hardly improves it. */
        const val MAX_CANDIDATES = 64
    }
}
