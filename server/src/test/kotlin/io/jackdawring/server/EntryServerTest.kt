package io.jackdawring.server

import io.jackdawring.core.Effect
import io.jackdawring.core.Event
import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.InstanceList
import io.jackdawring.core.InstanceRole
import io.jackdawring.core.ListedInstance
import io.jackdawring.core.OperationId
import io.jackdawring.core.Owner
import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.StoreCall
import io.jackdawring.core.membership.PeerMessage
import io.jackdawring.server.http.HttpClientOptions
import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.http.HttpTransport
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Guards the wiring of listeners, control thread and clients, with a fake decision logic. */
class EntryServerTest {
    private val transport = HttpTransport(threads = 2)
    private val client = transport.client(HttpClientOptions(maxConnectionsPerAddress = 4))
    private val platformRequests = CopyOnWriteArrayList<String>()
    private val targetRequests = CopyOnWriteArrayList<HttpRequestMessage>()
    private lateinit var instance: FakeEntryInstance
    private lateinit var server: EntryServer

    @Volatile
    private var onTask: (HttpExchange) -> Unit =
        { it.respond(HttpResponseMessage(200, body = it.request.body)) }

    @BeforeEach
    fun start() {
        val target =
            transport.serverFactory().start("127.0.0.1:0") {
                targetRequests.add(it.request)
                onTask(it)
            }
        val listed =
            ListedInstance("t1", InstanceRole.TARGET, FailureDomainId("a"), target.address, services = listOf("orders"))
        val list = Json.encodeToString(InstanceList.serializer(), InstanceList(1, listOf(listed)))
        val platform =
            transport.serverFactory().start("127.0.0.1:0") { exchange ->
                val request = exchange.request
                platformRequests.add("${request.method} ${request.path}")
                when {
                    request.path == "/kv/claims/x" -> exchange.respond(json(412, """{"value":"other","revision":4}"""))
                    request.method != "GET" -> exchange.respond(HttpResponseMessage(200))
                    request.query.isEmpty() -> exchange.respond(json(200, list))
                }
            }
        val options =
            serverOptions(InstanceId("e1"), FailureDomainId("a")) {
                platformAddress = platform.address
                operatorListen = "127.0.0.1:0"
                sessionKeys = listOf(SessionKey("k1", ByteArray(32) { it.toByte() }))
            }
        server = RealEntryServer(options) { entryOptions -> FakeEntryInstance(entryOptions).also { instance = it } }
        waitFor("the list of instances") { instance.events.any { it is Event.InstancesListed } }
    }

    @AfterEach
    fun stop() {
        server.close()
        transport.close()
    }

    private fun json(
        status: Int,
        text: String,
    ) = HttpResponseMessage(status, persistentMapOf("content-type" to "application/json"), text.encodeToByteArray())

    private fun call(
        address: String,
        method: String,
        path: String,
        body: String = "",
        headers: Map<String, String> = emptyMap(),
    ): HttpResponseMessage {
        val result = CompletableFuture<HttpResult>()
        val request =
            HttpRequestMessage(method, path, headers = headers.toImmutableMap(), body = body.encodeToByteArray())
        client.send(address, request, 20_000) { result.complete(it) }
        return assertIs<HttpResult.Answered>(result.get(30, TimeUnit.SECONDS)).response
    }

    private fun HttpResponseMessage.text() = body.decodeToString()

    private fun waitFor(
        what: String,
        condition: () -> Boolean,
    ) {
        val endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20)
        while (!condition()) {
            check(System.nanoTime() < endNanos) { "timed out waiting for $what" }
            Thread.sleep(2)
        }
    }

    private fun openSession(): String {
        val response = call(server.callerAddress, "POST", "/v1/sessions", """{"caller":"house-12"}""")
        assertEquals(201, response.status, response.text())
        return Json
            .parseToJsonElement(response.text())
            .jsonObject
            .getValue("session")
            .jsonPrimitive.content
    }

    private fun submit(
        session: String,
        id: String = "job-1",
        payloads: List<String> = listOf("1"),
    ): HttpResponseMessage {
        val tasks = payloads.joinToString(",") { """{"payload":$it}""" }
        val body = """{"service":"orders","kind":"allergen-check","deadlineMillis":9000,"tasks":[$tasks]}"""
        val headers = mapOf("jackdaw-session" to session, "idempotency-key" to id)
        return call(server.callerAddress, "POST", "/v1/jobs", body, headers)
    }

    @Test
    fun `a job in a session is answered with the raw results in task order`() {
        val payloads = listOf("""{ "a" : 1.50 }""", "\"x\"", "[1, 2]", "null", "-0.0e5")
        val response = submit(openSession(), payloads = payloads)
        assertEquals("""{"outcome":"complete","results":[${payloads.joinToString(",")}]}""", response.text())
        assertEquals(200, response.status)
        val first = targetRequests.single { it.header("jackdaw-task")!!.endsWith("/job-1/0") }
        assertEquals("allergen-check", first.header("jackdaw-kind"))
        assertEquals("9000", first.header("jackdaw-deadline-millis"))
    }

    @Test
    fun `a failed job gets a problem response with the task index`() {
        onTask = { it.respond(HttpResponseMessage(if (it.request.body.size == 1) 200 else 500)) }
        val response = submit(openSession(), payloads = listOf("1", "22"))
        assertEquals(502, response.status)
        assertEquals("application/problem+json", response.header("content-type"))
        val problem = Json.parseToJsonElement(response.text()).jsonObject
        assertEquals(
            listOf("failed", "1", "true"),
            listOf("outcome", "taskIndex", "mayHaveRun").map {
                "${problem[it]}".trim('"')
            },
        )
    }

    @Test
    fun `requests outside the limits are refused and never reach the decision logic`() {
        val session = openSession()
        val cases =
            listOf(
                Triple("POST", "/v1/jobs", 400),
                Triple("GET", "/v1/jobs", 405),
                Triple("GET", "/v2", 404),
                Triple("POST", "/v1/sessions", 400),
                Triple("DELETE", "/v1/jobs/${"x".repeat(65)}", 400),
            )
        for ((method, path, status) in cases) {
            val response = call(server.callerAddress, method, path, "{}", mapOf("jackdaw-session" to session))
            assertEquals(status, response.status, "$method $path")
            assertEquals("application/problem+json", response.header("content-type"), "$method $path")
        }
        val forged = session.dropLast(4) + "AAAA"
        assertEquals(400, submit(forged).status)
        // Another instance may know the key and may have run the submission, so this is not a refusal.
        assertEquals(504, submit(session.replace("v1.k1.", "v1.k9.")).status)
        assertTrue(targetRequests.isEmpty())
    }

    @Test
    fun `a cancellation and a closed connection reach the decision logic`() {
        val arrived = CountDownLatch(1)
        onTask = { arrived.countDown() }
        val session = openSession()
        val headers = persistentMapOf("jackdaw-session" to session, "idempotency-key" to "job-1")
        val body = """{"service":"orders","kind":"k","tasks":[{"payload":1}]}""".encodeToByteArray()
        val call =
            client.send(
                server.callerAddress,
                HttpRequestMessage("POST", "/v1/jobs", headers = headers, body = body),
                20_000,
            ) {}
        assertTrue(arrived.await(20, TimeUnit.SECONDS))
        assertEquals(202, call(server.callerAddress, "DELETE", "/v1/jobs/job-1", headers = headers).status)
        call.cancel()
        waitFor("both events") {
            instance.events.any { it is Event.Cancel } && instance.events.any { it is Event.CallerDisconnected }
        }
    }

    @Test
    fun `peer messages are acknowledged once queued and malformed ones rejected`() {
        val self = server.snapshot().self
        val digest: PeerMessage = PeerMessage.Digest(self, emptyList(), emptyList())
        val body = Json.encodeToString(PeerMessage.serializer(), digest)
        assertEquals(204, call(server.peerAddress, "POST", "/peer/v1/messages", body).status)
        waitFor("the message") { instance.events.any { it is Event.PeerMessageReceived && it.message == digest } }
        assertEquals(400, call(server.peerAddress, "POST", "/peer/v1/messages", """{"type":"digest"}""").status)
        assertEquals(404, call(server.peerAddress, "GET", "/peer/v1/messages").status)
    }

    @Test
    fun `messages to peers and store calls each end in one event`() {
        val self = Owner(InstanceId("e1"), 1, "127.0.0.1:1", FailureDomainId("a"))
        val message = PeerMessage.Digest(self, emptyList(), emptyList())
        instance.extraEffects.add(Effect.SendToPeer(server.peerAddress, message))
        instance.extraEffects.add(Effect.SendToPeer("127.0.0.1:1", message))
        val write = StoreCall.CompareAndSwap("claims/x", "me", 0, 1_000)
        instance.extraEffects.add(Effect.CallStore(OperationId(5), write))
        openSession()
        val expected =
            setOf(
                Event.PeerSendAcknowledged(server.peerAddress, message),
                Event.PeerSendFailed("127.0.0.1:1", message),
                Event.StoreAnswered(OperationId(5), StoreAnswer.Conflict("other", 4)),
            )
        waitFor("the three events") { instance.events.containsAll(expected) }
        assertEquals(3, instance.events.count { it in expected })
    }

    @Test
    fun `operators see health, readiness, status and metrics without caller ids`() {
        submit(openSession())
        val address = server.operatorAddress!!
        assertEquals(200, call(address, "GET", "/healthz").status)
        assertEquals(200, call(address, "GET", "/readyz").status)
        val status = Json.parseToJsonElement(call(address, "GET", "/v1/status").text()).jsonObject
        assertEquals("7", status.getValue("configurationVersion").toString())
        val metrics = call(address, "GET", "/metrics").text()
        assertTrue("""jackdawring_jobs_total{outcome="complete",reason=""} 1.0""" in metrics, metrics)
        assertTrue(
            """jackdawring_job_duration_seconds_count{kind="allergen-check",outcome="complete",service="orders"} 1""" in
                metrics,
            metrics,
        )
        assertTrue("house-12" !in metrics)
    }

    @Test
    fun `a drained instance answers not ready, leaves the list and reports completion`() {
        waitFor("the registration") { "POST /instances" in platformRequests }
        val done = CountDownLatch(1)
        server.drain { done.countDown() }
        assertTrue(done.await(20, TimeUnit.SECONDS))
        assertTrue("DELETE /instances/e1" in platformRequests)
        assertEquals(503, call(server.operatorAddress!!, "GET", "/readyz").status)
    }

    @Test
    fun `mutated requests get a response or a closed connection and never stop the listener`() {
        val random = Random(20_240_611)
        val body = """{"caller":"c","service":"orders","kind":"k","tasks":[{"payload":{"a":[1,2]}}]}"""
        val valid =
            "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nIdempotency-Key: 01890a5d-ac96-774b-bcce-b302099a8057\r\n" +
                "Content-Length: ${body.length}\r\n\r\n$body"
        val (host, port) = server.callerAddress.split(':')
        repeat(300) { round ->
            val bytes = valid.encodeToByteArray().copyOf(random.nextInt(1, valid.length + 1))
            repeat(random.nextInt(4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
            Socket(host, port.toInt()).use { socket ->
                socket.soTimeout = 20_000
                socket.getOutputStream().write(bytes)
                socket.shutdownOutput()
                // The stream must end; a read that times out fails the test.
                val answer = socket.getInputStream().readAllBytes().decodeToString()
                assertTrue(answer.isEmpty() || answer.startsWith("HTTP/1.1 "), "round $round: $answer")
                assertTrue(
                    Regex("HTTP/1\\.1 5").find(answer)?.value == null ||
                        "HTTP/1.1 505" in answer ||
                        "HTTP/1.1 501" in answer,
                    answer,
                )
            }
        }
        assertEquals(200, submit(openSession()).status)
    }
}
