package io.jackdawring.cli.process

import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.http.HttpTransport
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

/**
 * All paths between two failure domains and from them to the store; they can be cut.
 *
 * Within its domain, a server is reached at [INSIDE]. From the other one, it is reached through a gate at the same port
 * of [OUTSIDE]. Addresses in what passes a gate are translated, so that no process learns of a path around a gate.
 */
internal class DomainBorder(
    private val domains: List<String>,
    /** Whether what is sent into a cut arrives after it, as from a sender that sends lost packets again. */
    private val isLate: Boolean = false,
) : AutoCloseable {
    private val transport = HttpTransport(threads = 2, name = "border")
    private val client = transport.client()
    private val executor = transport.executor()
    private val domainOfPort = ConcurrentHashMap<String, String>()
    private val serverGates = CopyOnWriteArrayList<Gate>()
    private val storeGates = ConcurrentHashMap<String, List<Gate>>()

    /** Lets the other domain reach the server of [domain] that listens on [address] of [INSIDE]. */
    fun addServer(
        domain: String,
        address: String,
    ) {
        val otherDomain = domains.first { it != domain }
        val port = address.substringAfter(':')
        domainOfPort[port] = domain
        val toServer = { body: String -> translate(body, domain) }
        serverGates += Gate("$OUTSIDE:$port", address, toServer) { translate(it, otherDomain) }
    }

    /** The address at which one instance of [domain] reaches the store that listens on [address]. */
    fun addStore(
        domain: String,
        address: String,
    ): String {
        val toStore = { body: String -> translateValues(body, null) }
        val gate = Gate("$INSIDE:0", address, toStore) { translateValues(it, domain) }
        storeGates.merge(domain, listOf(gate), List<Gate>::plus)
        return gate.address
    }

    /** The gates on all paths out of [domain] and into it. */
    fun gatesAround(domain: String): List<Gate> = serverGates + storeGates.getValue(domain)

    /** [text] with the addresses at which [domain] reaches the servers, for null those within their domains. */
    private fun translate(
        text: String,
        domain: String?,
    ): String =
        ADDRESS.replace(text) {
            val port = it.groupValues[1]
            val owner = domainOfPort[port]
            when {
                owner == null -> it.value
                domain == null || owner == domain -> "$INSIDE:$port"
                else -> "$OUTSIDE:$port"
            }
        }

    private fun translateValues(
        body: String,
        domain: String?,
    ): String =
        STORE_VALUE.replace(body) {
            val value = Base64.getDecoder().decode(it.groupValues[1]).decodeToString()
            val translated = Base64.getEncoder().encodeToString(translate(value, domain).encodeToByteArray())
            """"value":"$translated""""
        }

    override fun close() = transport.close()

    /** The address at which the other domain reaches the server that listens on [address] of [INSIDE]. */
    fun outside(address: String): String = "$OUTSIDE:${address.substringAfter(':')}"

    /**
     * Forwards requests to [server]; while it is cut, requests and responses get lost without a sign.
     *
     * With [isLate], requests and the news that their senders have gone arrive once it is restored.
     */
    inner class Gate(
        listenAddress: String,
        private val server: String,
        private val toServer: (String) -> String,
        private val toClient: (String) -> String,
    ) {
        private val lost = ConcurrentHashMap.newKeySet<HttpExchange>()
        private val held = CopyOnWriteArrayList<() -> Unit>()
        private val listener = transport.serverFactory().start(listenAddress, ::forward)

        @Volatile
        private var isCut = false
        val address: String get() = listener.address

        fun cut() {
            isCut = true
        }

        /** Restores the path; what got lost stays lost, what was held arrives in order. */
        fun restore() {
            isCut = false
            held.forEachIndexed { i, step -> executor.schedule(step, i * HELD_STEP_MILLIS, TimeUnit.MILLISECONDS) }
            held.clear()
            lost.toList().forEach(HttpExchange::disconnect)
            lost.clear()
        }

        private fun forward(exchange: HttpExchange) {
            if (!isCut) return pass(exchange)
            if (!isLate) return lost.plusAssign(exchange)
            held += { pass(exchange) }
        }

        private fun pass(exchange: HttpExchange) {
            val request = exchange.request
            val body = toServer(request.body.decodeToString()).encodeToByteArray()
            val forwarded = HttpRequestMessage(request.method, request.path, request.query, request.headers, body)
            val call = client.send(server, forwarded, TIMEOUT_MILLIS) { respond(exchange, it) }
            exchange.onDisconnected {
                when {
                    isCut -> if (isLate) held += call::cancel
                    // The request itself has to leave first.
                    isLate -> executor.schedule(call::cancel, HELD_STEP_MILLIS, TimeUnit.MILLISECONDS)
                    else -> call.cancel()
                }
            }
        }

        private fun respond(
            exchange: HttpExchange,
            result: HttpResult,
        ) {
            val response = (result as? HttpResult.Answered)?.response
            if (isCut) {
                lost += exchange
            } else if (response == null) {
                exchange.disconnect()
            } else {
                val body = toClient(response.body.decodeToString()).encodeToByteArray()
                exchange.respond(HttpResponseMessage(response.status, response.headers, body))
            }
        }
    }

    private companion object {
        const val INSIDE = "127.0.0.1"
        const val OUTSIDE = "127.0.0.2"
        val ADDRESS = Regex("""127\.0\.0\.[12]:(\d+)""")
        val STORE_VALUE = Regex(""""value":"([^"]*)"""")

        /** Longer than the longest poll and than the longest cut. */
        const val TIMEOUT_MILLIS = 60_000L
        const val HELD_STEP_MILLIS = 1L
    }
}
