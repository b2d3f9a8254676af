package io.jackdawring.fleet.peer

import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.fleet.kept.KeepMessage
import io.jackdawring.fleet.kept.KeepReply
import io.jackdawring.fleet.kept.KeptStateMessage
import io.jackdawring.fleet.kept.KeptStateReply
import io.jackdawring.fleet.kept.PendingMessage
import io.jackdawring.fleet.kept.PendingReply
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
    /** Asks [member] for the outcome of a job and waits up to [timeoutMillis]. */
    fun askForOutcome(
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

    /** Asks [member] to store a job; its answer takes up to [timeoutMillis]. */
    fun submitDurable(
        member: FleetMember,
        message: KeepMessage,
        timeoutMillis: Long,
        onReply: (PeerReply<KeepReply>) -> Unit,
    ): HttpCall =
        send(
            member,
            PeerPaths.KEEP,
            KeepMessage.serializer(),
            message,
            KeepReply.serializer(),
            timeoutMillis,
            onReply,
        )

    fun askState(
        member: FleetMember,
        message: KeptStateMessage,
        onReply: (PeerReply<KeptStateReply>) -> Unit,
    ): HttpCall =
        send(
            member,
            PeerPaths.KEPT_STATE,
            KeptStateMessage.serializer(),
            message,
            KeptStateReply.serializer(),
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
                if (result.cancelled) PeerReply.Cancelled else PeerReply.NotSent(result.detail)
            is HttpResult.NoResponse ->
                if (result.cancelled) PeerReply.Cancelled else PeerReply.NoResponse(result.detail)
        }

    private fun <Reply> decodeBody(
        response: HttpResponseMessage,
        type: KSerializer<Reply>,
    ): PeerReply<Reply> {
        if (response.status != STATUS_OK) return PeerReply.Denied(response.status)
        return try {
            PeerReply.Answered(peerJson.decodeFromString(type, response.body.decodeToString()))
        } catch (e: SerializationException) {
            PeerReply.NoResponse("the answer cannot be read: ${e.message}")
        }
    }

    private companion object {
        const val STATUS_OK = 200

        /** Below the silence after which a holder is suspected, so that two pings fit into it. */
        const val PING_TIMEOUT_MILLIS = 300L

        /** Several commits to a healthy store. */
        const val HAND_OVER_TIMEOUT_MILLIS = 500L

        /** A cancellation is answered once it is stored. */
        const val STATE_TIMEOUT_MILLIS = 800L
        val JSON_HEADERS = persistentMapOf("content-type" to "application/json")
    }
}

/** Result of a message to a peer. */
internal sealed interface PeerReply<out T> {
    class Answered<T>(
        val message: T,
    ) : PeerReply<T>

    /** The peer does not do what was asked, for example because it does not hold the shard. */
    class Denied(
        val status: Int,
    ) : PeerReply<Nothing>

    /** No byte of the message was sent. */
    class NotSent(
        val detail: String,
    ) : PeerReply<Nothing>

    /** The message was taken back by its sender, which tells nothing of the peer. */
    data object Cancelled : PeerReply<Nothing>

    /** The message was sent and not answered usably. */
    class NoResponse(
        val detail: String,
    ) : PeerReply<Nothing>
}

internal val peerJson = Json { ignoreUnknownKeys = true }

/** Paths of the interface between entry instances. */
internal object PeerPaths {
    const val JOB = "/peer/job"
    const val PING = "/peer/ping"
    const val HAND_OVER = "/peer/hand-over"
    const val KEEP = "/peer/keep"
    const val KEPT_STATE = "/peer/kept-state"
    const val PENDING = "/peer/pending"
}
