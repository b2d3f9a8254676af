package io.jackdawring.fleet

import io.jackdawring.core.InstanceId
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobRequest
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.fleet.peer.JobMessage
import io.jackdawring.fleet.peer.OutcomeMessage
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
    private val loads: ShardLoads,
    private val loop: ControlLoop,
) : ShardAccess {
    private val openQuestions = HashMap<InstanceId, Int>()

    /** Holders that work on jobs of this relay. */
    val holdersAsked: List<FleetMember>
        get() =
            directory.holdings.values
                .map { it.holder }
                .filter { (openQuestions[it.instanceId] ?: 0) > 0 }

    override fun findHolder(job: JobSpec): ShardHolding? = findHolding(ownShard(job))

    override fun findHolding(shardId: ShardId): ShardHolding? =
        shards.host(shardId)?.holding ?: directory.holdings[shardId]?.takeIf(::isUsable)

    private fun ownShard(job: JobSpec): ShardId {
        val ids = directory.shardsOf(self.failureDomain)
        return ids[Math.floorMod(job.id.value.hashCode(), ids.size)]
    }

    override fun findLighterHolders(job: JobSpec): List<ShardHolding> {
        val ownPercent = loads.percent(ownShard(job), job.service) ?: Int.MAX_VALUE
        val limitPercent = maxOf(ownPercent - LEAST_DIFFERENCE_PERCENT, ROOM_PERCENT)
        val lighter = findOtherHolders(job).filter { (loadPercent(it, job) ?: 0) < limitPercent }
        // The better of two, because many relays learn of the same shard at the same time.
        val firstTwo = lighter.take(2).sortedBy { loadPercent(it, job) ?: ROOM_PERCENT }
        return firstTwo + lighter.drop(2)
    }

    private fun loadPercent(
        holding: ShardHolding,
        job: JobSpec,
    ): Int? = loads.percent(holding.shardId, job.service)

    /** All holders of shards in other failure domains that are believed to work, in an order that differs by job. */
    fun findOtherHolders(job: JobSpec): List<ShardHolding> {
        val others = directory.holdings.values.filter { it.shardId.failureDomain != self.failureDomain && isUsable(it) }
        if (others.isEmpty()) return others
        // Each job begins at another failure domain, so that one with room does not get them all.
        val first = Math.floorMod(job.id.value.hashCode() / SPREAD, others.size)
        return others.drop(first) + others.take(first)
    }

    private fun isUsable(holding: ShardHolding): Boolean {
        val instance = holding.holder.instanceId
        if (instance == self.instanceId) return shards.host(holding.shardId) != null
        val now = loop.nowMillis()
        if (holding.shardId.failureDomain == self.failureDomain) return !shards.election.isSuspected(holding, now)
        return (unreachableUntil[instance] ?: Long.MIN_VALUE) <= now
    }

    /** Holders of other failure domains that did not answer lately; they are not pinged while no job is there. */
    private val unreachableUntil = HashMap<InstanceId, Long>()

    override fun ask(
        holding: ShardHolding,
        request: JobRequest,
        onReply: (HolderReply) -> Unit,
    ): ShardAccess.OpenQuestion {
        val host = shards.host(holding.shardId)
        if (host != null) {
            val waiter = host.submit(self.instanceId.value, request) { onReply(HolderReply.Decided(it)) }
            return ShardAccess.OpenQuestion { host.withdraw(waiter) }
        }
        val holder = holding.holder
        val message = JobMessage(self.instanceId.value, holding.shardId, request)
        openQuestions.merge(holder.instanceId, 1, Int::plus)
        val call =
            peers.askForOutcome(holder, message, request.remainingMillis + ANSWER_SLACK_MILLIS) {
                openQuestions.merge(holder.instanceId, -1, Int::plus)
                onReply(toHolderReply(holding, it))
            }
        return ShardAccess.OpenQuestion(call::cancel)
    }

    private fun toHolderReply(
        holding: ShardHolding,
        reply: PeerReply<OutcomeMessage>,
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
                unreachableUntil[holding.holder.instanceId] = loop.nowMillis() + UNREACHABLE_MILLIS
                HolderReply.NotTaken
            }

            is PeerReply.Cancelled -> {
                HolderReply.Lost("taken back")
            }

            is PeerReply.NoResponse -> {
                unreachableUntil[holding.holder.instanceId] = loop.nowMillis() + UNREACHABLE_MILLIS
                HolderReply.Lost(reply.detail)
            }
        }

    private companion object {
        /** Loads that differ by less are taken as equal; a job of several tasks changes them by as much. */
        const val LEAST_DIFFERENCE_PERCENT = 5

        /** Load up to which a shard is likely to have room for a job of several tasks. */
        const val ROOM_PERCENT = 90

        /** The holder answers at the deadline itself; this covers the way back. */
        const val ANSWER_SLACK_MILLIS = 100L

        /** Time for which a holder that did not answer gets no jobs of other failure domains. */
        const val UNREACHABLE_MILLIS = 1_000L

        /** Takes bits of the hash that do not also choose the shard. */
        const val SPREAD = 31
    }
}
