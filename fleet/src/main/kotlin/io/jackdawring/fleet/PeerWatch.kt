package io.jackdawring.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.InstanceId
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.RelayFailureDetector
import io.jackdawring.fleet.peer.PeerClient
import io.jackdawring.fleet.peer.PeerReply

private val logger = KotlinLogging.logger("io.jackdawring.fleet")

/** Asks the holders of the own failure domain for signs of life, and notes which relays are silent; control thread. */
internal class PeerWatch(
    private val self: FleetMember,
    private val peers: PeerClient,
    private val shards: HeldShards,
    private val directory: FleetDirectory,
    private val news: FleetNews,
    private val loads: ShardLoads,
    private val loop: ControlLoop,
    private val onAnswered: () -> Unit,
) {
    private val relays = RelayFailureDetector()
    private var lastRoundMillis = loop.nowMillis()

    /** Notes a message of [sender]. */
    fun onPeerRequest(sender: InstanceId) {
        val now = loop.nowMillis()
        relays.onHeartbeat(sender, now)
        shards.election.onPeerRequest(sender, now)
    }

    /** Pings the holders that this instance depends on and drops the jobs of silent relays. */
    fun round(holdersAsked: Collection<FleetMember>) {
        val now = loop.nowMillis()
        noteOwnPause(now - lastRoundMillis - PING_INTERVAL_MILLIS, now)
        lastRoundMillis = now
        pingHolders(holdersAsked)
        relays.takeFailed(now).forEach(shards::onRelaySilent)
    }

    /** Silence of others proves nothing for a time in which this instance itself did not run. */
    private fun noteOwnPause(
        pausedMillis: Long,
        now: Long,
    ) {
        if (pausedMillis < SHORTEST_PAUSE_MILLIS) return
        logger.info { "this instance was paused for $pausedMillis ms" }
        relays.onPaused(pausedMillis)
        shards.election.onPaused(pausedMillis, now)
    }

    /** Pings the holders of the own failure domain and [holdersAsked]. */
    fun pingHolders(holdersAsked: Collection<FleetMember>) =
        peersToPing(holdersAsked, loop.nowMillis()).filter { it.instanceId != self.instanceId }.forEach(::ping)

    /**
     * The holders of the own failure domain and those that work on jobs of this relay.
     *
     * While an own holder is suspected, all members of the failure domain are asked for news of its successor, which the
     * store may not tell.
     */
    private fun peersToPing(
        holdersAsked: Collection<FleetMember>,
        now: Long,
    ): List<FleetMember> {
        val holdings = directory.shardsOf(self.failureDomain).map { directory.holdings[it] }
        val searching = holdings.any { it == null || shards.election.isSuspected(it, now) }
        val neighbours = directory.members.values.filter { searching && it.failureDomain == self.failureDomain }
        // Holders tell each other their loads, and their relays with them.
        val otherHolders = if (shards.held.isEmpty()) emptyList() else directory.holdings.values.map { it.holder }
        val ownHolders = holdings.mapNotNull { it?.holder }
        return (ownHolders + holdersAsked + neighbours + otherHolders).distinctBy { it.instanceId }
    }

    private fun ping(holder: FleetMember) {
        peers.ping(holder, news.question(self.instanceId.value)) { reply ->
            val now = loop.nowMillis()
            when (reply) {
                is PeerReply.Answered -> {
                    news.learn(reply.message.news)
                    loads.learn(reply.message.loads)
                    val ascribed =
                        directory.holdings.values
                            .filter { it.holder.instanceId == holder.instanceId }
                            .map { it.shardId }
                    shards.election.onHeartbeat(holder.instanceId, reply.message.shards.containsAll(ascribed), now)
                    onAnswered()
                }

                is PeerReply.NotSent -> {
                    shards.election.onRefused(holder.instanceId, now)
                }

                is PeerReply.Denied, is PeerReply.Cancelled, is PeerReply.NoResponse -> {
                    Unit
                }
            }
        }
    }

    companion object {
        /** Three pings fit into the silence after which a holder is suspected. */
        const val PING_INTERVAL_MILLIS = 150L

        /** Delay of a round that is more than the usual jitter of timers. */
        private const val SHORTEST_PAUSE_MILLIS = 100L
    }
}
