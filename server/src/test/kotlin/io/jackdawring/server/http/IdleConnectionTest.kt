package io.jackdawring.server.http

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import kotlin.test.assertEquals

/** Guards against requests that arrive on an idle connection shortly before the process exits and get no response. */
class IdleConnectionTest {
    private val transport = HttpTransport(threads = 1)
    private val exchanges = LinkedBlockingQueue<HttpExchange>()
    private val server = transport.serverFactory().start("127.0.0.1:0") { exchanges.add(it) }

    @AfterEach
    fun close() = transport.close()

    private fun connect(): Socket =
        Socket("127.0.0.1", server.address.substringAfterLast(':').toInt()).apply {
            getOutputStream().write("GET / HTTP/1.1\r\nhost: h\r\n\r\n".encodeToByteArray())
        }

    private fun Socket.readHead(): String = getInputStream().bufferedReader().readLine()

    @Test
    fun `a connection without a request is closed`() {
        connect().use { socket ->
            val input = socket.getInputStream().bufferedReader()
            exchanges.take().respond(HttpResponseMessage(200))
            generateSequence(input::readLine).first { it.isEmpty() }
            // The write may complete just after the client has read the response.
            while (server.requestsInProgress > 0) Thread.onSpinWait()
            server.closeIdleConnections()
            assertEquals(-1, input.read())
        }
    }

    @Test
    fun `a request in progress is answered`() {
        connect().use { socket ->
            val exchange = exchanges.take()
            server.closeIdleConnections()
            exchange.respond(HttpResponseMessage(200))
            assertEquals("HTTP/1.1 200 OK", socket.readHead())
        }
    }
}
