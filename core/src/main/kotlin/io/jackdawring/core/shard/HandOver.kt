package io.jackdawring.core.shard

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/** What the holder of a shard tells its successor. */
data class HandOver(
    /** All targets that the holder knows, including those that left the list. */
    val targets: ImmutableList<ShardTarget>,
    /** Whether no run of the shard is on another target; false if the holder has not learned of all earlier runs. */
    val areAllRunsThere: Boolean,
) {
    companion object {
        /** For the first holder of a shard, which has no runs yet. */
        val NONE = HandOver(persistentListOf(), areAllRunsThere = true)
    }
}
