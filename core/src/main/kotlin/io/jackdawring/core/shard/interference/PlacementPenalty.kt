package io.jackdawring.core.shard.interference

import io.jackdawring.core.shard.TrackedTarget
import io.jackdawring.core.shard.TrackedTask

/** A term in the cost of running a task on a target. */
internal fun interface PlacementPenalty {
    /**
     * Amount to add to [cost], the cost of running [task] on [target], which meets the objective.
     *
     * It exceeds the differences between targets that meet the objective, and is the same for all that it applies to.
     */
    fun of(
        task: TrackedTask,
        target: TrackedTarget,
        cost: Double,
        nowMillis: Long,
    ): Double

    companion object {
        /** Adds nothing. */
        val NONE = PlacementPenalty { _, _, _, _ -> 0.0 }
    }
}
