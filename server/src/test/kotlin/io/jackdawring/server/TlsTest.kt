package io.jackdawring.server

import io.jackdawring.core.Effect
import io.jackdawring.core.Event
import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.membership.PeerMessage
import io.jackdawring.server.http.HttpClientOptions
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.http.HttpTransport
import org.junit.jupiter.api.AfterEach
import java.io.File
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Guards against listeners that accept plain text or unknown peers although TLS is configured. */
class TlsTest {
    private val transport = HttpTransport(threads = 1)

    private fun file(name: String) = File(checkNotNull(javaClass.getResource("/tls/$name")).toURI())

    private val tls = TlsOptions(file("instance.pem"), file("instance.key"), file("ca.pem"))
    private lateinit var instance: FakeEntryInstance
    private val server =
        RealEntryServer(
            serverOptions(InstanceId("e1"), FailureDomainId("a")) {
                platformAddress = "127.0.0.1:1"
                allowRandomSessionKey = true
                callerTls = TlsOptions(tls.certificateChain, tls.privateKey)
                peerTls = tls
            },
        ) { options -> FakeEntryInstance(options).also { instance = it } }

    @AfterEach
    fun stop() {
        server.close()
        transport.close()
    }

    private fun openSession(options: HttpClientOptions): HttpResult {
        val result = CompletableFuture<HttpResult>()
        val request = HttpRequestMessage("POST", "/v1/sessions", body = """{"caller":"c"}""".encodeToByteArray())
        transport.client(options).send(server.callerAddress, request, 20_000) { result.complete(it) }
        return result.get(30, TimeUnit.SECONDS)
    }

    @Test
    fun `callers use TLS and plain text gets no response`() {
        val secure = openSession(HttpClientOptions(sslContext = tls.clientContext()))
        assertEquals(201, assertIs<HttpResult.Answered>(secure).response.status)
        assertTrue(openSession(HttpClientOptions()) !is HttpResult.Answered)
    }

    @Test
    fun `peers authenticate each other`() {
        val self = server.snapshot().self
        val message = PeerMessage.Digest(self, emptyList(), emptyList())
        instance.extraEffects.add(Effect.SendToPeer(server.peerAddress, message))
        openSession(HttpClientOptions(sslContext = tls.clientContext()))
        val endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20)
        while (instance.events.none { it is Event.PeerSendAcknowledged || it is Event.PeerSendFailed }) {
            check(System.nanoTime() < endNanos) { "timed out waiting for the result of the send" }
            Thread.sleep(2)
        }
        assertTrue(Event.PeerSendAcknowledged(server.peerAddress, message) in instance.events)
    }

    @Test
    fun `unusable files are named in the error`() {
        val missing = TlsOptions(File("missing.pem"), tls.privateKey)
        val error = assertFailsWith<IllegalArgumentException> { missing.serverContext() }
        assertTrue("missing.pem" in error.message!!, error.message)
    }
}
