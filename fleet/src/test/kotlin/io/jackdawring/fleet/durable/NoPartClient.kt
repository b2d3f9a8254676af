package io.jackdawring.fleet.durable

import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobNeeds

/** A fleet without other shards. */
internal object NoPartClient : PartClient {
    override fun queryRoom(
        shardId: ShardId,
        needs: List<JobNeeds>,
        onAnswers: (Map<ShardId, List<Boolean>>) -> Unit,
    ) = onAnswers(emptyMap())

    override fun queryParts(
        target: ShardId,
        parts: Map<JobId, Long>,
        onAnswer: (List<JobId>?) -> Unit,
    ) = onAnswer(null)
}
