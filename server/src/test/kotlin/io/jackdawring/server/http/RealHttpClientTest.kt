package io.jackdawring.server.http

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.net.InetAddress
import java.net.ServerSocket
import java.net.SocketException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Guards the distinction between "not sent" and "may have run": a wrong result can start a task twice. */
class RealHttpClientTest {
    private val transport = HttpTransport(threads = 2)

    @AfterEach
    fun stop() = transport.close()

    private fun HttpClient.call(
        address: String,
        request: HttpRequestMessage = HttpRequestMessage("POST", "/x", body = "abc".encodeToByteArray()),
        timeoutMillis: Long = 10_000,
    ): HttpResult {
        val result = CompletableFuture<HttpResult>()
        send(address, request, timeoutMillis) { result.complete(it) }
        return result.get(20, TimeUnit.SECONDS)
    }

    @Test
    fun `a request is not sent if the connection is refused or the address is not an IP address`() {
        val unused = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { "127.0.0.1:${it.localPort}" }
        assertIs<HttpResult.NotSent>(transport.client().call(unused))
        assertIs<HttpResult.NotSent>(transport.client().call("host.invalid:80"))
    }

    @Test
    fun `a request that was written before the connection closed has no response`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { listener ->
            val client = transport.client()
            Thread { listener.accept().use { it.getInputStream().read() } }.start()
            assertIs<HttpResult.NoResponse>(client.call("127.0.0.1:${listener.localPort}"))
        }
    }

    @Test
    fun `a truncated response counts as no response`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { listener ->
            Thread {
                listener.accept().use {
                    it.getInputStream().read()
                    it.getOutputStream().write("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc".encodeToByteArray())
                }
            }.start()
            assertIs<HttpResult.NoResponse>(transport.client().call("127.0.0.1:${listener.localPort}"))
        }
    }

    @Test
    fun `a server that does not respond times out as no response and the request that waits behind it as not sent`() {
        val server = transport.serverFactory().start("127.0.0.1:0") { }
        val client = transport.client(HttpClientOptions(maxConnectionsPerAddress = 1))
        val first = CompletableFuture<HttpResult>()
        val second = CompletableFuture<HttpResult>()
        client.send(server.address, HttpRequestMessage("GET", "/"), 400) { first.complete(it) }
        client.send(server.address, HttpRequestMessage("GET", "/"), 100) { second.complete(it) }
        assertIs<HttpResult.NotSent>(second.get(20, TimeUnit.SECONDS))
        assertIs<HttpResult.NoResponse>(first.get(20, TimeUnit.SECONDS))
    }

    /** Guards against an aborted request that arrives later, when its sender has acted as if it had not. */
    @TestFactory
    fun `an aborted request resets its connection`() =
        listOf<Pair<String, (HttpCall) -> Unit>>("a time-out" to { }, "a cancelled call" to HttpCall::cancel)
            .map { (name, abort) ->
                DynamicTest.dynamicTest(name) {
                    ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { listener ->
                        val result = CompletableFuture<HttpResult>()
                        val request = HttpRequestMessage("POST", "/x", body = "abc".encodeToByteArray())
                        val address = "127.0.0.1:${listener.localPort}"
                        val call =
                            transport.client().send(
                                address,
                                request,
                                timeoutMillis = 1_000,
                            ) { result.complete(it) }
                        listener.accept().use { connection ->
                            val input = connection.getInputStream()
                            repeat(5) { input.read() }
                            abort(call)
                            assertIs<HttpResult.NoResponse>(result.get(20, TimeUnit.SECONDS))
                            assertFailsWith<SocketException> { while (input.read() >= 0) Unit }
                        }
                    }
                }
            }

    @Test
    fun `a response that arrived while the event loop was busy past the timeout is delivered`() {
        val busyTransport = HttpTransport(threads = 1)
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { listener ->
            val loopBlocked = CountDownLatch(1)
            val received = CountDownLatch(1)
            val answered = CountDownLatch(1)
            Thread {
                listener.accept().use {
                    it.getInputStream().read()
                    received.countDown()
                    loopBlocked.await()
                    it.getOutputStream().write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".encodeToByteArray())
                    answered.countDown()
                    it.getInputStream().readAllBytes()
                }
            }.start()
            val result = CompletableFuture<HttpResult>()
            val request = HttpRequestMessage("GET", "/")
            val client = busyTransport.client()
            client.send("127.0.0.1:${listener.localPort}", request, BUSY_MILLIS) { result.complete(it) }
            received.await()
            val server = transport.serverFactory().start("127.0.0.1:0") { it.respond(HttpResponseMessage(200)) }
            client.send(server.address, request, BUSY_MILLIS) {
                loopBlocked.countDown()
                answered.await()
                Thread.sleep(BUSY_MILLIS)
            }
            assertIs<HttpResult.Answered>(result.get(20, TimeUnit.SECONDS))
            busyTransport.close()
        }
    }

    @Test
    fun `cancelling closes the connection, which the server notices`() {
        val arrived = CountDownLatch(1)
        val disconnected = CountDownLatch(1)
        val server =
            transport.serverFactory().start("127.0.0.1:0") {
                it.onDisconnected { disconnected.countDown() }
                arrived.countDown()
            }
        val result = CompletableFuture<HttpResult>()
        val call =
            transport.client().send(server.address, HttpRequestMessage("GET", "/"), 20_000) { result.complete(it) }
        assertTrue(arrived.await(20, TimeUnit.SECONDS))
        call.cancel()
        assertTrue(assertIs<HttpResult.NoResponse>(result.get(20, TimeUnit.SECONDS)).cancelled)
        assertTrue(disconnected.await(20, TimeUnit.SECONDS))
    }

    @Test
    fun `each connection serves many requests one at a time`() {
        val inProgress = AtomicInteger()
        val highest = AtomicInteger()
        val server =
            transport.serverFactory().start("127.0.0.1:0") { exchange ->
                highest.accumulateAndGet(inProgress.incrementAndGet(), ::maxOf)
                transport.nextLoop().schedule({
                    inProgress.decrementAndGet()
                    exchange.respond(HttpResponseMessage(200, body = exchange.request.body))
                }, 1, TimeUnit.MILLISECONDS)
            }
        val client = transport.client(HttpClientOptions(maxConnectionsPerAddress = 2))
        val results = List(50) { CompletableFuture<HttpResult>() }
        results.forEachIndexed { index, result ->
            val request = HttpRequestMessage("POST", "/", body = "$index".encodeToByteArray())
            client.send(server.address, request, 20_000) { result.complete(it) }
        }
        results.forEachIndexed { index, result ->
            val answered = assertIs<HttpResult.Answered>(result.get(20, TimeUnit.SECONDS))
            assertEquals("$index", answered.response.body.decodeToString())
        }
        assertTrue(highest.get() <= 2, "requests in progress at once: ${highest.get()}")
    }

    /** Guards against a request that counts as not sent although the server has received the beginning of it. */
    @Test
    fun `a request of which only a part was written has no response`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { listener ->
            // Larger than the buffers of both sockets, and not read by the server.
            val request = HttpRequestMessage("POST", "/x", body = ByteArray(PARTIAL_BODY_BYTES))
            val result = transport.client().call("127.0.0.1:${listener.localPort}", request, timeoutMillis = 500)
            assertIs<HttpResult.NoResponse>(result)
            listener.accept().use { assertTrue(it.getInputStream().read() >= 0) }
        }
    }

    /** Guards against an answer to a start that is taken for the answer to the next one. */
    @Test
    fun `the late response to a request that timed out is not read for the next request`() {
        ServerSocket(0, 2, InetAddress.getLoopbackAddress()).use { listener ->
            val client = transport.client()
            val late = CountDownLatch(1)
            val isWritten = CountDownLatch(1)
            Thread {
                listener.accept().use {
                    it.getInputStream().read()
                    late.await()
                    runCatching { it.getOutputStream().write(response("first", status = 503)) }
                    isWritten.countDown()
                    listener.accept().use { next ->
                        next.getInputStream().read()
                        next.getOutputStream().write(response("second"))
                        next.getInputStream().readAllBytes()
                    }
                }
            }.start()
            val address = "127.0.0.1:${listener.localPort}"
            assertIs<HttpResult.NoResponse>(client.call(address, timeoutMillis = 200))
            late.countDown()
            isWritten.await()
            val second = assertIs<HttpResult.Answered>(client.call(address))
            assertEquals("second", second.response.body.decodeToString())
        }
    }

    /** Guards against a surplus response that is taken for the rejection of a start that the server carries out. */
    @Test
    fun `a surplus response is not read for the next request`() {
        ServerSocket(0, 2, InetAddress.getLoopbackAddress()).use { listener ->
            Thread {
                runCatching {
                    listener.accept().use {
                        it.getInputStream().read()
                        it.getOutputStream().write(response("first") + response("surplus", status = 503))
                        listener.accept().use { next ->
                            next.getInputStream().read()
                            next.getOutputStream().write(response("second"))
                            next.getInputStream().readAllBytes()
                        }
                    }
                }
            }.start()
            val client = transport.client()
            val address = "127.0.0.1:${listener.localPort}"
            val request = HttpRequestMessage("POST", "/x")
            val second = CompletableFuture<HttpResult>()
            // Sent by the result callback, like a holder's next start, so that it may reuse the connection.
            client.send(address, request, 5_000) { client.send(address, request, 5_000, second::complete) }
            val answered = assertIs<HttpResult.Answered>(second.get(20, TimeUnit.SECONDS))
            assertEquals("second", answered.response.body.decodeToString())
        }
    }

    private fun response(
        body: String,
        status: Int = 200,
    ) = "HTTP/1.1 $status X\r\ncontent-length: ${body.length}\r\n\r\n$body".encodeToByteArray()

    private companion object {
        /** Timeout of the request, and the time for which its event loop is busy. */
        const val BUSY_MILLIS = 1_000L
        const val PARTIAL_BODY_BYTES = 64 * 1024 * 1024
    }
}
