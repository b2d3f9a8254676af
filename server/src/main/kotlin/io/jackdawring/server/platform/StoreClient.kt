package io.jackdawring.server.platform

import io.jackdawring.core.Event
import io.jackdawring.core.OperationId
import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.StoreCall
import io.jackdawring.server.http.HttpClient
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.json.lenientJson
import io.jackdawring.server.metrics.ServerMetrics
import io.jackdawring.server.metrics.ServiceCatalog
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/** Calls the platform's key-value store; each call ends in one [Event.StoreAnswered]. */
internal class StoreClient(
    private val client: HttpClient,
    private val platformAddress: String,
    private val timeoutMillis: Long,
    private val metrics: ServerMetrics,
    private val catalog: ServiceCatalog,
    private val onEvent: (Event) -> Unit,
) {
    fun call(
        operationId: OperationId,
        call: StoreCall,
    ) {
        val limitMillis = if (call is StoreCall.Watch) call.waitMillis + timeoutMillis else timeoutMillis
        client.send(platformAddress, storeRequest(call), limitMillis) { result ->
            val answer = storeAnswer(call, result)
            metrics.storeAnswered(call, answer)
            if (call is StoreCall.Get && answer is StoreAnswer.Found) {
                answer.value?.let { catalog.updateFromStore(call.key, it) }
            }
            onEvent(Event.StoreAnswered(operationId, answer))
        }
    }
}

private fun storeRequest(call: StoreCall): HttpRequestMessage =
    when (call) {
        is StoreCall.Get -> {
            HttpRequestMessage("GET", keyPath(call.key))
        }

        is StoreCall.Watch -> {
            val query =
                persistentHashMapOf(
                    "afterRevision" to call.afterRevision.toString(),
                    "waitMillis" to call.waitMillis.toString(),
                )
            HttpRequestMessage("GET", keyPath(call.key), query)
        }

        is StoreCall.CompareAndSwap -> {
            val write = KeyWrite(call.value, call.expectedRevision, call.leaseMillis)
            HttpRequestMessage(
                "PUT",
                keyPath(call.key),
                headers = JSON_HEADERS,
                body = writeJson.encodeToString(KeyWrite.serializer(), write).encodeToByteArray(),
            )
        }
    }

/** Maps [result] to the answer to [call]; a write without a conclusive response may have been applied. */
internal fun storeAnswer(
    call: StoreCall,
    result: HttpResult,
): StoreAnswer {
    val isWrite = call is StoreCall.CompareAndSwap
    return when (result) {
        is HttpResult.NotSent -> StoreAnswer.Unavailable(mayHaveApplied = false)
        is HttpResult.NoResponse -> StoreAnswer.Unavailable(mayHaveApplied = isWrite)
        is HttpResult.Answered -> answerOf(isWrite, result.response)
    }
}

private fun answerOf(
    isWrite: Boolean,
    response: HttpResponseMessage,
): StoreAnswer {
    val state = keyState(response)
    return when {
        isWrite && response.status == 200 && state != null -> StoreAnswer.Written(state.revision)

        isWrite && response.status == 412 && state != null -> StoreAnswer.Conflict(state.value, state.revision)

        !isWrite && response.status == 200 && state != null -> StoreAnswer.Found(state.value, state.revision)

        !isWrite && response.status == 404 && state != null -> StoreAnswer.Found(null, state.revision)

        // A 4xx rejects the request; after any other status, a write may have been applied.
        else -> StoreAnswer.Unavailable(mayHaveApplied = isWrite && response.status !in CLIENT_ERRORS)
    }
}

private fun keyState(response: HttpResponseMessage): KeyState? =
    try {
        lenientJson.decodeFromString(KeyState.serializer(), response.body.decodeToString())
    } catch (_: SerializationException) {
        null
    }

private fun keyPath(key: String) = "/kv/$key"

@Serializable
private class KeyState(
    val value: String? = null,
    val revision: Long = 0,
)

@Serializable
private class KeyWrite(
    val value: String,
    val expectedRevision: Long,
    val leaseMillis: Long? = null,
)

private val writeJson = kotlinx.serialization.json.Json { explicitNulls = false }
private val CLIENT_ERRORS = 400..499
private val JSON_HEADERS = persistentHashMapOf("content-type" to "application/json")
