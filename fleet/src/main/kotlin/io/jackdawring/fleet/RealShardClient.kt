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
import io.jackdawring.fleet.peer.PeerClocks
import io.jackdawring.fleet.peer.PeerReply
import io.jackdawring.fleet.relay.HolderReply
import io.jackdawring.fleet.relay.ShardClient

/** Sends jobs to the holders of shards, in this process or over the network. */
internal class RealShardClient(
    private val self: FleetMember,
    private val shards: HeldShards,
    private val directory: FleetDirectory,
    private val peers: PeerClient,
    private val loads: ShardLoads,
    private val clocks: PeerClocks,
    private val loop: ControlLoop,
    private val evacuations: DomainEvacuations = DomainEvacuations.Off,
) : ShardClient {
    private val pendingRequestCounts = HashMap<InstanceId, Int>()

    /** Times of the last requests to holders whose clocks are not known, and who may reject such requests. */
    private val undatedRequestMillis = HashMap<InstanceId, Long>()

    /** Remote holders that have not answered a job of this relay yet, or whose clock it needs. */
    val holdersWithPendingRequests: List<FleetMember>
        get() =
            directory.holdings.values
                .map { it.holder }
                .filter { (pendingRequestCounts[it.instanceId] ?: 0) > 0 || needsClockOf(it.instanceId) }

    private fun needsClockOf(holder: InstanceId): Boolean =
        undatedRequestMillis[holder]?.let { loop.nowMillis() - it < PeerHealthMonitor.PING_INTERVAL_MILLIS } == true

    override fun findLocalHolder(job: JobSpec): ShardHolding? = findHolding(localShard(job))

    override fun findHolding(shardId: ShardId): ShardHolding? =
        shards.host(shardId)?.holding ?: directory.holdings[shardId]?.takeIf(::isUsable)

    private fun localShard(job: JobSpec): ShardId {
        val ids = directory.shardsOf(self.failureDomain)
        return ids[Math.floorMod(job.id.value.hashCode(), ids.size)]
    }

    override fun findLessLoadedHolders(job: JobSpec): List<ShardHolding> {
        val localPercent = loads.percent(localShard(job), job.service) ?: Int.MAX_VALUE
        val limitPercent = maxOf(localPercent - MIN_DIFFERENCE_PERCENT, LIKELY_ROOM_PERCENT)
        return bestOfTwoFirst(findServableHolders(job).filter { (loadPercent(it, job) ?: 0) < limitPercent }, job)
    }

    override fun findOtherHolders(job: JobSpec): List<ShardHolding> = bestOfTwoFirst(findServableHolders(job), job)

    /** If all relays took the least loaded shard first, they would overload it. */
    private fun bestOfTwoFirst(
        holdings: List<ShardHolding>,
        job: JobSpec,
    ): List<ShardHolding> = holdings.take(2).sortedBy { loadPercent(it, job) ?: LIKELY_ROOM_PERCENT } + holdings.drop(2)

    private fun findServableHolders(job: JobSpec) = findRemoteHolders(job).filterNot { isEvacuated(it.shardId) }

    override fun isEvacuated(shardId: ShardId): Boolean = evacuations.isEvacuated(shardId.failureDomain) == true

    override val isLocalEvacuated: Boolean get() = evacuations.isEvacuated(self.failureDomain) == true

    override fun areAllEvacuated(refusedBy: Set<ShardId>): Boolean =
        (directory.holdings.keys + directory.shardsOf(self.failureDomain)).all { it in refusedBy || isEvacuated(it) }

    private fun loadPercent(
        holding: ShardHolding,
        job: JobSpec,
    ): Int? = loads.percent(holding.shardId, job.service)

    /** All holders in other failure domains that are believed to be reachable, in an order that differs by job. */
    fun findRemoteHolders(job: JobSpec): List<ShardHolding> {
        val others = directory.holdings.values.filter { it.shardId.failureDomain != self.failureDomain && isUsable(it) }
        if (others.isEmpty()) return others
        // Jobs start at different failure domains, so that they do not all go to the same one.
        val first = Math.floorMod(job.id.value.hashCode() / ORDER_HASH_DIVISOR, others.size)
        return others.drop(first) + others.take(first)
    }

    private fun isUsable(holding: ShardHolding): Boolean {
        val instance = holding.holder.instanceId
        if (instance == self.instanceId) return shards.host(holding.shardId) != null
        val now = loop.nowMillis()
        if (holding.shardId.failureDomain == self.failureDomain) return !shards.election.isSuspected(holding, now)
        return (unreachableUntil[instance] ?: Long.MIN_VALUE) <= now
    }

    /** Holders of other failure domains that failed to answer a job; most relays ping them only while they have one. */
    private val unreachableUntil = HashMap<InstanceId, Long>()

    override fun submit(
        holding: ShardHolding,
        request: JobRequest,
        onReply: (HolderReply) -> Unit,
    ): ShardClient.PendingRequest {
        val host = shards.host(holding.shardId)
        if (host != null) {
            val waiter = host.submit(self.instanceId.value, request) { onReply(HolderReply.Decided(it)) }
            // Without a network in between, only the caller ends a request that is not replaced.
            return ShardClient.PendingRequest { host.withdraw(waiter, hasCallerLeft = true) }
        }
        val holder = holding.holder
        val sentAtMillis = clocks.clockOf(holder, loop.nowMillis())
        if (sentAtMillis == null) undatedRequestMillis[holder.instanceId] = loop.nowMillis()
        val message = JobMessage(self.instanceId.value, holding.shardId, request, sentAtMillis, holding.revision)
        pendingRequestCounts.merge(holder.instanceId, 1, Int::plus)
        val call =
            peers.submitJob(holder, message, request.remainingMillis + ANSWER_SLACK_MILLIS) {
                pendingRequestCounts.merge(holder.instanceId, -1, Int::plus)
                onReply(toHolderReply(holding, it))
            }
        return ShardClient.PendingRequest(call::cancel)
    }

    private fun toHolderReply(
        holding: ShardHolding,
        reply: PeerReply<OutcomeMessage>,
    ): HolderReply =
        when (reply) {
            is PeerReply.Answered -> {
                HolderReply.Decided(reply.message.toOutcome())
            }

            is PeerReply.Rejected -> {
                // The message may have counted as outdated because this process was suspended.
                clocks.forget(holding.holder.instanceId)
                HolderReply.NotAccepted
            }

            is PeerReply.NotSent -> {
                shards.election.onRefused(holding.holder.instanceId, loop.nowMillis(), reply.refused)
                unreachableUntil[holding.holder.instanceId] = loop.nowMillis() + UNREACHABLE_MILLIS
                HolderReply.NotAccepted
            }

            is PeerReply.Cancelled -> {
                HolderReply.Lost("cancelled")
            }

            is PeerReply.NoResponse -> {
                unreachableUntil[holding.holder.instanceId] = loop.nowMillis() + UNREACHABLE_MILLIS
                HolderReply.Lost(reply.detail)
            }
        }

    private companion object {
        /** Smaller differences of load are ignored; a job of several tasks changes the load by as much. */
        const val MIN_DIFFERENCE_PERCENT = 5

        /** Load up to which a shard is likely to have capacity for a job of several tasks. */
        const val LIKELY_ROOM_PERCENT = 90

        /** Network latency of an answer that the holder sends at the deadline. */
        const val ANSWER_SLACK_MILLIS = 100L

        /** Time for which a holder that failed to answer gets no jobs from other failure domains. */
        const val UNREACHABLE_MILLIS = 1_000L

        /** Selects bits of the hash that do not also select the shard. */
        const val ORDER_HASH_DIVISOR = 31
    }
}
