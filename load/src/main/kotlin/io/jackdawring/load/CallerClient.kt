package io.jackdawring.load

import io.jackdawring.server.http.HttpClient
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.standins.Timers
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** HTTP client for the callers' API; each message is delayed by [oneWayMillis] to simulate network latency. */
internal class CallerClient(
    private val client: HttpClient,
    private val timers: Timers,
    private val oneWayMillis: Long = 0,
) {
    /** Opens a session for [caller] at [entry] and passes its token, or null if it was refused, to [onSession]. */
    fun openSession(
        entry: String,
        caller: String,
        onSession: (String?) -> Unit,
    ) {
        val body = buildJsonObject { put("caller", caller) }
        send(entry, "/v1/sessions", emptyMap(), body, SESSION_TIMEOUT_MILLIS) { result ->
            val answer = (result as? HttpResult.Answered)?.response?.takeIf { it.status == 201 }
            onSession(answer?.let(::jsonObject)?.text("session"))
        }
    }

    /** Submits [job] at [entry] and passes the answer, with a reason unless it is complete, to [onAnswer]. */
    fun submit(
        entry: String,
        session: String,
        job: JobSpec,
        onAnswer: (answer: JobAnswer, detail: String) -> Unit,
    ) {
        val headers = mapOf("jackdaw-session" to session, "idempotency-key" to job.submissionId)
        // The entry instance answers by the deadline; the margin covers the transfer of its answer to the caller.
        val timeoutMillis = job.deadlineMillis + ANSWER_MARGIN_MILLIS
        send(entry, "/v1/jobs", headers, body(job), timeoutMillis) { result ->
            onAnswer(answer(job, result), detail(result))
        }
    }

    private fun send(
        entry: String,
        path: String,
        headers: Map<String, String>,
        body: JsonObject,
        timeoutMillis: Long,
        onResult: (HttpResult) -> Unit,
    ) {
        val allHeaders = persistentMapOf("content-type" to "application/json").putAll(headers)
        val request =
            HttpRequestMessage("POST", path, headers = allHeaders, body = body.toString().encodeToByteArray())
        afterLatency { client.send(entry, request, timeoutMillis) { afterLatency { onResult(it) } } }
    }

    private fun afterLatency(action: () -> Unit) {
        if (oneWayMillis == 0L) action() else timers.schedule(oneWayMillis, action)
    }

    private fun body(job: JobSpec): JsonObject =
        buildJsonObject {
            put("service", job.service)
            put("kind", job.kind)
            put("deadlineMillis", job.deadlineMillis)
            putJsonArray("tasks") {
                job.runMillis.forEachIndexed { index, runMillis ->
                    addJsonObject {
                        putJsonObject("payload") {
                            put("runMillis", runMillis)
                            put("marker", job.marker(index))
                        }
                        put("expectedMillis", runMillis)
                    }
                }
            }
        }

    private companion object {
        const val SESSION_TIMEOUT_MILLIS = 5_000L
        const val ANSWER_MARGIN_MILLIS = 2_000L
    }
}

private fun answer(
    job: JobSpec,
    result: HttpResult,
): JobAnswer =
    when (result) {
        is HttpResult.NotSent -> JobAnswer.NOT_SENT
        is HttpResult.NoResponse -> JobAnswer.NO_ANSWER
        is HttpResult.Answered ->
            when (result.response.status) {
                200 -> if (isComplete(job, result.response)) JobAnswer.COMPLETE else JobAnswer.WRONG
                502 -> JobAnswer.FAILED
                400, 409, 413, 422, 429, 503 -> JobAnswer.REFUSED
                504 -> JobAnswer.UNKNOWN
                else -> JobAnswer.WRONG
            }
    }

private fun detail(result: HttpResult): String =
    when (result) {
        is HttpResult.NotSent -> result.detail
        is HttpResult.NoResponse -> result.detail
        is HttpResult.Answered -> {
            val response = result.response
            if (response.status == 200) "" else "${response.status} ${jsonObject(response)?.text("detail").orEmpty()}"
        }
    }

private fun isComplete(
    job: JobSpec,
    response: HttpResponseMessage,
): Boolean {
    val results = jsonObject(response)?.get("results") as? List<*> ?: return false
    return results.size == job.runMillis.size &&
        results.withIndex().all { (index, result) ->
            ((result as? JsonObject)?.get("payload") as? JsonObject)?.text("marker") == job.marker(index)
        }
}

private fun jsonObject(response: HttpResponseMessage): JsonObject? =
    try {
        Json.parseToJsonElement(response.body.decodeToString()) as? JsonObject
    } catch (_: SerializationException) {
        null
    }

private fun JsonObject.text(name: String): String? = (get(name) as? JsonPrimitive)?.contentOrNull
