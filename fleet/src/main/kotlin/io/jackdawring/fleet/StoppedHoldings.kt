package io.jackdawring.fleet

import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.HandOver
import io.jackdawring.fleet.peer.HandOverMessage
import io.jackdawring.fleet.peer.PeerClient
import io.jackdawring.fleet.peer.PeerClocks
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
    private val clocks: PeerClocks,
    private val loop: ControlLoop,
    private val findHost: (ShardId) -> ShardHost?,
) {
    private class Entry(
        val message: HandOverMessage,
        val stoppedAtMillis: Long,
    ) {
        /** Revision of the newest holding that has been told; at first, that of the stopped one. */
        var toldRevision = message.revision
        var isInFlight = false

        /** Time after which no later holder can have a job that was sent to the stopped one; null until one is told. */
        var expiresAtMillis: Long? = null
    }

    private val entries = ArrayDeque<Entry>()

    /** Records that the holder in [holding] has stopped with [handOver]. */
    fun add(
        holding: ShardHolding,
        handOver: HandOver,
    ) {
        entries.addLast(Entry(HandOverMessage.of(holding, handOver), loop.nowMillis()))
        if (entries.size > MAX_ENTRIES) entries.removeFirst()
    }

    /** Tells the current holders what they have not been told yet. */
    fun announce() {
        entries.removeIf { entry -> entry.expiresAtMillis?.let { loop.nowMillis() >= it } == true }
        entries.toList().forEach(::announce)
    }

    private fun announce(entry: Entry) {
        val id = entry.message.shardId
        val host = findHost(id)
        val current = host?.holding ?: directory.holdings[id]
        if (current == null || current.revision <= entry.toldRevision || entry.isInFlight) return
        if (host != null) {
            onTold(entry, current)
            host.onHolderStopped(entry.message.revision, entry.message.toHandOver(), entry.stoppedAtMillis)
            return
        }
        entry.isInFlight = true
        val now = loop.nowMillis()
        val sentAtMillis = clocks.clockOf(current.holder, now)
        val message = entry.message.copy(stoppedAgoMillis = now - entry.stoppedAtMillis, sentAtMillis = sentAtMillis)
        peers.announceStop(current.holder, message) { reply ->
            entry.isInFlight = false
            if (reply is PeerReply.Answered && reply.message.taken) onTold(entry, current)
        }
    }

    private fun onTold(
        entry: Entry,
        current: ShardHolding,
    ) {
        entry.toldRevision = current.revision
        entry.expiresAtMillis = entry.expiresAtMillis ?: (loop.nowMillis() + RETENTION_MILLIS)
    }

    private companion object {
        /** Time for which holders that follow the first one that was told are told too. */
        const val RETENTION_MILLIS = 10_000L

        /** Bounds the holdings whose successors cannot be reached. */
        const val MAX_ENTRIES = 16
    }
}
