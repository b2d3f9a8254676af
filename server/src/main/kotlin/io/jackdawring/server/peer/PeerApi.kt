package io.jackdawring.server.peer

import io.jackdawring.core.Event
import io.jackdawring.core.membership.PeerMessage
import io.jackdawring.server.control.ControlThread
import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpHandler
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.problemResponse
import io.jackdawring.server.json.lenientJson
import io.jackdawring.server.metrics.ServiceCatalog
import kotlinx.serialization.SerializationException

/** Receives messages from other entry instances. */
internal class PeerApi(
    private val catalog: ServiceCatalog,
    private val control: () -> ControlThread,
) : HttpHandler {
    override fun handle(exchange: HttpExchange) {
        val request = exchange.request
        if (request.path != PEER_MESSAGES_PATH || request.method != "POST") {
            exchange.respond(problemResponse(404, "not-found", "only POST $PEER_MESSAGES_PATH exists here"))
            return
        }
        val message =
            try {
                lenientJson.decodeFromString(PeerMessage.serializer(), request.body.decodeToString())
            } catch (_: SerializationException) {
                exchange.respond(problemResponse(400, "invalid", "the body is not a peer message"))
                return
            } catch (_: IllegalArgumentException) {
                exchange.respond(problemResponse(400, "invalid", "the body is not a peer message"))
                return
            }
        catalog.updateFromPeer(message)
        val queued = control().offerPeerMessage(Event.PeerMessageReceived(message))
        exchange.respond(if (queued) ACKNOWLEDGED else QUEUE_FULL)
    }

    private companion object {
        val ACKNOWLEDGED = HttpResponseMessage(204)
        val QUEUE_FULL = problemResponse(503, "overloaded", "the control queue is full", retryAfterMillis = 1_000)
    }
}
