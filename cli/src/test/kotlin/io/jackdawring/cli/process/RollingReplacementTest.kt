package io.jackdawring.cli.process

import org.junit.jupiter.api.Test
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Replaces every entry instance under load, as for a new release. */
class RollingReplacementTest {
    private class Submitted(
        val session: String,
        val job: Job,
        val answer: Answer,
    )

    /** Callers behind a load balancer; each keeps its session until its instance leaves or refuses a job. */
    private class Load(
        private val balancer: List<Cluster.Entry>,
    ) : AutoCloseable {
        val sent = ConcurrentHashMap.newKeySet<Submitted>()
        private val ids = AtomicLong()

        @Volatile
        private var stopped = false
        private val callers = List(CALLERS) { index -> inThread { call(index) } }

        private fun call(index: Int) {
            var turn = index
            while (!stopped) {
                val entry = balancer.toList().let { it[turn++ % it.size] }
                val session = Http.openSession(entry.callers) ?: continue
                do {
                    val job = Job("roll-${ids.incrementAndGet()}", tasks = 2, runMillis = 30)
                    val answer = Http.submit(entry.callers, session, job).get()
                    sent += Submitted(session, job, answer)
                } while (!stopped && answer.status == 200 && entry in balancer)
            }
        }

        override fun close() {
            stopped = true
            callers.forEach { it.join() }
        }
    }

    /**
     * Guards against requests that a shutdown aborts, refusals of jobs that ran, and answers lost with their owner.
     */
    @Test
    fun `a rolling replacement aborts no request and keeps the answers`() {
        Cluster("rolling").use { cluster ->
            val balancer = CopyOnWriteArrayList(cluster.entries)
            val longJobs = ArrayList<Submitted>()
            val load = Load(balancer)
            load.use {
                cluster.entries.toList().forEachIndexed { index, old ->
                    balancer += cluster.start("e${index + 5}", old.domain)
                    longJobs += replace(cluster, old, balancer, "long-${old.id}")
                }
            }
            val sent = load.sent + longJobs
            val (complete, others) = sent.partition { it.answer.status == 200 }
            complete.forEach { assertEquals(it.job.tasks, it.answer.results, it.job.id) }
            others.forEach { assertTrue(it.answer.isRefused, "${it.job.id}: ${it.answer}") }
            val starts =
                cluster
                    .starts()
                    .groupingBy {
                        it.task
                            .split('/')
                            .takeLast(2)
                            .first()
                    }.eachCount()
            others.forEach { assertEquals(0, starts[it.job.id] ?: 0, "${it.job.id} was refused and ran") }
            assertTrue(complete.size > 4 * CALLERS, "only ${complete.size} jobs")
            assertAnswersKept(cluster, longJobs + complete.shuffled().take(SAMPLE))
            cluster.assertNoDoubleStarts()
        }
    }

    /** Stops [old] while a job runs there, which delays the exit of its process; returns that job. */
    private fun replace(
        cluster: Cluster,
        old: Cluster.Entry,
        balancer: MutableList<Cluster.Entry>,
        id: String,
    ): Submitted {
        val session = assertNotNull(Http.openSession(old.callers))
        val job = Job(id, tasks = 2, runMillis = 1_500)
        val running = Http.submit(old.callers, session, job)
        // The tasks in flight at the instance may all be those of other callers.
        awaitTrue("$id runs") { cluster.starts(job) > 0 }
        old.terminate()
        awaitTrue("${old.id} drains") { old.status().draining }
        val refused = Http.submit(old.callers, session, Job("$id-late")).get()
        assertEquals(503, refused.status, "a new job at a draining instance: $refused")
        balancer.remove(old)
        val answer = running.get()
        assertEquals(200, answer.status, "a job in progress at ${old.id}: $answer")
        assertEquals(0, old.exitCode())
        return Submitted(session, job, answer)
    }

    private fun assertAnswersKept(
        cluster: Cluster,
        jobs: List<Submitted>,
    ) = jobs.forEach { sent ->
        cluster.entries.forEach { entry ->
            val recorded =
                await("the answer to ${sent.job.id} through ${entry.id}") {
                    Http.submit(entry.callers, sent.session, sent.job).get().takeUnless { it.isUnknown }
                }
            assertEquals(sent.answer.body, recorded.body)
        }
    }

    private companion object {
        const val CALLERS = 8

        /** Number of answers read back at every instance; reading all would take longer than the replacement. */
        const val SAMPLE = 40
    }
}
