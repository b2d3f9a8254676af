package io.jackdawring.fleet.model

import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import io.jackdawring.fleet.CallerAnswer
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against accepted jobs that stay undone in a shard that cannot run them, that run twice once they move, and that
 * are reported as unknown while they do.
 */
class MovedJobTest {
    private class Row(
        val name: String,
        val test: FakeFleet.() -> Unit,
    )

    private fun fleet(label: (String) -> String? = { null }) =
        FakeFleet(domains = 3, instancesPerDomain = 1, targetsPerDomain = 2, label = label)

    private fun FakeFleet.keep(
        durationMillis: Long = 2_000,
        steps: Int = 1,
        requiredLabel: String? = null,
    ): JobSpec {
        val job = FakeFleet.job("k", tasks = 2, durationMillis, requiredLabel, steps)
        submitDurable(job, "a1", durationMillis)
        run(200)
        assertTrue(job.id in accepted, "${job.id.value} is not accepted")
        return job
    }

    private fun FakeFleet.loseTargets(domain: String) = targetsOf(domain).forEach(::crashForGood)

    /** Cuts the instances and targets of [domain] off from everything else. */
    private fun FakeFleet.cutOff(
        domain: String,
        millis: Long,
    ) {
        val (inside, outside) = (instances.map { it.id } + targets.keys).partition { it.startsWith(domain) }
        inside.forEach { cut(it, outside + FakeLinks.STORE, millis) }
    }

    private fun FakeFleet.assertCompletedElsewhere(job: JobSpec) {
        checkCompleted()
        assertTrue(storedJobs().getValue(job.id).first != "a", "the job is still in its first shard")
    }

    private val rows =
        listOf(
            Row("all targets of a failure domain are lost") {
                val job = keep()
                loseTargets("a")
                run(10_000)
                assertCompletedElsewhere(job)
            },
            Row("a step that is done does not run again after the move") {
                val job = keep(steps = 2)
                run(2_500)
                loseTargets("a")
                run(12_000)
                assertCompletedElsewhere(job)
                // Two tasks of the first step, and two of the second one before and after the loss.
                assertEquals(6, runs.countOf(job.id))
            },
            Row("the targets are lost with the instance, which restarts") {
                val job = keep()
                loseTargets("a")
                kill("a1", restartAfterMillis = 1_000)
                run(25_000)
                assertCompletedElsewhere(job)
            },
            Row("the targets are lost with the only instance, a step is done before") {
                val job = keep(steps = 2)
                run(2_500)
                loseTargets("a")
                kill("a1")
                run(45_000)
                assertCompletedElsewhere(job)
                assertEquals(6, runs.countOf(job.id))
            },
            Row("most targets are lost: jobs that wait for the others move to idle ones") {
                val jobs = List(12) { FakeFleet.job("k$it", tasks = 4, estimateMillis = 2_000) }
                crashForGood("a-t1")
                run(6_000)
                jobs.forEach { submitDurable(it, "a1", durationMillis = 2_000) }
                crashForGood("b-t1")
                run(20_000)
                checkCompleted()
            },
            Row("the store is down while the targets are lost: the job moves afterwards") {
                val job = keep()
                loseTargets("a")
                stopStore(6_000)
                run(20_000)
                assertCompletedElsewhere(job)
            },
            Row("the holder freezes while it moves the job") {
                val job = keep()
                loseTargets("a")
                repeat(30) {
                    run(100)
                    freeze("a1", 130, messagesFirst = it % 2 == 0)
                }
                run(40_000)
                assertCompletedElsewhere(job)
            },
            Row("the holder is killed while it moves the job") {
                val job = keep()
                loseTargets("a")
                run(3_500)
                repeat(6) {
                    kill("a1", restartAfterMillis = 50)
                    run(170)
                }
                run(40_000)
                assertCompletedElsewhere(job)
            },
            Row("the holder of the other shard is killed while the job moves") {
                val job = keep()
                loseTargets("a")
                run(3_600)
                listOf("b1", "c1").forEach { kill(it, restartAfterMillis = 400) }
                run(30_000)
                assertCompletedElsewhere(job)
            },
            Row("a failure domain is cut off and continues its jobs: they run once at a time") {
                keep(durationMillis = 30_000)
                cutOff("a", 60_000)
                run(150_000)
                checkCompleted()
            },
            Row("a failure domain is cut off for longer than a job takes: its results count") {
                val job = keep(steps = 3)
                cutOff("a", 40_000)
                run(80_000)
                checkCompleted()
                assertTrue(runs.countOf(job.id) >= 6, "${runs.countOf(job.id)} runs")
            },
            Row("the holder freezes for long while its targets are sound") {
                keep(durationMillis = 20_000)
                freeze("a1", 40_000)
                run(120_000)
                checkCompleted()
            },
            Row("the holder is cut off from the store for a few seconds: nothing moves or stops") {
                val job = keep(durationMillis = 15_000)
                cut("a1", listOf(FakeLinks.STORE), 9_000)
                run(30_000)
                checkCompleted()
                assertEquals(2, runs.countOf(job.id))
                assertEquals("a", storedJobs().getValue(job.id).first)
            },
            Row("targets that are silent for a moment: nothing moves") {
                val job = keep()
                targetsOf("a").forEach { silence(it, 2_000) }
                run(15_000)
                checkCompleted()
                assertEquals("a", storedJobs().getValue(job.id).first)
            },
        )

    /** Accepted jobs in domain "a", which then loses its targets, while the store is slow. */
    private fun FakeFleet.jobsThatMove(): List<JobSpec> {
        val jobs = List(24) { FakeFleet.job("k$it", tasks = 1, estimateMillis = 60_000) }
        jobs.forEach { submitDurable(it, "a1", durationMillis = 60_000) }
        run(500)
        assertEquals(jobs.map { it.id }.toSet(), accepted)
        loseTargets("a")
        run(2_000)
        // The reads of a lookup are far apart, so that jobs move between them.
        slowStore(10_000)
        return jobs
    }

    /** Cancels [job], again after each answer to try later, and adds the final answer to [answers]. */
    private fun FakeFleet.cancelUntilAnswered(
        job: JobSpec,
        id: String,
        answers: MutableMap<JobSpec, CallerAnswer>,
    ): Unit =
        queryState(job, id, cancel = true) { answer ->
            if (answer is CallerAnswer.TryLater) {
                clock.schedule(1_000) { cancelUntilAnswered(job, id, answers) }
            } else {
                answers[job] = answer
            }
        }

    private val lookupRows =
        listOf(
            Row("queries: an accepted job is never unknown") {
                val jobs = jobsThatMove()
                val answers = ArrayList<CallerAnswer>()
                repeat(300) {
                    jobs.forEach { job ->
                        listOf("b1", "c1").forEach { queryState(job, it, cancel = false, answers::add) }
                    }
                    run(20)
                }
                run(1_500)
                assertTrue(storedJobs().values.any { it.first != "a" }, "nothing has moved")
                assertEquals(300 * 24 * 2, answers.size)
                assertEquals(0, answers.count { it == CallerAnswer.UnknownJob }, "answers that a job is unknown")
            },
            Row("cancellations: each one is carried out, wherever the job is") {
                val jobs = jobsThatMove()
                val answers = HashMap<JobSpec, CallerAnswer>()
                jobs.forEachIndexed { index, job ->
                    clock.schedule(FIRST_CANCELLATION_MILLIS + 20L * index) {
                        cancelUntilAnswered(job, if (index % 2 == 0) "b1" else "c1", answers)
                    }
                }
                run(15_000)
                assertEquals(jobs.toSet(), answers.keys.toSet())
                assertEquals(0, answers.values.count { it == CallerAnswer.UnknownJob }, "answers that a job is unknown")
                val states = storedJobs()
                assertEquals(setOf(JobState.CANCELLED), states.values.map { it.second }.toSet())
                assertTrue(states.values.any { it.first != "a" }, "nothing has moved")
            },
        )

    private val labelRows =
        listOf(
            Row("a job whose label only another failure domain has is stored there") {
                val job = keep(requiredLabel = "c")
                run(5_000)
                assertCompletedElsewhere(job)
            },
            Row("many jobs that no shard can run do not keep another one from moving") {
                repeat(100) { submitDurable(FakeFleet.job("blocked$it", requiredLabel = "none"), "a1", 400) }
                run(4_000)
                val job = keep()
                loseTargets("a")
                run(15_000)
                val (domain, state) = storedJobs().getValue(job.id)
                assertEquals(JobState.COMPLETED, state)
                assertTrue(domain != "a", "the job is still in its first shard")
            },
            Row("a job waits in its shard while no target of any shard has its label") {
                val job = keep(requiredLabel = "none")
                run(20_000)
                assertEquals("a", storedJobs().getValue(job.id).first)
                assertEquals(0, runs.countOf(job.id))
            },
        )

    @TestFactory
    fun `jobs that move to another shard`() =
        rows.map { row -> DynamicTest.dynamicTest(row.name) { fleet().let { row.test(it) } } }

    @TestFactory
    fun `lookup of jobs that move`() =
        lookupRows.map { row -> DynamicTest.dynamicTest(row.name) { fleet().let { row.test(it) } } }

    @TestFactory
    fun `jobs whose label few targets have`() =
        labelRows.map { row -> DynamicTest.dynamicTest(row.name) { fleet(label = { it }).let { row.test(it) } } }

    private companion object {
        /** About the time of the moves, counted from two seconds after the loss. */
        const val FIRST_CANCELLATION_MILLIS = 1_500L
    }
}
