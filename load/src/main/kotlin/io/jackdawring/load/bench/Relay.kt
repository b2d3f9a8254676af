package io.jackdawring.load.bench

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonToken
import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.http.HttpTransport
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentMapOf
import java.io.ByteArrayOutputStream
import java.util.concurrent.atomic.AtomicInteger

/**
 * Baseline proxy for [StartsBench]: accepts a job request and sends its tasks to the targets round-robin.
 *
 * It uses the same HTTP layer but has no dispatch logic, records or checks, so that the ratio shows their cost.
 */
internal class Relay(
    private val transport: HttpTransport,
    private val targets: List<String>,
) : AutoCloseable {
    private val client = transport.client()
    private val next = AtomicInteger()
    private val server = transport.serverFactory().start("127.0.0.1:0", ::handle)

    val address: String get() = server.address

    private fun handle(exchange: HttpExchange) {
        val payloads = payloadsOf(exchange.request.body)
        val results = arrayOfNulls<ByteArray>(payloads.size)
        val missing = AtomicInteger(payloads.size)
        payloads.forEachIndexed { index, payload ->
            val request = HttpRequestMessage("POST", "/tasks", headers = HEADERS, body = payload)
            val target = targets[Math.floorMod(next.getAndIncrement(), targets.size)]
            client.send(target, request, LIMIT_MILLIS) { result ->
                results[index] = (result as? HttpResult.Answered)?.response?.body ?: NULL
                if (missing.decrementAndGet() == 0) exchange.respondWith { answer(results) }
            }
        }
    }

    private fun answer(results: Array<ByteArray?>): HttpResponseMessage {
        val body = ByteArrayOutputStream()
        body.write("""{"outcome":"complete","results":[""".encodeToByteArray())
        results.forEachIndexed { index, result ->
            if (index > 0) body.write(','.code)
            body.write(result ?: NULL)
        }
        body.write("]}".encodeToByteArray())
        return HttpResponseMessage(200, persistentMapOf("content-type" to "application/json"), body.toByteArray())
    }

    /** Extracts the payloads from the body of a job request. */
    private fun payloadsOf(body: ByteArray): List<ByteArray> {
        val payloads = ArrayList<ByteArray>()
        json.createParser(body).use { parser ->
            while (true) {
                val token = parser.nextToken() ?: break
                if (token != JsonToken.FIELD_NAME || parser.currentName() != "payload") continue
                parser.nextToken()
                val start = parser.currentTokenLocation().byteOffset.toInt()
                parser.skipChildren()
                parser.finishToken()
                payloads += body.copyOfRange(start, parser.currentLocation().byteOffset.toInt())
            }
        }
        return payloads
    }

    override fun close() {
        server.close()
        client.close()
    }

    private companion object {
        const val LIMIT_MILLIS = 10_000L
        val HEADERS = persistentHashMapOf("content-type" to "application/json")
        val NULL = "null".encodeToByteArray()
        val json = JsonFactory()
    }
}
