package io.jackdawring.fleet.durable

import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobNeeds
import kotlinx.collections.immutable.ImmutableMap

/** Asks the holders of shards how soon they can run jobs. */
internal fun interface ShardCapacities {
    /**
     * Asks the holders of all shards but [shardId] about jobs with [needs].
     *
     * [onAnswers] gets, for each shard whose holder answered, the time in milliseconds until each job can start: 0 if
     * there is room now, null if the shard cannot run it.
     */
    fun query(
        shardId: ShardId,
        needs: List<JobNeeds>,
        onAnswers: (ImmutableMap<ShardId, List<Long?>>) -> Unit,
    )
}
