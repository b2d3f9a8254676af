package io.jackdawring.server.http

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/**
 * Builds an `application/problem+json` response.
 *
 * [name] becomes the `type` URI. [outcome] and [mayHaveRun] tell the caller whether any part of its request ran; by
 * default nothing did.
 */
internal fun problemResponse(
    status: Int,
    name: String,
    detail: String,
    outcome: String = "refused",
    mayHaveRun: Boolean = false,
    retryAfterMillis: Long? = null,
    taskIndex: Int? = null,
): HttpResponseMessage {
    val body =
        buildJsonObject {
            put("type", "urn:jackdawring:problem:$name")
            put("title", name.replace('-', ' '))
            put("status", status)
            put("detail", detail)
            put("outcome", outcome)
            put("mayHaveRun", mayHaveRun)
            if (retryAfterMillis != null) put("retryAfterMillis", retryAfterMillis)
            if (taskIndex != null) put("taskIndex", taskIndex)
        }
    var headers: ImmutableMap<String, String> = PROBLEM_HEADERS
    if (retryAfterMillis != null) {
        headers = PROBLEM_HEADERS.put("retry-after", retryAfterSeconds(retryAfterMillis).toString())
    }
    return HttpResponseMessage(status, headers, body.toString().encodeToByteArray())
}

/**
 * Response to a request that was not read completely.
 *
 * Under overload the submission of the request is not known, and an earlier attempt of it may have run. The status is
 * therefore not 503, which means "not run", but 504 with an unknown outcome.
 */
internal fun unreadRejection(
    status: Int,
    detail: String,
    retryAfterSeconds: Int?,
): HttpResponseMessage {
    val retryAfterMillis = retryAfterSeconds?.let { it * MILLIS_PER_SECOND.toLong() }
    return if (status == OVERLOADED_STATUS) {
        problemResponse(UNKNOWN_STATUS, "request-not-read", detail, "unknown", mayHaveRun = true, retryAfterMillis)
    } else {
        problemResponse(status, "invalid", detail, retryAfterMillis = retryAfterMillis)
    }
}

/** Whole seconds for `Retry-After`, rounded up so that a caller does not retry too early. */
private fun retryAfterSeconds(millis: Long): Long = (maxOf(0, millis) + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND

private const val OVERLOADED_STATUS = 503
private const val UNKNOWN_STATUS = 504
private const val MILLIS_PER_SECOND = 1_000
private val PROBLEM_HEADERS = persistentMapOf("content-type" to "application/problem+json")
