package io.jackdawring.server.caller

import io.jackdawring.core.Outcome
import io.jackdawring.core.RequestId
import io.jackdawring.core.SessionClaims
import io.jackdawring.server.control.OpenRequest
import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.metrics.ServerMetrics
import io.jackdawring.server.metrics.ServiceKind
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** A caller's open HTTP request; [job] is null for requests that open a session. */
internal class CallerRequest(
    override val requestId: RequestId,
    private val exchange: HttpExchange,
    private val job: ServiceKind?,
    private val tokens: SessionTokens,
    private val metrics: ServerMetrics,
) : OpenRequest {
    private val startNanos = System.nanoTime()

    override fun answer(outcome: Outcome) {
        exchange.respondWith {
            if (job == null) {
                metrics.sessionAnswered(granted = false)
            } else {
                metrics.jobAnswered(job, outcome, System.nanoTime() - startNanos)
            }
            responseOf(outcome)
        }
    }

    override fun grantSession(
        claims: SessionClaims,
        expiresInMillis: Long,
    ) {
        exchange.respondWith {
            metrics.sessionAnswered(granted = true)
            val body =
                buildJsonObject {
                    put("session", tokens.sign(claims))
                    put("expiresInMillis", expiresInMillis)
                }
            HttpResponseMessage(201, JSON_HEADERS, body.toString().encodeToByteArray())
        }
    }

    private companion object {
        val JSON_HEADERS = persistentMapOf("content-type" to "application/json")
    }
}
