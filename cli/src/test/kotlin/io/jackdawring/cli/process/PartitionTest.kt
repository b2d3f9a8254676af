package io.jackdawring.cli.process

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.TestInstance
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Partitions between failure domains and from the platform, with real processes behind relays. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class PartitionTest {
    private lateinit var cluster: Cluster

    @BeforeAll
    fun start() {
        cluster = Cluster("partition", targetsPerDomain = 2)
    }

    @AfterAll
    fun stop() = cluster.close()

    /** Guards against a side that stops serving, a job run by both sides, and a partition that does not heal. */
    @Test
    fun `each side of a partition serves its own sessions and both sides rejoin`() {
        val sessions = cluster.entries.associateWith { assertNotNull(Http.openSession(it.callers)) }
        val jobs = sessions.mapValues { (entry, session) -> submit(entry, session, Job("before-cut-${entry.id}")) }
        cluster.domainsPartitioned = true
        // Instances in "a" still see those in "b" as live in the platform's list.
        cluster.platformRelays.getValue("b").forwards = { _, _ -> false }
        val endNanos = System.nanoTime() + PARTITION_MILLIS * 1_000_000
        var round = 0
        do {
            round++
            sessions.forEach { (owner, session) ->
                submit(owner, session, Job("cut-${owner.id}-$round"))
                cluster.entries.filter { it != owner }.forEach { entry ->
                    val resubmit = { Http.submit(entry.callers, session, jobs.getValue(owner)).get() }
                    if (entry.domain == owner.domain) {
                        assertEquals(200, resubmit().status, "${entry.id} for ${owner.id}")
                    } else {
                        cluster.assertUnknownInTime("${entry.id} for ${owner.id}", resubmit)
                    }
                }
            }
        } while (System.nanoTime() < endNanos)
        cluster.domainsPartitioned = false
        cluster.platformRelays.getValue("b").forwards = { _, _ -> true }
        cluster.awaitSettled()
        sessions.forEach { (owner, session) ->
            cluster.entries.forEach { entry ->
                assertEquals(200, Http.submit(entry.callers, session, jobs.getValue(owner)).get().status)
            }
        }
        cluster.assertNoDoubleStarts()
    }

    private fun submit(
        entry: Cluster.Entry,
        session: String,
        job: Job,
    ): Job {
        assertEquals(200, Http.submit(entry.callers, session, job).get().status, "${job.id} at ${entry.id}")
        return job
    }

    private class Case(
        val name: String,
        val listLagMillis: Int,
        val isolatedDomain: String,
    )

    /** Guards against starts on a target that the platform removes while the target itself still accepts them. */
    @TestFactory
    fun `a leaving target gets no start after 3 seconds`(): List<DynamicTest> =
        listOf(
            Case("the platform is unreachable from one domain", 0, "a"),
            Case("the list lags and the platform is unreachable from one domain", 1_000, "b"),
        ).map { case -> dynamicTest(case.name) { assertNoLateStarts(case) } }

    private fun assertNoLateStarts(case: Case) {
        cluster.platformFaults("""{"listLagMillis":${case.listLagMillis}}""")
        cluster.platformRelays.getValue(case.isolatedDomain).forwards = { _, _ -> false }
        val leftAtMillis = System.currentTimeMillis()
        LEAVING_TARGETS.forEach { setState(it, "leaving") }
        val endMillis = leftAtMillis + LEAVING_LIMIT_MILLIS + AFTER_MILLIS
        val callers =
            cluster.entries.map { entry ->
                inThread {
                    val session = assertNotNull(Http.openSession(entry.callers))
                    var count = 0
                    while (System.currentTimeMillis() < endMillis) {
                        val job = Job("leaving-$leftAtMillis-${entry.id}-${count++}", tasks = 8, runMillis = 30)
                        Http.submit(entry.callers, session, job).get()
                    }
                }
            }
        callers.forEach { it.join() }
        val starts = cluster.starts().filter { it.unixMillis > leftAtMillis + LEAVING_LIMIT_MILLIS }
        assertTrue(starts.isNotEmpty(), "no target started a task, so the test is inconclusive")
        assertEquals(emptyList(), starts.filter { it.target in LEAVING_TARGETS })
        cluster.platformRelays.values.forEach { relay -> relay.forwards = { _, _ -> true } }
        cluster.platformFaults("{}")
        LEAVING_TARGETS.forEach { setState(it, "live") }
        awaitTrue("all entry instances use all targets again") {
            cluster.entries.all { entry -> entry.status().targets.all { it.state == "usable" } }
        }
    }

    private fun setState(
        target: String,
        state: String,
    ) {
        val answer = Http.send("PATCH", cluster.platformAddress, "/instances/$target", """{"state":"$state"}""").get()
        assertEquals(204, answer.status)
    }

    private companion object {
        /** Longer than the time limit of a peer message (1 s); a peer is suspect after a failed message. */
        const val PARTITION_MILLIS = 4_000L

        /** Documented limit. */
        const val LEAVING_LIMIT_MILLIS = 3_000L
        const val AFTER_MILLIS = 1_000L

        /** One of the two targets of each failure domain. */
        val LEAVING_TARGETS = setOf("t-a1", "t-b1")
    }
}
