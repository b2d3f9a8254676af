package io.jackdawring.standins

import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResponseMessage
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.serializer

internal val messageJson = Json { encodeDefaults = true }

@Serializable
internal data class Problem(
    val detail: String,
)

internal val JSON_HEADERS: ImmutableMap<String, String> = persistentMapOf("content-type" to "application/json")

internal fun problem(
    status: Int,
    detail: String,
): HttpResponseMessage = jsonResponse(status, Problem(detail))

internal inline fun <reified T> jsonResponse(
    status: Int,
    body: T,
): HttpResponseMessage =
    HttpResponseMessage(status, JSON_HEADERS, messageJson.encodeToString(serializer<T>(), body).encodeToByteArray())

/** Body of the request as [T]; responds with 400 and returns null if it is not valid. */
internal fun <T : Any> HttpExchange.bodyOrRefuse(serializer: KSerializer<T>): T? =
    try {
        messageJson.decodeFromString(serializer, request.body.decodeToString())
    } catch (e: SerializationException) {
        respond(problem(400, "body: ${e.message}"))
        null
    }

internal fun HttpRequestMessage.queryLong(name: String): Long? = query[name]?.toLongOrNull()
