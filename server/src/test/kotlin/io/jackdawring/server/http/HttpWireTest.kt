package io.jackdawring.server.http

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.InputStream
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against request smuggling, unbounded input and connections that stay open after malformed input. */
class HttpWireTest {
    private val transport = HttpTransport(threads = 2)

    @AfterEach
    fun stop() = transport.close()

    private class Case(
        val name: String,
        val input: String,
        val statuses: List<Int>,
    )

    private val small = HttpServerOptions(maxBodyBytes = 64, maxHeaderBytes = 512, maxRequestLineBytes = 128)

    private val cases =
        listOf(
            Case("no HTTP at all", "\u0001\u0002\u0003 garbage\r\n\r\n", listOf(400)),
            Case("missing version", "GET /\r\n\r\n", listOf(400)),
            Case("HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", listOf(505)),
            Case("no Host", "GET / HTTP/1.1\r\n\r\n", listOf(400)),
            Case("two Hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", listOf(400)),
            Case("negative length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", listOf(400)),
            Case("length is not a number", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", listOf(400)),
            Case(
                "two lengths",
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                listOf(400),
            ),
            Case(
                "length and chunked",
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                listOf(400),
            ),
            Case(
                "length and another transfer encoding",
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: identity\r\n\r\nabc",
                listOf(400),
            ),
            Case(
                "unknown transfer encoding",
                "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                listOf(501),
            ),
            Case(
                "bad chunk size",
                "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                listOf(400),
            ),
            Case("body too long", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n", listOf(413)),
            Case(
                "chunked body too long",
                "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n${"x".repeat(65)}\r\n0\r\n\r\n",
                listOf(413),
            ),
            Case("headers too long", "GET / HTTP/1.1\r\nHost: a\r\nX: ${"x".repeat(600)}\r\n\r\n", listOf(431)),
            Case("request line too long", "GET /${"x".repeat(200)} HTTP/1.1\r\nHost: a\r\n\r\n", listOf(414)),
            Case("bad escape", "GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n", listOf(400)),
            Case("space before the colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", listOf(400)),
            Case(
                "good requests before a bad one are answered first",
                "GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\nGET\r\n\r\n",
                listOf(200, 200, 400),
            ),
            Case(
                "nothing after Connection: close is served",
                "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n",
                listOf(200),
            ),
            Case(
                "chunked body within the limit",
                "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" +
                    "3\r\nabc\r\n0\r\n\r\n",
                listOf(200),
            ),
            Case("truncated request", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc", emptyList()),
        )

    @TestFactory
    fun `each input gets exactly these statuses and then the end of the stream`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val server =
                    transport.serverFactory(small).start("127.0.0.1:0") { it.respond(HttpResponseMessage(200)) }
                server.use {
                    connect(server).use { socket ->
                        socket.getOutputStream().write(case.input.toByteArray(Charsets.ISO_8859_1))
                        socket.getOutputStream().flush()
                        if (case.statuses.isEmpty()) socket.shutdownOutput()
                        val text = socket.getInputStream().readAllBytes().decodeToString()
                        assertEquals(case.statuses, STATUS.findAll(text).map { it.groupValues[1].toInt() }.toList())
                    }
                    waitFor("the release of all requests and bodies") {
                        server.requestsInProgress == 0 && (server as RealHttpServer).bufferedBytes.get() == 0L
                    }
                }
            }
        }

    @Test
    fun `pipelined requests are answered in order although the handler responds in reverse`() {
        val exchanges = ArrayList<HttpExchange>()
        val server =
            transport.serverFactory().start("127.0.0.1:0") {
                exchanges.add(it)
                if (exchanges.size == 3) exchanges.reversed().forEach { it.respond(it.echo()) }
            }
        connect(server).use { socket ->
            val requests = listOf("/a", "/b", "/c").joinToString("") { "GET $it HTTP/1.1\r\nHost: a\r\n\r\n" }
            socket.getOutputStream().write(requests.encodeToByteArray())
            val text = socket.getInputStream().readUntil("/c")
            assertEquals(listOf("/a", "/b", "/c"), Regex("(?m)/[abc]").findAll(text).map { it.value }.toList())
        }
    }

    @Test
    fun `a connection beyond the limit is refused with Retry-After`() {
        val server =
            transport.serverFactory(HttpServerOptions(maxConnections = 1)).start("127.0.0.1:0") {
                it.respond(it.echo())
            }
        connect(server).use { first ->
            first.getOutputStream().write("GET /first HTTP/1.1\r\nHost: a\r\n\r\n".encodeToByteArray())
            first.getInputStream().readUntil("/first")
            connect(server).use { second ->
                val text = second.getInputStream().readAllBytes().decodeToString()
                assertTrue(text.startsWith("HTTP/1.1 503 "), text)
                assertTrue("retry-after: 1" in text.lowercase(), text)
            }
        }
    }

    @Test
    fun `a request that stays incomplete is answered with 408 and its connection closed`() {
        val server =
            transport.serverFactory(HttpServerOptions(idleTimeoutMillis = 100)).start("127.0.0.1:0") {
                it.respond(it.echo())
            }
        connect(server).use { socket ->
            socket.getOutputStream().write(
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab".encodeToByteArray(),
            )
            val text = socket.getInputStream().readAllBytes().decodeToString()
            assertTrue(text.startsWith("HTTP/1.1 408 "), text)
        }
    }

    @Test
    fun `a client that does not read its response is disconnected`() {
        val server =
            transport.serverFactory(HttpServerOptions(idleTimeoutMillis = 100)).start("127.0.0.1:0") {
                it.respond(HttpResponseMessage(200, body = ByteArray(64 * 1024 * 1024)))
            }
        connect(server).use { socket ->
            socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".encodeToByteArray())
            assertEquals('H'.code, socket.getInputStream().read())
            waitFor("the end of the request") { server.requestsInProgress == 0 }
        }
    }

    @Test
    fun `a server that shuts down closes each connection after the pending responses`() {
        val exchanges = LinkedBlockingQueue<HttpExchange>()
        val server = transport.serverFactory().start("127.0.0.1:0", exchanges::add)
        connect(server).use { socket ->
            socket.getOutputStream().write(
                "GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n".encodeToByteArray(),
            )
            val open = List(2) { exchanges.take() }
            server.closeAfterAnswers()
            open.forEach { it.respond(it.echo()) }
            val text = socket.getInputStream().readAllBytes().decodeToString()
            assertEquals(listOf("/a", "/b"), Regex("(?m)/[ab]").findAll(text).map { it.value }.toList())
            assertEquals(1, Regex("(?i)connection: close").findAll(text).count(), text)
        }
    }

    private fun waitFor(
        what: String,
        condition: () -> Boolean,
    ) {
        val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS.toLong())
        while (!condition()) {
            check(System.nanoTime() < endNanos) { "timed out waiting for $what" }
            Thread.sleep(2)
        }
    }

    private fun HttpExchange.echo() = HttpResponseMessage(200, body = request.path.encodeToByteArray())

    private fun connect(server: HttpServer): Socket =
        parseSocketAddress(server.address)!!.let { Socket(it.address, it.port) }.apply {
            soTimeout = WAIT_MILLIS
        }

    private fun InputStream.readUntil(end: String): String {
        val text = StringBuilder()
        while (!text.endsWith(end)) text.append(read().also { check(it >= 0) { "stream ended after: $text" } }.toChar())
        return text.toString()
    }

    private companion object {
        const val WAIT_MILLIS = 20_000
        val STATUS = Regex("HTTP/1\\.1 (\\d{3})")
    }
}
