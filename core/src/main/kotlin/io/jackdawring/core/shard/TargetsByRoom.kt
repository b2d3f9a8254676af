package io.jackdawring.core.shard

import java.util.TreeSet

/** Targets in the order of their free processor capacity, so that full ones need no look. */
internal class TargetsByRoom(
    private val cost: DecisionCost,
) {
    private val ordered =
        TreeSet(compareByDescending<HeldTarget> { it.free.cpuMillis }.thenBy { it.sequence })

    /** Must be called before the room of [target] changes. */
    fun remove(target: HeldTarget) {
        ordered.remove(target)
    }

    fun add(target: HeldTarget) {
        ordered.add(target)
    }

    /** Usable targets that are [wanted] with at least [cpuMillis] free, the emptiest first; at most [MAX_CANDIDATES]. */
    fun candidates(
        cpuMillis: Int,
        nowMillis: Long,
        wanted: (HeldTarget) -> Boolean,
    ): List<HeldTarget> {
        val found = ArrayList<HeldTarget>()
        for (target in ordered) {
            cost.add()
            if (target.free.cpuMillis < cpuMillis || found.size == MAX_CANDIDATES) break
            if (wanted(target) && TargetChoice.isUsable(target, nowMillis)) found.add(target)
        }
        return found
    }

    private companion object {
        /** Bounds the work of a choice; a larger sample hardly improves it. */
        const val MAX_CANDIDATES = 64
    }
}
