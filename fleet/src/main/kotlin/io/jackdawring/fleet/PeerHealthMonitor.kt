package io.jackdawring.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.InstanceId
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.fleet.peer.PeerClient
import io.jackdawring.fleet.peer.PeerClocks
import io.jackdawring.fleet.peer.PeerReply

private val logger = KotlinLogging.logger("io.jackdawring.fleet")

/** Pings shard holders and relays to detect failed ones; confined to the control thread. */
internal class PeerHealthMonitor(
    private val self: FleetMember,
    private val peers: PeerClient,
    private val shards: HeldShards,
    private val directory: FleetDirectory,
    private val gossip: StoreGossip,
    private val loads: ShardLoads,
    private val clocks: PeerClocks,
    private val loop: ControlLoop,
    private val onAnswered: () -> Unit,
) {
    private val relays = shards.relays
    val silence = PeerSilence()
    private var lastRoundMillis = loop.nowMillis()

    /** Records that a request has arrived that [sender] sent at [sentAtMillis]. */
    fun onPeerRequest(
        sender: InstanceId,
        sentAtMillis: Long,
    ) {
        relays.onHeartbeat(sender, sentAtMillis)
        shards.election.onPeerRequest(sender, loop.nowMillis())
    }

    /** Pings the holders that this instance depends on and drops the jobs of failed relays. */
    fun runRound(holdersWithPendingRequests: Collection<FleetMember>) {
        val now = loop.nowMillis()
        compensateOwnPause(now - lastRoundMillis - PING_INTERVAL_MILLIS, now)
        lastRoundMillis = now
        pingHolders(holdersWithPendingRequests)
        relays.takeFailed(now).forEach { (relay, lastSentMillis) -> shards.onRelayFailed(relay, lastSentMillis) }
    }

    /** Extends the timeouts of peers by the time for which this process was paused and could receive nothing. */
    private fun compensateOwnPause(
        pausedMillis: Long,
        now: Long,
    ) {
        if (pausedMillis < MIN_PAUSE_MILLIS) return
        logger.info { "process was paused for $pausedMillis ms; extending peer timeouts" }
        relays.onPaused(pausedMillis, now)
        shards.election.onPaused(pausedMillis, now)
    }

    /** Pings the holders of the local failure domain and [holdersWithPendingRequests]. */
    fun pingHolders(holdersWithPendingRequests: Collection<FleetMember>) =
        peersToPing(
            holdersWithPendingRequests,
            loop.nowMillis(),
        ).filter { it.instanceId != self.instanceId }.forEach(::ping)

    /**
     * The holders of the local failure domain, those of shards that other failure domains have adopted, and those that
     * have pending requests of this relay.
     *
     * While a local holder is missing or suspected, all members of the failure domain are pinged to learn its
     * successor, because the store may be unreachable.
     */
    private fun peersToPing(
        holdersWithPendingRequests: Collection<FleetMember>,
        now: Long,
    ): List<FleetMember> {
        val holdings = directory.shardsOf(self.failureDomain).map { directory.holdings[it] }
        val hasUnknownHolder = holdings.any { it == null || shards.election.isSuspected(it, now) }
        val domainMembers =
            directory.members.values.filter {
                hasUnknownHolder && it.failureDomain == self.failureDomain
            }
        // Holders exchange loads with each other by pings, and pass them on to the relays that ping them.
        val otherHolders = if (shards.held.isEmpty()) emptyList() else directory.holdings.values.map { it.holder }
        val localHolders = holdings.mapNotNull { it?.holder }
        // This instance adopts such a shard itself once its holder is silent.
        val adopters =
            directory.holdings.values
                .filter { it.holder.failureDomain != it.shardId.failureDomain }
                .map { it.holder }
        val adoptedDomains = shards.held.map { it.failureDomain } - self.failureDomain
        val adoptedMembers = directory.members.values.filter { it.failureDomain in adoptedDomains }
        return (localHolders + adopters + holdersWithPendingRequests + domainMembers + otherHolders + adoptedMembers)
            .distinctBy { it.instanceId }
    }

    private fun ping(holder: FleetMember) {
        val sentAtMillis = loop.nowMillis()
        silence.onAsked(holder.instanceId, sentAtMillis)
        val message = gossip.createPing(self.instanceId.value, clocks.clockOf(holder, sentAtMillis))
        peers.ping(holder, message) { reply ->
            val now = loop.nowMillis()
            when (reply) {
                is PeerReply.Answered -> {
                    silence.onAnswered(holder.instanceId, reply.message.incarnation, now)
                    gossip.applyIfNewer(reply.message.news)
                    loads.applyIfNewer(reply.message.loads)
                    clocks.onPong(holder.instanceId, reply.message, sentAtMillis, now)
                    val shardsInStore =
                        directory.holdings.values
                            .filter { it.holder.instanceId == holder.instanceId }
                            .map { it.shardId }
                    val holds = reply.message.shards.containsAll(shardsInStore)
                    shards.election.onHeartbeat(
                        holder.instanceId,
                        holds,
                        now,
                        sentAtMillis - reply.message.unservedMillis,
                    )
                    onAnswered()
                }

                is PeerReply.NotSent -> {
                    if (reply.refused) silence.onRefused(holder.instanceId)
                    onRefused(holder, reply, now)
                }

                is PeerReply.Rejected, is PeerReply.Cancelled, is PeerReply.NoResponse -> {
                    Unit
                }
            }
        }
    }

    /** Tries to connect again soon, so that a shard whose holder has ended is not vacant until the next round. */
    private fun onRefused(
        member: FleetMember,
        reply: PeerReply.NotSent,
        now: Long,
    ) {
        if (shards.election.onRefused(member.instanceId, now, reply.refused)) {
            loop.schedule(REFUSAL_RETRY_MILLIS) { ping(member) }
        } else {
            shards.maintain()
        }
    }

    companion object {
        /** Short compared with the start of a process, which takes several hundred milliseconds. */
        private const val REFUSAL_RETRY_MILLIS = 30L

        /** A holder is suspected after three missed pings. */
        const val PING_INTERVAL_MILLIS = 150L

        /** Shorter delays of a round are usual timer jitter. */
        private const val MIN_PAUSE_MILLIS = 100L
    }
}
