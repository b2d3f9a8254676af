package io.jackdawring.fleet.peer

import io.jackdawring.core.fleet.FleetMember
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
import io.jackdawring.server.http.HttpCall
import io.jackdawring.server.http.HttpClient
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.HttpResult
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Sends messages to other entry instances; results arrive on the control thread. */
internal class PeerClient(
    private val client: HttpClient,
) {
    /** Submits a job to [member], whose answer is the job's outcome and takes up to [timeoutMillis]. */
    fun submitJob(
        member: FleetMember,
        message: JobMessage,
        timeoutMillis: Long,
        onReply: (PeerReply<OutcomeMessage>) -> Unit,
    ): HttpCall =
        send(
            member,
            PeerPaths.JOB,
            JobMessage.serializer(),
            message,
            OutcomeMessage.serializer(),
            timeoutMillis,
            onReply,
        )

    fun ping(
        member: FleetMember,
        message: PingMessage,
        onReply: (PeerReply<PongMessage>) -> Unit,
    ): HttpCall =
        send(
            member,
            PeerPaths.PING,
            PingMessage.serializer(),
            message,
            PongMessage.serializer(),
            PING_TIMEOUT_MILLIS,
            onReply,
        )

    fun handOver(
        member: FleetMember,
        message: HandOverMessage,
        onReply: (PeerReply<HandOverReply>) -> Unit,
    ): HttpCall =
        send(
            member,
            PeerPaths.HAND_OVER,
            HandOverMessage.serializer(),
            message,
            HandOverReply.serializer(),
            HAND_OVER_TIMEOUT_MILLIS,
            onReply,
        )

    /** Tells [member], which holds the shard of [message], that an earlier holder has stopped. */
    fun announceStop(
        member: FleetMember,
        message: HandOverMessage,
        onReply: (PeerReply<HandOverReply>) -> Unit,
    ): HttpCall =
        send(
            member,
            PeerPaths.STOPPED,
            HandOverMessage.serializer(),
            message,
            HandOverReply.serializer(),
            PING_TIMEOUT_MILLIS,
            onReply,
        )

    /** Asks [member] to confirm the holder of a shard while the store is out. */
    fun requestConfirmation(
        member: FleetMember,
        message: ConfirmationMessage,
        onReply: (PeerReply<ConfirmationReply>) -> Unit,
    ): HttpCall =
        send(
            member,
            PeerPaths.CONFIRM,
            ConfirmationMessage.serializer(),
            message,
            ConfirmationReply.serializer(),
            PING_TIMEOUT_MILLIS,
            onReply,
        )

    /** Asks [member] to store a durable job; its answer takes up to [timeoutMillis]. */
    fun persist(
        member: FleetMember,
        message: PersistMessage,
        timeoutMillis: Long,
        onReply: (PeerReply<PersistReply>) -> Unit,
    ): HttpCall =
        send(
            member,
            PeerPaths.KEEP,
            PersistMessage.serializer(),
            message,
            PersistReply.serializer(),
            timeoutMillis,
            onReply,
        )

    fun queryState(
        member: FleetMember,
        message: JobStateMessage,
        onReply: (PeerReply<JobStateReply>) -> Unit,
    ): HttpCall =
        send(
            member,
            PeerPaths.KEPT_STATE,
            JobStateMessage.serializer(),
            message,
            JobStateReply.serializer(),
            STATE_TIMEOUT_MILLIS,
            onReply,
        )

    fun countPending(
        member: FleetMember,
        message: PendingMessage,
        onReply: (PeerReply<PendingReply>) -> Unit,
    ): HttpCall =
        send(
            member,
            PeerPaths.PENDING,
            PendingMessage.serializer(),
            message,
            PendingReply.serializer(),
            PING_TIMEOUT_MILLIS,
            onReply,
        )

    /** Asks [member] how soon one of its shards can run jobs of another shard. */
    fun queryDelays(
        member: FleetMember,
        message: DelaysMessage,
        onReply: (PeerReply<DelaysReply>) -> Unit,
    ): HttpCall =
        send(
            member,
            PeerPaths.DELAYS,
            DelaysMessage.serializer(),
            message,
            DelaysReply.serializer(),
            PING_TIMEOUT_MILLIS,
            onReply,
        )

    /** Asks [member] for which tasks of another shard one of its shards has room. */
    fun queryRoom(
        member: FleetMember,
        message: RoomMessage,
        onReply: (PeerReply<RoomReply>) -> Unit,
    ): HttpCall =
        send(
            member,
            PeerPaths.ROOM,
            RoomMessage.serializer(),
            message,
            RoomReply.serializer(),
            PING_TIMEOUT_MILLIS,
            onReply,
        )

    /** Asks [member] which of the parts that one of its shards runs have results. */
    fun queryParts(
        member: FleetMember,
        message: PartsMessage,
        onReply: (PeerReply<PartsReply>) -> Unit,
    ): HttpCall =
        send(
            member,
            PeerPaths.PARTS,
            PartsMessage.serializer(),
            message,
            PartsReply.serializer(),
            PING_TIMEOUT_MILLIS,
            onReply,
        )

    private fun <Request, Reply> send(
        member: FleetMember,
        path: String,
        requestType: KSerializer<Request>,
        message: Request,
        replyType: KSerializer<Reply>,
        timeoutMillis: Long,
        onReply: (PeerReply<Reply>) -> Unit,
    ): HttpCall {
        val body = peerJson.encodeToString(requestType, message).encodeToByteArray()
        val request = HttpRequestMessage("POST", path, headers = JSON_HEADERS, body = body)
        return client.send(member.address, request, timeoutMillis) { onReply(decode(it, replyType)) }
    }

    private fun <Reply> decode(
        result: HttpResult,
        type: KSerializer<Reply>,
    ): PeerReply<Reply> =
        when (result) {
            is HttpResult.Answered -> decodeBody(result.response, type)
            is HttpResult.NotSent ->
                if (result.cancelled) PeerReply.Cancelled else PeerReply.NotSent(result.detail, result.refused)
            is HttpResult.NoResponse ->
                if (result.cancelled) PeerReply.Cancelled else PeerReply.NoResponse(result.detail)
        }

    private fun <Reply> decodeBody(
        response: HttpResponseMessage,
        type: KSerializer<Reply>,
    ): PeerReply<Reply> {
        if (response.status != STATUS_OK) return PeerReply.Rejected(response.status)
        return try {
            PeerReply.Answered(peerJson.decodeFromString(type, response.body.decodeToString()))
        } catch (e: SerializationException) {
            PeerReply.NoResponse("malformed answer: ${e.message}")
        }
    }

    companion object {
        private const val STATUS_OK = 200

        /** Two pings fit into the time after which a holder is suspected. */
        const val PING_TIMEOUT_MILLIS = 300L

        /** Covers several commits to a healthy store. */
        const val HAND_OVER_TIMEOUT_MILLIS = 500L

        /** A cancellation is answered only when it is stored. */
        private const val STATE_TIMEOUT_MILLIS = 800L
        private val JSON_HEADERS = persistentMapOf("content-type" to "application/json")
    }
}

/** Result of a request to a peer. */
internal sealed interface PeerReply<out T> {
    class Answered<T>(
        val message: T,
    ) : PeerReply<T>

    /** The peer answered with an error, for example because it does not hold the shard. */
    class Rejected(
        val status: Int,
    ) : PeerReply<Nothing>

    /** No byte of the request was sent; with [refused], no process listens at the address of the peer. */
    class NotSent(
        val detail: String,
        val refused: Boolean,
    ) : PeerReply<Nothing>

    /** The request was cancelled by its sender, which says nothing about the health of the peer. */
    data object Cancelled : PeerReply<Nothing>

    /** The request was sent at least in part, and no usable answer arrived. */
    class NoResponse(
        val detail: String,
    ) : PeerReply<Nothing>
}

internal val peerJson = Json { ignoreUnknownKeys = true }

/** HTTP paths of the API between entry instances. */
internal object PeerPaths {
    const val JOB = "/peer/job"
    const val PING = "/peer/ping"
    const val HAND_OVER = "/peer/hand-over"
    const val STOPPED = "/peer/stopped"
    const val CONFIRM = "/peer/confirm"
    const val KEEP = "/peer/keep"
    const val KEPT_STATE = "/peer/kept-state"
    const val PENDING = "/peer/pending"
    const val DELAYS = "/peer/delays"
    const val ROOM = "/peer/room"
    const val PARTS = "/peer/parts"
}
