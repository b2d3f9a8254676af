package io.jackdawring.cli.process

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.UUID
import java.util.concurrent.CompletableFuture
import kotlin.random.Random

/** Response to a call; [status] is 0 if none arrived. */
internal data class Answer(
    val status: Int,
    val body: String,
    val retryAfter: String?,
) {
    val results: Int get() = (Json.parseToJsonElement(body).jsonObject["results"] as? JsonArray)?.size ?: 0

    val isUnknown: Boolean
        get() =
            status == 504 &&
                Json
                    .parseToJsonElement(body)
                    .jsonObject["outcome"]
                    ?.jsonPrimitive
                    ?.content == "unknown"

    /** Whether the answer is a refusal, which states that nothing ran. */
    val isRefused: Boolean get() = status == 429 || status == 503
}

/** One submission, which may be sent several times. */
internal data class Job(
    val id: String,
    val tasks: Int = 1,
    val runMillis: Long = 20,
    val deadlineMillis: Long = 20_000,
) {
    val body: String
        get() {
            val task = """{"payload":{"runMillis":$runMillis},"expectedMillis":$runMillis}"""
            val tasks = List(tasks) { task }.joinToString(",")
            return """{"caller":"$CALLER","service":"orders","kind":"check",""" +
                """"deadlineMillis":$deadlineMillis,"tasks":[$tasks]}"""
        }
}

internal const val CALLER = "house-12"

/** Sends HTTP requests without TLS. */
internal object Http {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    fun send(
        method: String,
        address: String,
        path: String,
        body: String = "",
        headers: Map<String, String> = emptyMap(),
    ): CompletableFuture<Answer> {
        val request = HttpRequest.newBuilder(URI("http://$address$path"))
        request.method(method, HttpRequest.BodyPublishers.ofString(body)).header("content-type", "application/json")
        headers.forEach(request::header)
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString()).handle { response, failure ->
            if (failure != null) {
                Answer(0, "$failure", null)
            } else {
                Answer(
                    response.statusCode(),
                    response.body(),
                    response.headers().firstValue("retry-after").orElse(null),
                )
            }
        }
    }

    fun openSession(entry: String): String? {
        val answer = send("POST", entry, "/v1/sessions", """{"caller":"$CALLER"}""").get()
        if (answer.status != 201) return null
        return Json
            .parseToJsonElement(answer.body)
            .jsonObject
            .getValue("session")
            .jsonPrimitive.content
    }

    /** Submits [job]; without a [session], [firstAttempt] declares that it was not sent before. */
    fun submit(
        entry: String,
        session: String?,
        job: Job,
        firstAttempt: Boolean = false,
    ): CompletableFuture<Answer> {
        val headers = mutableMapOf("Idempotency-Key" to job.id)
        session?.let { headers["Jackdaw-Session"] = it }
        if (firstAttempt) headers["Jackdaw-Attempt"] = "1"
        return send("POST", entry, "/v1/jobs", job.body, headers)
    }
}

/** A UUIDv7 with the current time, as needed for the id of a submission without a session. */
internal fun uuidV7(): String {
    val most = (System.currentTimeMillis() shl 16) or 0x7000L or Random.nextLong(0x1000)
    return UUID(most, Long.MIN_VALUE or Random.nextLong(1L shl 62)).toString()
}
