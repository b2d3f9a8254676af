package io.jackdawring.core.shard

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

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
    /** Time for which callers of runs of the shard may have gone unnoticed; the runs of [abandonedJobs] do not count. */
    val unservedMillis: Long = 0,
    /** Jobs whose callers have gone, with the time since then; nobody claims runs of these that may go on for a moment. */
    val abandonedJobs: ImmutableMap<JobId, Long> = persistentMapOf(),
) {
    companion object {
        /** For the first holder of a shard, which has no runs yet. */
        val NONE = HandOver(persistentListOf(), areAllRunsThere = true)
    }
}
