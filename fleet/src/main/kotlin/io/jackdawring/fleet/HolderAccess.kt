package io.jackdawring.fleet

import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.fleet.peer.JobMessage
import io.jackdawring.fleet.peer.PeerClient
import io.jackdawring.fleet.peer.PeerReply
import io.jackdawring.fleet.relay.HolderReply
import io.jackdawring.fleet.relay.ShardAccess

/** Reaches the holders of the own failure domain's shards, in this process or over the network. */
internal class HolderAccess(
    private val self: FleetMember,
    private val shards: HeldShards,
    private val directory: FleetDirectory,
    private val peers: PeerClient,
    private val loop: ControlLoop,
) : ShardAccess {
    override fun findHolder(job: JobSpec): ShardHolding? {
        val ids = directory.shardsOf(self.failureDomain)
        val id = ids[Math.floorMod(job.id.value.hashCode(), ids.size)]
        shards.host(id)?.let { return it.holding }
        return directory.holdings[id]?.takeIf {
            it.holder.instanceId != self.instanceId && !shards.election.isSuspected(it, loop.nowMillis())
        }
    }

    override fun ask(
        holding: ShardHolding,
        job: JobSpec,
        remainingMillis: Long,
        onReply: (HolderReply) -> Unit,
    ): ShardAccess.OpenQuestion {
        val host = shards.host(holding.shardId)
        if (host != null) {
            val waiter = host.submit(self.instanceId.value, job, remainingMillis) { onReply(HolderReply.Decided(it)) }
            return ShardAccess.OpenQuestion { host.withdraw(waiter) }
        }
        val message = JobMessage(self.instanceId.value, holding.shardId, remainingMillis, job)
        val call =
            peers.askForOutcome(holding.holder, message, remainingMillis + ANSWER_SLACK_MILLIS) {
                onReply(toHolderReply(holding, it))
            }
        return ShardAccess.OpenQuestion(call::cancel)
    }

    private fun toHolderReply(
        holding: ShardHolding,
        reply: PeerReply<io.jackdawring.fleet.peer.OutcomeMessage>,
    ): HolderReply =
        when (reply) {
            is PeerReply.Answered -> {
                HolderReply.Decided(reply.message.toOutcome())
            }

            is PeerReply.Denied -> {
                HolderReply.NotTaken
            }

            is PeerReply.NotSent -> {
                shards.election.onRefused(holding.holder.instanceId, loop.nowMillis())
                HolderReply.NotTaken
            }

            is PeerReply.Broken -> {
                HolderReply.Lost(reply.detail)
            }
        }

    private companion object {
        /** The holder answers at the deadline itself; this covers the way back. */
        const val ANSWER_SLACK_MILLIS = 100L
    }
}
