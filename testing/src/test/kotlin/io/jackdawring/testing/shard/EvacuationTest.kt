package io.jackdawring.testing.shard

import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.ShardDecision
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.testing.shard.FakeShard.Companion.job
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against tasks that start in an evacuated failure domain, and against jobs that wait there in vain. */
class EvacuationTest {
    private class Fixture {
        val targets = listOf(FakeShardTarget("t1", SMALL), FakeShardTarget("t2", SMALL))
        val shard = FakeShard(targets).also { it.runFor(50) }

        fun startsOf(job: JobSpec) = shard.starts.count { it.first.jobId == job.id }

        fun isRefused(outcome: JobOutcome?) = outcome is JobOutcome.NotRun && outcome.isEvacuated
    }

    private class Row(
        val name: String,
        val test: Fixture.() -> Unit,
    )

    private val rows =
        listOf(
            Row("jobs of which nothing has started are refused at once, runs go on") {
                val running = job("r", tasks = 2, estimateMillis = 400)
                val first = shard.submit(running)
                val second = shard.submit(job("w", tasks = 2, estimateMillis = 400))
                shard.runFor(20)
                shard.updateEvacuated(true, graceMillis = 1_000)
                assertTrue(isRefused(shard.answers[second]?.outcome), "the waiting job is not refused at once")
                assertTrue(isRefused(shard.answers[shard.submit(job("n"))]?.outcome), "a new job is not refused")
                shard.runFor(500)
                assertEquals(JobOutcome.Completed, shard.answers[first]?.outcome)
                val change = shard.decisions.filterIsInstance<ShardDecision.EvacuationChanged>().single()
                assertEquals(ShardDecision.EvacuationChanged(true, refusedJobs = 1, waitingJobs = 0), change)
            },
            Row("a job that has started starts its remaining tasks in the grace only, then it is given up") {
                val job = job("j", tasks = 20, estimateMillis = 300)
                val waiter = shard.submit(job, remainingMillis = 10_000)
                shard.runFor(20)
                shard.updateEvacuated(true, graceMillis = 500)
                shard.runFor(500)
                assertEquals(4, startsOf(job))
                assertNull(shard.answers[waiter], "runs that go on may still end")
                shard.runFor(200)
                assertEquals(4, startsOf(job))
                assertIs<JobOutcome.GivenUp>(shard.answers[waiter]?.outcome)
            },
            Row("nothing starts until the requests are known") {
                shard.updateEvacuated(null)
                val durable = job("k").also(shard::submitDurable)
                shard.runFor(300)
                val waiter = shard.submit(job("j"))
                assertIs<JobOutcome.NotRun>(shard.answers[waiter]?.outcome)
                shard.runFor(3_000)
                assertEquals(emptyList(), shard.starts)
                shard.updateEvacuated(false)
                shard.runFor(300)
                assertEquals(JobState.COMPLETED, shard.durableJobState(durable))
            },
            Row("a new holder resumes the runs of a job, but starts nothing of it") {
                val job = job("j", tasks = 6, estimateMillis = 400)
                shard.submit(job, remainingMillis = 10_000)
                shard.runFor(50)
                shard.replaceHolder(handOver = true, seenAtMillis = shard.nowMillis)
                shard.updateEvacuated(true)
                val waiter = shard.submit(job, remainingMillis = 10_000, mayRun = true)
                shard.runFor(1_500)
                assertEquals(2, startsOf(job))
                assertIs<JobOutcome.GivenUp>(shard.answers[waiter]?.outcome)
            },
            Row("a new holder that awaits the requests resumes a job once it is in service") {
                val job = job("j", tasks = 4, estimateMillis = 200)
                shard.submit(job, remainingMillis = 10_000)
                shard.runFor(50)
                shard.replaceHolder(handOver = true, seenAtMillis = shard.nowMillis)
                shard.updateEvacuated(null)
                val waiter = shard.submit(job, remainingMillis = 10_000, mayRun = true)
                shard.runFor(600)
                assertEquals(2, startsOf(job))
                shard.updateEvacuated(false)
                shard.runFor(600)
                assertEquals(JobOutcome.Completed, shard.answers[waiter]?.outcome)
            },
            Row("a slow run gets no copy, and an urgent job preempts nothing") {
                val slow = job("s", estimateMillis = 100, speculative = true)
                shard.actualMillis[taskOf(slow)] = 450
                shard.submit(slow, remainingMillis = 5_000)
                val durable = job("k", estimateMillis = 1_000, priority = 2).also(shard::submitDurable)
                shard.submit(job("u", tasks = 2), remainingMillis = 5_000)
                shard.runFor(20)
                val starts = shard.starts.size
                shard.updateEvacuated(true, graceMillis = 900)
                shard.runFor(900)
                assertEquals(starts, shard.starts.size)
                assertEquals(1, shard.runningTasksOf(durable))
            },
            Row("durable jobs wait, may move, and run after the return") {
                shard.updateEvacuated(true)
                val job = job("k").also(shard::submitDurable)
                shard.runFor(3_000)
                assertEquals(emptyList(), shard.starts)
                assertNull(shard.delayMillis(job))
                shard.updateEvacuated(false)
                shard.runFor(300)
                assertEquals(JobState.COMPLETED, shard.durableJobState(job))
            },
            Row("a start that is carried out after the request is stopped") {
                targets.forEach {
                    it.mode = FakeShardTarget.Mode.SILENT
                    it.lateStartMillis = 1_200
                }
                val job = job("j", estimateMillis = 2_000)
                shard.submit(job, remainingMillis = 5_000)
                shard.runFor(250)
                shard.updateEvacuated(true)
                targets.forEach { it.mode = FakeShardTarget.Mode.HEALTHY }
                shard.runFor(2_500)
                assertEquals(1, startsOf(job))
                assertEquals(0, shard.runningTasks)
            },
            Row("a request that is withdrawn and set again at once lets nothing start later") {
                shard.updateEvacuated(true)
                shard.updateEvacuated(false)
                shard.updateEvacuated(true)
                val job = job("k").also(shard::submitDurable)
                shard.runFor(1_000)
                assertEquals(0, startsOf(job))
            },
        )

    @TestFactory
    fun `an evacuated failure domain`() = rows.map { DynamicTest.dynamicTest(it.name) { it.test(Fixture()) } }

    private val returnRows =
        listOf(
            Row("until a run has shown how fast a cold target is, it gets one task") {
                shard.updateEvacuated(false)
                shard.runFor(20)
                repeat(8) { shard.submit(job("j$it", estimateMillis = 50, cpuMillis = 7_000), remainingMillis = 5_000) }
                shard.runFor(40)
                assertEquals(listOf(1, 1), targets.map { shard.runningTasksOn(it) })
                shard.runFor(40)
                assertTrue(targets.all { shard.runningTasksOn(it) > 1 }, "a warm target is not used")
            },
            Row("a cold target gets only as many tasks as meet their objective") {
                shard.updateEvacuated(false)
                List(8) { job("j$it", cpuMillis = 7_000) }.forEach { job ->
                    shard.actualMillis[taskOf(job)] = 350
                    shard.submit(job, remainingMillis = 5_000)
                }
                shard.runFor(400)
                assertEquals(listOf(1, 1), targets.map { shard.runningTasksOn(it) })
            },
            Row("the runs of the cold phase do not count afterwards") {
                shard.updateEvacuated(false)
                List(4) { job("j$it") }.forEach { job ->
                    shard.actualMillis[taskOf(job)] = 350
                    shard.submit(job, remainingMillis = 5_000)
                }
                shard.runFor(2_000)
                assertTrue(shard.speeds().all { it < 0.5 }, "the cold phase is not noticed: ${shard.speeds()}")
                shard.runFor(1_500)
                assertEquals(listOf(1.0, 1.0), shard.speeds())
            },
        )

    @TestFactory
    fun `a failure domain that has returned to service`() =
        returnRows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                val fixture = Fixture()
                fixture.shard.updateEvacuated(true)
                fixture.shard.runFor(1_000)
                row.test(fixture)
            }
        }

    private companion object {
        fun taskOf(job: JobSpec) = TaskKey(job.id, 0, 0, 0)

        val SMALL = Resources(16_000, 65_536)
    }
}
