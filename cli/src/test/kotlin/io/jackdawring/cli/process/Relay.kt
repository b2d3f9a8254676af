package io.jackdawring.cli.process

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.io.IOException
import java.net.InetSocketAddress
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.Executors

/** Forwards HTTP calls to [upstream], except those that [forwards] drops like a network that loses packets. */
internal class Relay : AutoCloseable {
    @Volatile
    var upstream: String? = null

    /** Whether a call, given as `<method> <path>` and body, and then its response is forwarded; it may block. */
    @Volatile
    var forwards: (call: String, body: String) -> Boolean = { _, _ -> true }

    private val threads = Executors.newCachedThreadPool { Thread(it, "relay").apply { isDaemon = true } }
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)

    val address: String get() = "127.0.0.1:${server.address.port}"

    init {
        server.executor = threads
        server.createContext("/") { it.use(::relay) }
        server.start()
    }

    override fun close() {
        server.stop(0)
        threads.shutdownNow()
    }

    /** Closing an exchange without a response closes its connection. */
    private fun relay(exchange: HttpExchange) {
        val body = exchange.requestBody.readBytes()
        val call = "${exchange.requestMethod} ${exchange.requestURI.path}"
        val answer = if (forwards(call, body.decodeToString())) send(exchange, body) else null
        if (answer == null || !forwards(call, body.decodeToString())) return Thread.sleep(NO_RESPONSE_MILLIS)
        answer.headers().firstValue("content-type").ifPresent { exchange.responseHeaders.set("content-type", it) }
        exchange.sendResponseHeaders(
            answer.statusCode(),
            if (answer.body().isEmpty()) -1 else answer.body().size.toLong(),
        )
        exchange.responseBody.write(answer.body())
    }

    private fun send(
        exchange: HttpExchange,
        body: ByteArray,
    ): HttpResponse<ByteArray>? {
        val request =
            HttpRequest
                .newBuilder(URI("http://$upstream${exchange.requestURI}"))
                .method(exchange.requestMethod, HttpRequest.BodyPublishers.ofByteArray(body))
        exchange.requestHeaders.getFirst("content-type")?.let { request.header("content-type", it) }
        return try {
            client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray())
        } catch (_: IOException) {
            exchange.close()
            null
        }
    }

    private companion object {
        /** Longer than the time limit of a peer message (1 s) and of a store call (2 s). */
        const val NO_RESPONSE_MILLIS = 2_500L
    }
}
