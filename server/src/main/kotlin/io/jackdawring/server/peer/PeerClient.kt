package io.jackdawring.server.peer

import io.jackdawring.core.Event
import io.jackdawring.core.membership.PeerMessage
import io.jackdawring.server.http.HttpClient
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.json.lenientJson
import io.jackdawring.server.metrics.ServerMetrics
import kotlinx.collections.immutable.persistentHashMapOf
import java.util.concurrent.Executor

/**
 * Sends one-way messages; each send ends in [Event.PeerSendAcknowledged] or [Event.PeerSendFailed].
 *
 * Messages are encoded by [encoder], because encoding a hand-over of many records would delay the control thread.
 */
internal class PeerClient(
    private val client: HttpClient,
    private val encoder: Executor,
    private val metrics: ServerMetrics,
    private val onEvent: (Event) -> Unit,
) {
    fun send(
        peerAddress: String,
        message: PeerMessage,
    ) = encoder.execute {
        val body = lenientJson.encodeToString(PeerMessage.serializer(), message).encodeToByteArray()
        val request = HttpRequestMessage("POST", PEER_MESSAGES_PATH, headers = HEADERS, body = body)
        client.send(peerAddress, request, SEND_LIMIT_MILLIS) { result ->
            val acknowledged = result is HttpResult.Answered && result.response.status == ACKNOWLEDGED_STATUS
            metrics.peerMessageSent(acknowledged)
            onEvent(
                if (acknowledged) {
                    Event.PeerSendAcknowledged(peerAddress, message)
                } else {
                    Event.PeerSendFailed(peerAddress, message)
                },
            )
        }
    }

    private companion object {
        const val SEND_LIMIT_MILLIS = 1_000L
        const val ACKNOWLEDGED_STATUS = 204
        val HEADERS = persistentHashMapOf("content-type" to "application/json")
    }
}

internal const val PEER_MESSAGES_PATH = "/peer/v1/messages"
