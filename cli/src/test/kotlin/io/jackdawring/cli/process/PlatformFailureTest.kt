package io.jackdawring.cli.process

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestMethodOrder
import java.util.concurrent.CyclicBarrier
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Publishing and platform failures, with real processes. The tests are ordered: the last one kills the platform. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
class PlatformFailureTest {
    private lateinit var cluster: Cluster

    @BeforeAll
    fun start() {
        cluster = Cluster("platform")
    }

    @AfterAll
    fun stop() = cluster.close()

    private fun version(): Long = cluster.entries.minOf { it.status().configurationVersion }

    private fun headVersion(): Long {
        val entry = Json.parseToJsonElement(Http.send("GET", cluster.platformAddress, "/kv/config/head").get().body)
        val head =
            Json.parseToJsonElement(
                entry.jsonObject
                    .getValue("value")
                    .jsonPrimitive.content,
            )
        return head.jsonObject
            .getValue("version")
            .jsonPrimitive.long
    }

    private fun assertInForce(version: Long) =
        assertEquals(cluster.entries.map { version }, cluster.entries.map { it.status().configurationVersion })

    /** Guards against two publishers that both report that their files are in force. */
    @Test
    @Order(1)
    fun `one of two racing publishers gets a conflict`() {
        val before = version()
        // Both have read the head before either swaps it.
        val bothReady = CyclicBarrier(2)
        val outcomes =
            Relay().use { relay ->
                relay.upstream = cluster.platformAddress
                relay.forwards = { call, _ ->
                    if (call == "PUT /kv/config/head" && !bothReady.isBroken) bothReady.await(20, TimeUnit.SECONDS)
                    true
                }
                val publishers =
                    listOf(101, 102).map { quota ->
                        cluster.startPublish(quota, cluster.entry("e1"), relay.address, waitMillis = 10_000)
                    }
                publishers.map { publisher -> publisher.use { it.exitCode() to it.output } }
            }
        assertEquals(setOf(0, 6), outcomes.map { it.first }.toSet(), "$outcomes")
        assertContains(outcomes.first { it.first == 6 }.second, "\"result\":\"conflict\"")
        assertInForce(before + 1)
    }

    /** Guards against a publish that reports failure, or publishes twice, because the reply to its swap was lost. */
    @Test
    @Order(2)
    fun `a publish whose reply is lost is accepted once`() {
        val before = version()
        val lost = AtomicBoolean()
        val (exitCode, output) =
            Relay().use { relay ->
                relay.upstream = cluster.platformAddress
                // The second check of a call concerns its response.
                val checks = AtomicInteger()
                relay.forwards = { call, _ ->
                    call != "PUT /kv/config/head" || checks.incrementAndGet() != 2 || lost.getAndSet(true)
                }
                cluster
                    .startPublish(103, cluster.entry("e1"), relay.address, waitMillis = 10_000)
                    .use { it.exitCode() to it.output }
            }
        assertTrue(lost.get(), "no reply was lost")
        assertEquals(0, exitCode, output)
        assertContains(output, "\"result\":\"accepted\",\"version\":${before + 1}")
        assertInForce(before + 1)
        assertEquals(before + 1, headVersion())
    }

    /** Guards against a result that differs from the store when replies to documents and to the swap are lost. */
    @Test
    @Order(3)
    fun `a publish with many lost replies reports what is in the store`() {
        val before = version()
        cluster.platformFaults("""{"loseReplyPercent":60}""")
        val (exitCode, output) = cluster.publish(104, cluster.entry("e1"), waitMillis = 10_000)
        cluster.platformFaults("{}")
        assertContains(setOf(0, 3), exitCode, output)
        val after = if (exitCode == 0) before + 1 else before
        assertEquals(after, headVersion(), output)
        assertInForce(after)
    }

    /** Guards against a confirmation that a stopped instance never gave, and against a version lost by a restart. */
    @Test
    @Order(4)
    fun `a stopped instance is reported as pending and applies the version after it continues`() {
        val next = version() + 1
        val stopped = cluster.entry("e4")
        stopped.signal("STOP")
        val (exitCode, output) =
            try {
                cluster.publish(105, cluster.entry("e1"), waitMillis = 2_500)
            } finally {
                stopped.signal("CONT")
            }
        assertEquals(5, exitCode, output)
        assertContains(output, "\"pending\":[\"e4\"]")
        awaitTrue("e4 has version $next") { stopped.status().configurationVersion == next }
        assertInForce(next)
        stopped.terminate()
        assertEquals(0, stopped.exitCode())
        cluster.start("e4", "b")
        assertInForce(next)
        cluster.awaitSettled()
    }

    /** Guards against sessions that depend on the platform, and against refusals of submissions that ran. */
    @Test
    @Order(5)
    fun `an outage of the platform affects only what depends on it`() {
        val sessions = openSessions()
        val version = version()
        cluster.platformFaults("""{"down":true}""")
        assertServesWithoutPlatform(sessions, version)
        cluster.platformFaults("{}")
        val job = Job(uuidV7())
        awaitTrue("claims work again") { Http.submit(cluster.entry("e1").callers, null, job).get().status == 200 }
        assertEquals(1, cluster.starts(job))
    }

    /** The previous test with refused connections; also guards against starts and shutdowns that need the platform. */
    @Test
    @Order(6)
    fun `a killed platform affects only what depends on it`() {
        val sessions = openSessions()
        val version = version()
        cluster.killPlatform()
        assertServesWithoutPlatform(sessions, version)
        val joined = cluster.start("e5", "b", seeds = listOf(cluster.entry("e1"), cluster.entry("e3")))
        assertEquals(version, joined.status().configurationVersion)
        awaitTrue("e5 knows all others") { joined.status().members.count { it.state == "live" } >= 4 }
        assertInForce(version)
        val leaving = cluster.entry("e4")
        val job = Job("before-leaving", tasks = 2)
        val answer = Http.submit(leaving.callers, sessions[leaving], job).get()
        leaving.terminate()
        assertEquals(0, leaving.exitCode())
        cluster.entries.forEach { entry ->
            assertEquals(answer, Http.submit(entry.callers, sessions[leaving], job).get(), "through ${entry.id}")
        }
    }

    private fun openSessions() = cluster.entries.associateWith { assertNotNull(Http.openSession(it.callers)) }

    private fun assertServesWithoutPlatform(
        sessions: Map<Cluster.Entry, String>,
        version: Long,
    ) {
        sessions.forEach { (entry, session) ->
            assertEquals(200, Http.submit(entry.callers, session, Job(uuidV7())).get().status, entry.id)
            val fresh = assertNotNull(Http.openSession(entry.callers))
            assertEquals(200, Http.submit(entry.callers, fresh, Job(uuidV7())).get().status, entry.id)
            val claimed = Job(uuidV7())
            val refusal = Http.submit(entry.callers, null, claimed, firstAttempt = true).get()
            assertEquals(503, refusal.status, "${entry.id}: $refusal")
            assertNotNull(refusal.retryAfter)
            assertEquals(0, cluster.starts(claimed))
            val repeated = Http.submit(entry.callers, null, Job(uuidV7())).get()
            assertEquals(true, repeated.isUnknown, "${entry.id}: $repeated")
        }
        assertInForce(version)
        cluster.assertNoDoubleStarts()
    }
}
