package io.jackdawring.cli.process

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.TestInstance
import java.net.Socket
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Failures of owners and callers, with real processes. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class OwnerFailureTest {
    private lateinit var cluster: Cluster

    @BeforeAll
    fun start() {
        cluster = Cluster("owner")
    }

    @AfterAll
    fun stop() = cluster.close()

    private fun session(entry: Cluster.Entry) = assertNotNull(Http.openSession(entry.callers))

    /** Guards against a second start of a killed owner's job, also by its next incarnation, and against waiting for it. */
    @Test
    fun `jobs of a killed owner are unknown elsewhere and other sessions continue`() {
        val owner = cluster.entry("e1")
        val other = cluster.entry("e2")
        val ownerSession = session(owner)
        val otherSession = session(other)
        val job = Job("killed", tasks = 4, runMillis = 5_000)
        val running = Http.submit(owner.callers, ownerSession, job)
        awaitTrue("all tasks run") { cluster.starts(job) == job.tasks }
        owner.close()
        assertEquals(0, running.get().status)
        (cluster.entries.toList() + cluster.start("e1", "a")).forEach { entry ->
            cluster.assertUnknownInTime(entry.id) { Http.submit(entry.callers, ownerSession, job).get() }
        }
        assertEquals(200, Http.submit(other.callers, otherSession, Job("after-kill")).get().status)
        cluster.awaitSettled()
        cluster.entries.forEach { entry ->
            cluster.assertUnknownInTime(entry.id) { Http.submit(entry.callers, ownerSession, job).get() }
        }
        assertEquals(job.tasks, cluster.starts(job))
        cluster.assertNoDoubleStarts()
    }

    /** Guards against taking over the work of a paused owner, and against losing its answer after the pause. */
    @Test
    fun `jobs of a paused owner are unknown elsewhere until it continues`() {
        val owner = cluster.entry("e2")
        val session = session(owner)
        // More tasks than both targets have slots, so that some start only after the pause.
        val job = Job("paused", tasks = 120, runMillis = 200, deadlineMillis = 30_000)
        val running = Http.submit(owner.callers, session, job)
        awaitTrue("some tasks run") { cluster.starts(job) > 0 }
        owner.signal("STOP")
        try {
            val others = cluster.entries.filter { it != owner }
            val resumeNanos = System.nanoTime() + PAUSE_MILLIS * 1_000_000
            do {
                others.forEach { entry ->
                    cluster.assertUnknownInTime(entry.id) { Http.submit(entry.callers, session, job).get() }
                }
                Thread.sleep(200)
            } while (System.nanoTime() < resumeNanos)
            assertTrue(cluster.starts(job) < job.tasks, "all tasks started before the pause ended")
        } finally {
            owner.signal("CONT")
        }
        val answer = running.get()
        assertEquals(200, answer.status, answer.body)
        assertEquals(job.tasks, answer.results)
        cluster.entries.forEach { entry ->
            val recorded =
                await("the recorded answer through ${entry.id}") {
                    Http.submit(entry.callers, session, job).get().takeUnless { it.isUnknown }
                }
            assertEquals(answer.body, recorded.body)
        }
        cluster.awaitSettled()
        assertEquals(job.tasks, cluster.starts(job))
        cluster.assertNoDoubleStarts()
    }

    private class Case(
        val name: String,
        val sentPart: Double,
        val starts: Int,
    )

    /** Guards against starting an incomplete request, and against losing a complete one. */
    @TestFactory
    fun `a job runs only if its request arrived completely`(): List<DynamicTest> =
        listOf(
            Case("connection reset in the middle of the body", 0.5, 0),
            Case("connection reset before the last byte", 0.999, 0),
            Case("connection reset after the last byte", 1.0, 3),
        ).mapIndexed { index, case ->
            dynamicTest(case.name) {
                val entry = cluster.entry("e3")
                val session = session(entry)
                val job = Job("reset-$index", tasks = 3, runMillis = 100)
                sendAndReset(entry, session, job, case)
                if (case.starts > 0) awaitTrue("the job runs") { cluster.starts(job) == case.starts }
                val marker = Job("after-reset-$index")
                assertEquals(200, Http.submit(entry.callers, session, marker).get().status)
                assertEquals(case.starts, cluster.starts(job))
                if (case.starts == 0) assertEquals(0, entry.status().runningJobs)
                // The resubmission starts the job or attaches to it; in both cases each task starts once.
                assertEquals(200, Http.submit(entry.callers, session, job).get().status)
                assertEquals(job.tasks, cluster.starts(job))
                cluster.assertNoDoubleStarts()
            }
        }

    private fun sendAndReset(
        entry: Cluster.Entry,
        session: String,
        job: Job,
        case: Case,
    ) {
        val body = job.body.encodeToByteArray()
        val (ip, port) = entry.callers.split(':')
        Socket(ip, port.toInt()).use { socket ->
            val head =
                "POST /v1/jobs HTTP/1.1\r\nHost: ${entry.callers}\r\nContent-Length: ${body.size}\r\n" +
                    "Jackdaw-Session: $session\r\nIdempotency-Key: ${job.id}\r\n\r\n"
            socket.getOutputStream().write(head.encodeToByteArray() + body.copyOf((body.size * case.sentPart).toInt()))
            // A reset discards data that the receiver has not read, so the complete request must run before it.
            if (case.starts > 0) awaitTrue("the job runs") { cluster.starts(job) > 0 } else Thread.sleep(SETTLE_MILLIS)
            socket.setSoLinger(true, 0)
        }
    }

    private companion object {
        /** Longer than the time limit of a peer message (1 s); a peer is suspect after a failed message. */
        const val PAUSE_MILLIS = 4_000L

        /** Gives the entry instance time to start an incomplete job, which would be a fault. */
        const val SETTLE_MILLIS = 200L
    }
}
