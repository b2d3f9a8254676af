package io.jackdawring.fleet.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.InstanceId
import io.jackdawring.core.PauseGuard
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobState
import io.jackdawring.fleet.ControlLoop
import io.jackdawring.fleet.HeldShards
import io.jackdawring.fleet.PeerSilence
import io.jackdawring.fleet.ShardLoads
import io.jackdawring.fleet.durable.DelaysMessage
import io.jackdawring.fleet.durable.DelaysReply
import io.jackdawring.fleet.durable.JobStateMessage
import io.jackdawring.fleet.durable.JobStateReply
import io.jackdawring.fleet.durable.PartsMessage
import io.jackdawring.fleet.durable.PartsReply
import io.jackdawring.fleet.durable.PendingMessage
import io.jackdawring.fleet.durable.PendingReply
import io.jackdawring.fleet.durable.PersistMessage
import io.jackdawring.fleet.durable.PersistReply
import io.jackdawring.fleet.durable.RoomMessage
import io.jackdawring.fleet.durable.RoomReply
import io.jackdawring.fleet.shard.ShardHost
import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpResponseMessage
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException

private val logger = KotlinLogging.logger("io.jackdawring.fleet")

/** Handles requests of other entry instances; confined to the control thread, on which its listener runs. */
internal class PeerApi(
    private val incarnation: String,
    private val shards: HeldShards,
    private val loop: ControlLoop,
    private val loads: ShardLoads,
    private val itemsNewerThan: (PingMessage) -> List<ItemMessage>,
    private val pauses: PauseGuard,
    private val silence: PeerSilence,
    private val onPeerRequest: (sender: InstanceId, sentAtMillis: Long) -> Unit,
) {
    fun handle(exchange: HttpExchange) {
        try {
            when (exchange.request.path) {
                PeerPaths.JOB -> onJob(exchange, decode(exchange, JobMessage.serializer()))
                PeerPaths.PING -> onPing(exchange, decode(exchange, PingMessage.serializer()))
                PeerPaths.HAND_OVER -> onHandOver(exchange, decode(exchange, HandOverMessage.serializer()))
                PeerPaths.STOPPED -> onHolderStopped(exchange, decode(exchange, HandOverMessage.serializer()))
                PeerPaths.CONFIRM -> onConfirmation(exchange, decode(exchange, ConfirmationMessage.serializer()))
                PeerPaths.KEEP -> onPersist(exchange, decode(exchange, PersistMessage.serializer()))
                PeerPaths.KEPT_STATE -> onJobState(exchange, decode(exchange, JobStateMessage.serializer()))
                PeerPaths.PENDING -> onPending(exchange, decode(exchange, PendingMessage.serializer()))
                PeerPaths.DELAYS -> onDelays(exchange, decode(exchange, DelaysMessage.serializer()))
                PeerPaths.ROOM -> onRoom(exchange, decode(exchange, RoomMessage.serializer()))
                PeerPaths.PARTS -> onParts(exchange, decode(exchange, PartsMessage.serializer()))
                else -> exchange.respond(HttpResponseMessage(STATUS_NOT_FOUND))
            }
        } catch (e: SerializationException) {
            exchange.respond(HttpResponseMessage(STATUS_INVALID, body = "${e.message}\n".encodeToByteArray()))
        }
    }

    private fun <T> decode(
        exchange: HttpExchange,
        type: KSerializer<T>,
    ): T = peerJson.decodeFromString(type, exchange.request.body.decodeToString())

    private fun onJob(
        exchange: HttpExchange,
        message: JobMessage,
    ) {
        val host = hostOrReject(exchange, message.shardId) ?: return
        if (host.holding.revision < message.revision || isOutdated(message) || mayBeHeldUp(message)) {
            exchange.respond(HttpResponseMessage(STATUS_NOT_HOLDER))
            return
        }
        val ageMillis = ageMillis(message.sentAtMillis)
        onPeerRequest(InstanceId(message.relay), loop.nowMillis() - ageMillis)
        val request = message.request
        val remainingMillis = maxOf(1, request.remainingMillis - ageMillis)
        val waiter =
            host.submit(message.relay, request.copy(remainingMillis = remainingMillis)) { outcome ->
                exchange.respond(json(OutcomeMessage.serializer(), OutcomeMessage.of(outcome)))
            }
        exchange.onDisconnected { loop.execute { host.withdraw(waiter, hasCallerLeft = false) } }
    }

    private fun ageMillis(sentAtMillis: Long?): Long = sentAtMillis?.let { maxOf(0, loop.nowMillis() - it) } ?: 0

    /** Whether the network has held [message] up for so long that its caller may have sent the job again. */
    private fun isOutdated(message: JobMessage): Boolean {
        val ageMillis = ageMillis(message.sentAtMillis)
        if (ageMillis <= MAX_JOB_AGE_MILLIS) return false
        val id = message.request.job.id.value
        logger.info { "rejected job $id of ${message.relay}, which arrived $ageMillis ms after it was sent" }
        return true
    }

    /** Whether [message] may be as old as a pause or a cut that has just ended; its relay sends it again if it still waits. */
    private fun mayBeHeldUp(message: JobMessage): Boolean {
        val now = loop.nowMillis()
        if (pauses.isCatchingUp(now)) return true
        val sentAtMillis = message.sentAtMillis ?: return silence.mayHoldUp(now)
        // The relay knows a lower bound of this clock, which can only be ahead if the clock has stood still meanwhile.
        return sentAtMillis > now + MAX_CLOCK_ERROR_MILLIS
    }

    private fun hostOrReject(
        exchange: HttpExchange,
        shardId: ShardId,
    ): ShardHost? {
        val host = shards.host(shardId)
        if (host == null) exchange.respond(HttpResponseMessage(STATUS_NOT_HOLDER))
        return host
    }

    private fun onPersist(
        exchange: HttpExchange,
        message: PersistMessage,
    ) {
        val host = hostOrReject(exchange, message.shardId) ?: return
        host.persist(message) { outcome ->
            exchange.respond(json(PersistReply.serializer(), PersistReply(outcome)))
        }
    }

    private fun onJobState(
        exchange: HttpExchange,
        message: JobStateMessage,
    ) {
        val host = hostOrReject(exchange, message.shardId) ?: return
        val respond = { state: JobState? -> exchange.respond(json(JobStateReply.serializer(), JobStateReply(state))) }
        if (message.cancel) {
            host.cancel(message.jobId, message.isStored, respond)
        } else {
            host.queryState(message.jobId, respond)
        }
    }

    private fun onPending(
        exchange: HttpExchange,
        message: PendingMessage,
    ) {
        val host = hostOrReject(exchange, message.shardId) ?: return
        exchange.respond(json(PendingReply.serializer(), PendingReply(host.pendingJobs(message.queue))))
    }

    private fun onDelays(
        exchange: HttpExchange,
        message: DelaysMessage,
    ) {
        val host = hostOrReject(exchange, message.shardId) ?: return
        exchange.respond(json(DelaysReply.serializer(), DelaysReply(message.needs.map(host::delayMillis))))
    }

    private fun onRoom(
        exchange: HttpExchange,
        message: RoomMessage,
    ) {
        val host = hostOrReject(exchange, message.shardId) ?: return
        exchange.respond(json(RoomReply.serializer(), RoomReply(host.hasRoom(message.needs))))
    }

    private fun onParts(
        exchange: HttpExchange,
        message: PartsMessage,
    ) {
        val host = hostOrReject(exchange, message.shardId) ?: return
        val withResults = host.partsWithResults(message.parts.mapKeys { JobId(it.key) }).map { it.value }
        exchange.respond(json(PartsReply.serializer(), PartsReply(withResults)))
    }

    private fun onPing(
        exchange: HttpExchange,
        message: PingMessage,
    ) {
        onPeerRequest(InstanceId(message.sender), loop.nowMillis() - ageMillis(message.sentAtMillis))
        val pong =
            PongMessage(
                incarnation,
                shards.held.toList(),
                itemsNewerThan(message),
                loads.messages(),
                loop.nowMillis(),
                shards.unservedMillis(),
            )
        exchange.respond(json(PongMessage.serializer(), pong))
    }

    private fun onHandOver(
        exchange: HttpExchange,
        message: HandOverMessage,
    ) {
        shards.takeOver(message) { taken -> exchange.respond(json(HandOverReply.serializer(), HandOverReply(taken))) }
    }

    private fun onHolderStopped(
        exchange: HttpExchange,
        message: HandOverMessage,
    ) {
        val taken = shards.onHolderStopped(message)
        exchange.respond(json(HandOverReply.serializer(), HandOverReply(taken)))
    }

    private fun onConfirmation(
        exchange: HttpExchange,
        message: ConfirmationMessage,
    ) {
        shards.election.onPeerRequest(InstanceId(message.sender), loop.nowMillis())
        val confirmed = shards.confirm(message.shardId, message.revision)
        exchange.respond(json(ConfirmationReply.serializer(), ConfirmationReply(confirmed)))
    }

    private fun <T> json(
        type: KSerializer<T>,
        value: T,
    ) = HttpResponseMessage(STATUS_OK, JSON_HEADERS, peerJson.encodeToString(type, value).encodeToByteArray())

    private companion object {
        /** Below the time after which callers send a job again, above the delays of a busy network and holder. */
        const val MAX_JOB_AGE_MILLIS = 1_000L

        /** Far above the drift of two clocks between two pings. */
        const val MAX_CLOCK_ERROR_MILLIS = 100L
        const val STATUS_OK = 200
        const val STATUS_INVALID = 400
        const val STATUS_NOT_FOUND = 404

        /** The request was not carried out, because this instance does not hold the shard or it is outdated. */
        const val STATUS_NOT_HOLDER = 409
        val JSON_HEADERS = persistentMapOf("content-type" to "application/json")
    }
}
