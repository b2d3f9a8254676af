package io.jackdawring.cli.client

import io.jackdawring.core.InstanceList
import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.StoreCall
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put

/** Calls of subcommands to the platform at [address]. */
internal class PlatformClient(
    private val client: ApiClient,
    private val address: String,
) {
    fun call(call: StoreCall): StoreAnswer =
        when (call) {
            is StoreCall.Get -> read(call.key, "")
            is StoreCall.Watch -> read(call.key, "?afterRevision=${call.afterRevision}&waitMillis=${call.waitMillis}")
            is StoreCall.CompareAndSwap -> write(call)
        }

    /** The platform's instance list, or null if the platform sent no valid one. */
    fun instances(): InstanceList? {
        val answer = client.send(ApiRequest("GET", address, "/instances")) as? ApiAnswer.Answered ?: return null
        if (answer.status != OK) return null
        return decode { lenient.decodeFromString(InstanceList.serializer(), answer.body) }
    }

    private fun read(
        key: String,
        query: String,
    ): StoreAnswer {
        val answer = client.send(ApiRequest("GET", address, "/kv/$key$query")) as? ApiAnswer.Answered
        if (answer == null || answer.status !in setOf(OK, NOT_FOUND)) return StoreAnswer.Unavailable(false)
        val body = parse(answer) ?: return StoreAnswer.Unavailable(false)
        return StoreAnswer.Found(body.value().takeIf { answer.status == OK }, body.revision())
    }

    private fun write(call: StoreCall.CompareAndSwap): StoreAnswer {
        val body =
            buildJsonObject {
                put("value", call.value)
                put("expectedRevision", call.expectedRevision)
                call.leaseMillis?.let { put("leaseMillis", it) }
            }
        val request = ApiRequest("PUT", address, "/kv/${call.key}", body.toString())
        val answer =
            when (val sent = client.send(request)) {
                is ApiAnswer.Answered -> sent
                is ApiAnswer.NoResponse -> return StoreAnswer.Unavailable(mayHaveApplied = true)
                is ApiAnswer.NotSent -> return StoreAnswer.Unavailable(mayHaveApplied = false)
            }
        val parsed = parse(answer)
        return when {
            answer.status == OK && parsed != null -> StoreAnswer.Written(parsed.revision())
            answer.status == PRECONDITION_FAILED && parsed != null ->
                StoreAnswer.Conflict(parsed.value(), parsed.revision())
            else -> StoreAnswer.Unavailable(mayHaveApplied = true)
        }
    }

    private fun parse(answer: ApiAnswer.Answered): JsonObject? =
        decode { Json.parseToJsonElement(answer.body).jsonObject }

    private fun JsonObject.value(): String? = this["value"]?.jsonPrimitive?.contentOrNull

    private fun JsonObject.revision(): Long = this["revision"]?.jsonPrimitive?.long ?: 0

    private fun <T> decode(read: () -> T): T? =
        try {
            read()
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val PRECONDITION_FAILED = 412
        val lenient = Json { ignoreUnknownKeys = true }
    }
}
