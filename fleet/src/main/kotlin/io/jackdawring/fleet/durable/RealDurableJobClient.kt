package io.jackdawring.fleet.durable

import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import io.jackdawring.fleet.FleetDirectory
import io.jackdawring.fleet.HeldShards
import io.jackdawring.fleet.RealShardClient
import io.jackdawring.fleet.peer.PeerClient
import io.jackdawring.fleet.peer.PeerReply

/** Sends requests to holders in this process or over the network. */
internal class RealDurableJobClient(
    override val localShards: List<ShardId>,
    private val shards: HeldShards,
    private val directory: FleetDirectory,
    private val shardClient: RealShardClient,
    private val peers: PeerClient,
) : DurableJobClient {
    override val holdings: Collection<ShardHolding> get() = directory.holdings.values

    override fun holding(shardId: ShardId): ShardHolding? = shards.host(shardId)?.holding ?: directory.holdings[shardId]

    /** Evacuated failure domains store a job only if no other one can. */
    override fun candidates(job: JobSpec): List<ShardHolding> {
        val all = listOfNotNull(shardClient.findLocalHolder(job)) + shardClient.findRemoteHolders(job)
        return all.filterNot { shardClient.isEvacuated(it.shardId) }.ifEmpty { all }
    }

    override fun persist(
        holding: ShardHolding,
        message: PersistMessage,
        onOutcome: (PersistOutcome?) -> Unit,
    ) {
        val host = shards.host(holding.shardId)
        if (host != null) {
            host.persist(message, onOutcome)
            return
        }
        peers.persist(holding.holder, message, message.waitMillis + ANSWER_SLACK_MILLIS) { reply ->
            onOutcome(
                when (reply) {
                    is PeerReply.Answered -> reply.message.outcome
                    is PeerReply.Rejected, is PeerReply.NotSent, is PeerReply.Cancelled -> null
                    is PeerReply.NoResponse -> PersistOutcome.Unknown(reply.detail)
                },
            )
        }
    }

    override fun queryState(
        holding: ShardHolding,
        jobId: JobId,
        cancel: Boolean,
        isStored: Boolean,
        onAnswer: (DurableJobClient.StateAnswer) -> Unit,
    ) {
        val host = shards.host(holding.shardId)
        if (host != null) {
            val onState = { state: JobState? -> onAnswer(DurableJobClient.StateAnswer.Known(state)) }
            if (cancel) host.cancel(jobId, isStored, onState) else host.queryState(jobId, onState)
            return
        }
        peers.queryState(holding.holder, JobStateMessage(holding.shardId, jobId, cancel, isStored)) { reply ->
            val answered = reply as? PeerReply.Answered
            onAnswer(
                answered?.let {
                    DurableJobClient.StateAnswer.Known(
                        it.message.state,
                    )
                } ?: DurableJobClient.StateAnswer.Unreachable,
            )
        }
    }

    override fun countPending(
        holding: ShardHolding,
        queue: String,
        onAnswer: (DurableJobClient.CountAnswer) -> Unit,
    ) {
        val host = shards.host(holding.shardId)
        if (host != null) {
            onAnswer(DurableJobClient.CountAnswer.Known(host.pendingJobs(queue)))
            return
        }
        peers.countPending(holding.holder, PendingMessage(holding.shardId, queue)) { reply ->
            val answered = reply as? PeerReply.Answered
            onAnswer(
                answered?.let { DurableJobClient.CountAnswer.Known(it.message.jobs) }
                    ?: DurableJobClient.CountAnswer.Unreachable,
            )
        }
    }

    private companion object {
        /** Network latency of an answer that the holder sends at the end of the given time. */
        const val ANSWER_SLACK_MILLIS = 50L
    }
}
