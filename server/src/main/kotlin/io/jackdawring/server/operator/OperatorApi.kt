package io.jackdawring.server.operator

import io.jackdawring.core.InstanceSnapshot
import io.jackdawring.server.burn.BurnReport
import io.jackdawring.server.burn.toHtml
import io.jackdawring.server.burn.toJson
import io.jackdawring.server.burn.toText
import io.jackdawring.server.control.ControlThread
import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpHandler
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.problemResponse
import io.jackdawring.server.json.lenientJson
import io.jackdawring.server.metrics.ServerMetrics
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import java.security.MessageDigest

/** Serves operators: health, readiness, status, burn rates and metrics. */
internal class OperatorApi(
    private val metrics: ServerMetrics,
    private val burnReport: () -> BurnReport,
    private val token: String?,
    private val control: () -> ControlThread,
) : HttpHandler {
    override fun handle(exchange: HttpExchange) {
        if (exchange.request.method !in READ_METHODS) {
            exchange.respond(problemResponse(405, "method-not-allowed", "only GET and HEAD are accepted here"))
            return
        }
        if (exchange.request.path !in OPEN_PATHS && !isAuthorized(exchange.request)) {
            exchange.respond(UNAUTHORIZED)
            return
        }
        when (exchange.request.path) {
            "/healthz" -> exchange.respond(text(if (control().isRunning) 200 else 503, "control thread"))
            "/readyz" -> withSnapshot(exchange) { text(if (it.ready && !it.draining) 200 else 503, readiness(it)) }
            "/v1/status" -> withSnapshot(exchange, ::status)
            "/v1/burn" -> exchange.respond(burn(exchange.request.query["format"] ?: "json"))
            "/metrics" -> withSnapshot(exchange, ::scrape)
            else -> exchange.respond(problemResponse(404, "not-found", "there is no such path"))
        }
    }

    private fun withSnapshot(
        exchange: HttpExchange,
        respond: (InstanceSnapshot) -> HttpResponseMessage,
    ) {
        if (!control().isRunning) {
            exchange.respond(problemResponse(503, "stopped", "the control thread has stopped"))
            return
        }
        control().inspect { exchange.respond(respond(it)) }
    }

    private fun readiness(snapshot: InstanceSnapshot): String =
        when {
            snapshot.draining -> "draining"
            snapshot.ready -> "ready"
            else -> "no configuration yet"
        }

    private fun status(snapshot: InstanceSnapshot): HttpResponseMessage {
        val body = lenientJson.encodeToString(StatusDocument.serializer(), StatusDocument(snapshot))
        return HttpResponseMessage(200, JSON_HEADERS, body.encodeToByteArray())
    }

    private fun burn(format: String): HttpResponseMessage =
        when (format) {
            "json" -> HttpResponseMessage(200, JSON_HEADERS, burnReport().toJson().encodeToByteArray())
            "html" -> HttpResponseMessage(200, HTML_HEADERS, burnReport().toHtml().encodeToByteArray())
            "text" -> HttpResponseMessage(200, TEXT_HEADERS, burnReport().toText().encodeToByteArray())
            else -> problemResponse(400, "invalid", "format must be json, html or text")
        }

    private fun isAuthorized(request: HttpRequestMessage): Boolean {
        if (token == null) return true
        val authorization = request.header("authorization").orEmpty()
        // The scheme is case-insensitive (RFC 9110); the token is compared in constant time.
        return authorization.startsWith(BEARER, ignoreCase = true) &&
            MessageDigest.isEqual(authorization.drop(BEARER.length).encodeToByteArray(), token.encodeToByteArray())
    }

    private fun scrape(snapshot: InstanceSnapshot): HttpResponseMessage {
        gauge(
            "jackdawring_configuration_version",
            "Version of the configuration in force.",
            snapshot.configurationVersion,
        )
        gauge("jackdawring_sessions", "Open sessions.", snapshot.sessions)
        gauge("jackdawring_records", "Submission records.", snapshot.records)
        gauge("jackdawring_running_jobs", "Jobs that have not been answered.", snapshot.runningJobs)
        gauge("jackdawring_queued_tasks", "Tasks that wait for a target.", snapshot.queuedTasks)
        gauge("jackdawring_tasks_in_flight", "Tasks that a target runs for this instance.", snapshot.tasksInFlight)
        gauge("jackdawring_store_reachable", "1 if the store answers.", if (snapshot.storeReachable) 1 else 0)
        gauge(
            "jackdawring_control_queue_requests",
            "Requests that wait for the control thread.",
            control().waitingRequests,
        )
        snapshot.targets.groupingBy { it.state }.eachCount().let { counts ->
            gauge("jackdawring_targets_usable", "Targets that are neither leaving nor isolated.", counts["usable"] ?: 0)
            gauge("jackdawring_targets_known", "Targets in the platform's list.", snapshot.targets.size)
        }
        return HttpResponseMessage(200, METRICS_HEADERS, metrics.exposition())
    }

    private fun gauge(
        name: String,
        help: String,
        value: Number,
    ) = metrics.gauge(name, help, value.toDouble())

    private fun text(
        status: Int,
        body: String,
    ) = HttpResponseMessage(status, TEXT_HEADERS, "$body\n".encodeToByteArray())

    private companion object {
        const val BEARER = "Bearer "

        /** The platform's probes send no token. */
        val OPEN_PATHS = setOf("/healthz", "/readyz")
        val UNAUTHORIZED =
            problemResponse(401, "unauthorized", "a valid bearer token is required").let {
                HttpResponseMessage(it.status, it.headers.toPersistentMap().put("www-authenticate", "Bearer"), it.body)
            }
        val HTML_HEADERS = persistentMapOf("content-type" to "text/html; charset=utf-8")
        val READ_METHODS = setOf("GET", "HEAD")
        val TEXT_HEADERS = persistentMapOf("content-type" to "text/plain; charset=utf-8")
        val JSON_HEADERS = persistentMapOf("content-type" to "application/json")
        val METRICS_HEADERS = persistentMapOf("content-type" to ServerMetrics.contentType)
    }
}
