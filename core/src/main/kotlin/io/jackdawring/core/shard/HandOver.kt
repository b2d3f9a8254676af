package io.jackdawring.core.shard

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/** What a holder of a shard tells its successor. */
data class HandOver(
    /** All targets that the holder knows, including those that left the list. */
    val targets: ImmutableList<ShardTarget>,
    /**
     * Whether no run of the shard is on another target; false if the holder has not learned of all earlier runs.
     *
     * Runs of holders up to [cutOffToken] do not count.
     */
    val areAllRunsThere: Boolean,
    /** Fencing token up to which earlier holders may be cut off and go on with other targets; null if there is none. */
    val cutOffToken: Long? = null,
    /** Whether the runs of durable jobs of such holders are over; they stop those themselves after a while. */
    val areDurableRunsOver: Boolean = true,
) {
    companion object {
        /** For the first holder of a shard, which has no runs yet. */
        val NONE = HandOver(persistentListOf(), areAllRunsThere = true)
    }
}
