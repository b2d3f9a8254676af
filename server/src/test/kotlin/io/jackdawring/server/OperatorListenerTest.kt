package io.jackdawring.server

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.configuration.ConfigurationHead
import io.jackdawring.core.configuration.KindDefinition
import io.jackdawring.core.configuration.Objective
import io.jackdawring.core.configuration.ServiceDefinition
import io.jackdawring.core.configuration.TeamDocument
import io.jackdawring.core.membership.PeerMessage
import io.jackdawring.server.burn.BurnWindow
import io.jackdawring.server.burn.parseBurnReport
import io.jackdawring.server.http.HttpClient
import io.jackdawring.server.http.HttpClientOptions
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.http.HttpTransport
import io.jackdawring.server.operator.StatusDocument
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import java.io.File
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Guards the content of the operator interface and its authorization. */
class OperatorListenerTest {
    private val transport = HttpTransport(threads = 1)

    private fun file(name: String) = File(checkNotNull(javaClass.getResource("/tls/$name")).toURI())

    private val tls = TlsOptions(file("instance.pem"), file("instance.key"), file("ca.pem"))
    private val plain = transport.client()
    private val secure = transport.client(HttpClientOptions(sslContext = tls.clientContext()))
    private val token = "operators-of-stillwater"
    private val withToken = mapOf("authorization" to "Bearer $token")
    private val server =
        RealEntryServer(
            serverOptions(InstanceId("e1"), FailureDomainId("a")) {
                platformAddress = "127.0.0.1:1"
                allowRandomSessionKey = true
                operatorListen = "127.0.0.1:0"
                operatorTls = TlsOptions(tls.certificateChain, tls.privateKey)
                operatorToken = token
            },
        ) { options -> FakeEntryInstance(options) }

    @AfterEach
    fun stop() {
        server.close()
        transport.close()
    }

    private fun send(
        client: HttpClient,
        address: String,
        request: HttpRequestMessage,
    ): HttpResult {
        val result = CompletableFuture<HttpResult>()
        client.send(address, request, 20_000) { result.complete(it) }
        return result.get(30, TimeUnit.SECONDS)
    }

    private fun get(
        path: String,
        query: Map<String, String> = emptyMap(),
        headers: Map<String, String> = withToken,
        client: HttpClient = secure,
    ): HttpResult {
        val request = HttpRequestMessage("GET", path, query.toImmutableMap(), headers.toImmutableMap())
        return send(client, server.operatorAddress!!, request)
    }

    private fun HttpResult.response(): HttpResponseMessage = assertIs<HttpResult.Answered>(this).response

    private fun HttpResult.text(): String = response().body.decodeToString()

    @Test
    fun `only health and readiness need no token`() {
        val credentials =
            mapOf(
                "none" to emptyMap(),
                "wrong" to mapOf("authorization" to "Bearer ${token}x"),
                "prefix" to mapOf("authorization" to "Bearer ${token.dropLast(1)}"),
                "scheme" to mapOf("authorization" to "Basic $token"),
            )
        for ((name, headers) in credentials) {
            for (path in listOf("/healthz", "/readyz")) {
                assertEquals(200, get(path, headers = headers).response().status, "$name at $path")
            }
            for (path in listOf("/v1/status", "/v1/burn", "/metrics", "/elsewhere")) {
                val response = get(path, headers = headers).response()
                assertEquals(401, response.status, "$name at $path")
                assertEquals("Bearer", response.header("www-authenticate"))
                assertTrue(token !in response.body.decodeToString())
            }
        }
        for (path in listOf("/v1/status", "/v1/burn", "/metrics")) assertEquals(200, get(path).response().status, path)
        assertEquals(200, get("/metrics", headers = mapOf("authorization" to "bearer $token")).response().status)
    }

    @Test
    fun `plain text gets no response`() = assertTrue(get("/healthz", client = plain) !is HttpResult.Answered)

    @Test
    fun `the status document has unabbreviated field names`() {
        val text = get("/v1/status").text()
        val self = server.snapshot().self
        assertContains(
            text,
            """"self":{"instanceId":"e1","incarnation":${self.incarnation},"address":"${self.peerAddress}",""" +
                """"failureDomain":"a"}""",
        )
        assertEquals(7, StatusDocument.parse(text).configurationVersion)
    }

    /** Guards against requests that are not counted because their kind became known after the first sample. */
    @Test
    fun `the burn report counts from the first request of a new kind in all formats`() {
        val kind = KindDefinition("allergen-check", priority = 1, objective = Objective(400, 99.0))
        val document =
            TeamDocument("stillwater", listOf(ServiceDefinition("orders", "stillwater", kinds = listOf(kind))))
        val head = ConfigurationHead(1, "p1", "test", mapOf("stillwater" to "hash"))
        val offer: PeerMessage = PeerMessage.ConfigurationOffer(server.snapshot().self, head, listOf(document))
        val body = Json.encodeToString(PeerMessage.serializer(), offer).encodeToByteArray()
        val offered = send(plain, server.peerAddress, HttpRequestMessage("POST", "/peer/v1/messages", body = body))
        assertEquals(204, offered.response().status)
        val job = """{"caller":"c","service":"orders","kind":"allergen-check","tasks":[{"payload":1}]}"""
        val headers = mapOf("idempotency-key" to "01890a5d-ac96-774b-bcce-b302099a8057").toImmutableMap()
        val submission = HttpRequestMessage("POST", "/v1/jobs", headers = headers, body = job.encodeToByteArray())
        send(plain, server.callerAddress, submission).response()
        val report = parseBurnReport(get("/v1/burn").text())
        val windows = report.kinds.single().windows
        assertEquals(BurnWindow.entries.map { it to 1L }, windows.map { it.window to it.total })
        assertContains(get("/v1/burn", mapOf("format" to "text")).text(), "orders/allergen-check")
        val page = get("/v1/burn", mapOf("format" to "html")).response()
        assertEquals("text/html; charset=utf-8", page.header("content-type"))
        assertContains(page.body.decodeToString(), "orders/allergen-check")
        assertEquals(400, get("/v1/burn", mapOf("format" to "xml")).response().status)
    }
}
