package io.jackdawring.fleet

import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.HandOver
import io.jackdawring.fleet.peer.HandOverMessage
import io.jackdawring.fleet.peer.PeerClient
import io.jackdawring.fleet.peer.PeerReply
import io.jackdawring.fleet.shard.ShardHost

/**
 * Tells later holders that a holder in this process has stopped, and on which targets it may have runs.
 *
 * A holder that was cut off may learn of its successor long after that has claimed the shard.
 */
internal class StoppedHoldings(
    private val directory: FleetDirectory,
    private val peers: PeerClient,
    private val loop: ControlLoop,
    private val findHost: (ShardId) -> ShardHost?,
) {
    private class Entry(
        val message: HandOverMessage,
        val expiresAtMillis: Long,
    ) {
        /** Revision of the newest holding that has been told; at first, that of the stopped one. */
        var toldRevision = message.revision
        var isInFlight = false
    }

    private val entries = ArrayList<Entry>()

    /** Records that the holder in [holding] has stopped with [handOver]. */
    fun add(
        holding: ShardHolding,
        handOver: HandOver,
    ) {
        entries.add(Entry(HandOverMessage.of(holding, handOver), loop.nowMillis() + RETENTION_MILLIS))
    }

    /** Tells the current holders what they have not been told yet. */
    fun announce() {
        entries.removeIf { loop.nowMillis() >= it.expiresAtMillis }
        entries.toList().forEach(::announce)
    }

    private fun announce(entry: Entry) {
        val id = entry.message.shardId
        val host = findHost(id)
        val current = host?.holding ?: directory.holdings[id]
        if (current == null || current.revision <= entry.toldRevision || entry.isInFlight) return
        if (host != null) {
            entry.toldRevision = current.revision
            host.onHolderStopped(entry.message.revision, entry.message.toHandOver())
            return
        }
        entry.isInFlight = true
        peers.announceStop(current.holder, entry.message) { reply ->
            entry.isInFlight = false
            if (reply is PeerReply.Answered && reply.message.taken) entry.toldRevision = current.revision
        }
    }

    private companion object {
        /** Longer than the deadline of a job that was sent to the stopped holder. */
        const val RETENTION_MILLIS = 10_000L
    }
}
