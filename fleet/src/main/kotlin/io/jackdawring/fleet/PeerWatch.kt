package io.jackdawring.fleet

import io.jackdawring.core.InstanceId
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.fleet.peer.PeerClient
import io.jackdawring.fleet.peer.PeerReply
import io.jackdawring.fleet.peer.PingMessage

/** Asks the holders of the own failure domain for signs of life, and notes which relays are silent; control thread. */
internal class PeerWatch(
    private val self: FleetMember,
    private val peers: PeerClient,
    private val shards: HeldShards,
    private val directory: FleetDirectory,
    private val loop: ControlLoop,
) {
    private val lastAsked = HashMap<InstanceId, Long>()

    /** Notes the ping of [sender]. */
    fun onPing(sender: InstanceId) {
        val now = loop.nowMillis()
        lastAsked[sender] = now
        shards.election.onAsked(sender, now)
    }

    /** Pings every holder of the own failure domain once and drops the jobs of silent relays. */
    fun round() {
        val now = loop.nowMillis()
        val holdings = directory.shardsOf(self.failureDomain).mapNotNull { directory.holdings[it] }
        holdings
            .map { it.holder }
            .filter { it.instanceId != self.instanceId }
            .distinct()
            .forEach(::ping)
        val silent = lastAsked.filterValues { now - it >= RELAY_SILENCE_MILLIS }.keys.toList()
        silent.forEach {
            lastAsked.remove(it)
            shards.onRelaySilent(it)
        }
    }

    private fun ping(holder: FleetMember) {
        peers.ping(holder, PingMessage(self.instanceId.value)) { reply ->
            val now = loop.nowMillis()
            when (reply) {
                is PeerReply.Answered -> {
                    val ascribed =
                        directory.holdings.values
                            .filter { it.holder.instanceId == holder.instanceId }
                            .map { it.shardId }
                    shards.election.onHeard(holder.instanceId, reply.message.shards.containsAll(ascribed), now)
                }

                is PeerReply.NotSent -> {
                    shards.election.onRefused(holder.instanceId, now)
                }

                is PeerReply.Denied, is PeerReply.Broken -> {
                    Unit
                }
            }
        }
    }

    companion object {
        /** Three pings fit into the silence after which a holder is suspected. */
        const val PING_INTERVAL_MILLIS = 150L

        /** Below the time after which callers send a job again, so that nothing of it runs any more then. */
        private const val RELAY_SILENCE_MILLIS = 700L
    }
}
