package io.jackdawring.fleet.durable

import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobNeeds
import io.jackdawring.fleet.FleetDirectory
import io.jackdawring.fleet.peer.PeerClient
import io.jackdawring.fleet.peer.PeerReply
import io.jackdawring.fleet.shard.ShardHost
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap

/** Asks holders in this process or over the network. */
internal class PeerShardCapacities(
    private val directory: FleetDirectory,
    private val peers: PeerClient,
    private val localHost: (ShardId) -> ShardHost?,
) : ShardCapacities {
    override fun query(
        shardId: ShardId,
        needs: List<JobNeeds>,
        onAnswers: (ImmutableMap<ShardId, List<Long?>>) -> Unit,
    ) {
        val others = directory.holdings.values.filter { it.shardId != shardId }
        val answers = HashMap<ShardId, List<Long?>>()
        var open = others.size
        if (open == 0) onAnswers(answers.toImmutableMap())
        for (holding in others) {
            ask(holding, needs) { delaysMillis ->
                if (delaysMillis?.size == needs.size) answers[holding.shardId] = delaysMillis
                if (--open == 0) onAnswers(answers.toImmutableMap())
            }
        }
    }

    private fun ask(
        holding: ShardHolding,
        needs: List<JobNeeds>,
        onDelays: (List<Long?>?) -> Unit,
    ) {
        val host = localHost(holding.shardId)
        if (host != null) {
            onDelays(needs.map(host::delayMillis))
            return
        }
        peers.queryDelays(holding.holder, DelaysMessage(holding.shardId, needs)) { reply ->
            onDelays((reply as? PeerReply.Answered)?.message?.delaysMillis)
        }
    }
}
