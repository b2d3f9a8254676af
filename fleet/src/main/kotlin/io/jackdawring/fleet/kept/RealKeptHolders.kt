package io.jackdawring.fleet.kept

import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import io.jackdawring.fleet.FleetDirectory
import io.jackdawring.fleet.HeldShards
import io.jackdawring.fleet.HolderAccess
import io.jackdawring.fleet.peer.PeerClient
import io.jackdawring.fleet.peer.PeerReply

internal class RealKeptHolders(
    override val ownShards: List<ShardId>,
    private val shards: HeldShards,
    private val directory: FleetDirectory,
    private val access: HolderAccess,
    private val peers: PeerClient,
) : KeptHolders {
    override val holdings: Collection<ShardHolding> get() = directory.holdings.values

    override fun holding(shardId: ShardId): ShardHolding? = shards.host(shardId)?.holding ?: directory.holdings[shardId]

    override fun candidates(job: JobSpec): List<ShardHolding> =
        listOfNotNull(access.findHolder(job)) + access.findOtherHolders(job)

    override fun submitDurable(
        holding: ShardHolding,
        message: KeepMessage,
        onOutcome: (KeepOutcome?) -> Unit,
    ) {
        val host = shards.host(holding.shardId)
        if (host != null) {
            host.submitDurable(message, onOutcome)
            return
        }
        peers.submitDurable(holding.holder, message, message.waitMillis + ANSWER_SLACK_MILLIS) { reply ->
            onOutcome(
                when (reply) {
                    is PeerReply.Answered -> reply.message.outcome
                    is PeerReply.Denied, is PeerReply.NotSent, is PeerReply.Cancelled -> null
                    is PeerReply.NoResponse -> KeepOutcome.Unsure(reply.detail)
                },
            )
        }
    }

    override fun ask(
        holding: ShardHolding,
        jobId: JobId,
        cancel: Boolean,
        onAnswer: (KeptHolders.StateAnswer) -> Unit,
    ) {
        val host = shards.host(holding.shardId)
        if (host != null) {
            val onState = { state: JobState? -> onAnswer(KeptHolders.StateAnswer.Known(state)) }
            if (cancel) host.cancel(jobId, onState) else host.askState(jobId, onState)
            return
        }
        peers.askState(holding.holder, KeptStateMessage(holding.shardId, jobId, cancel)) { reply ->
            val answered = reply as? PeerReply.Answered
            onAnswer(
                answered?.let {
                    KeptHolders.StateAnswer.Known(
                        it.message.state,
                    )
                } ?: KeptHolders.StateAnswer.Unreachable,
            )
        }
    }

    override fun countPending(
        holding: ShardHolding,
        queue: String,
        onAnswer: (KeptHolders.CountAnswer) -> Unit,
    ) {
        val host = shards.host(holding.shardId)
        if (host != null) {
            onAnswer(KeptHolders.CountAnswer.Known(host.pendingJobs(queue)))
            return
        }
        peers.countPending(holding.holder, PendingMessage(holding.shardId, queue)) { reply ->
            val answered = reply as? PeerReply.Answered
            onAnswer(
                answered?.let { KeptHolders.CountAnswer.Known(it.message.jobs) } ?: KeptHolders.CountAnswer.Unreachable,
            )
        }
    }

    private companion object {
        /** The holder answers within the given time; this covers the way back. */
        const val ANSWER_SLACK_MILLIS = 50L
    }
}
