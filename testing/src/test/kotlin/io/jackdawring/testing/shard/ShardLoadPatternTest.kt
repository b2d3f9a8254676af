package io.jackdawring.testing.shard

import io.jackdawring.core.shard.Admission
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.ShardDecision
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.core.shard.WaiterId
import io.jackdawring.testing.shard.FakeShard.Companion.job
import io.jackdawring.testing.shard.FakeShardTarget.Mode
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Load and fault patterns at one shard; each row is named after the behaviour that it verifies. */
class ShardLoadPatternTest {
    private class Row(
        val pattern: String,
        val test: () -> Unit,
    )

    private fun shard(
        count: Int = 3,
        speed: (Int) -> Double = { 1.0 },
    ) = FakeShard(List(count) { FakeShardTarget("t$it", speed = speed(it)) }).also { it.runFor(50) }

    private fun FakeShard.suspensions() =
        decisions
            .filterIsInstance<ShardDecision.TargetChanged>()
            .filter {
                it.state == "suspended"
            }.map { it.targetId.value }

    private fun FakeShard.outcome(waiter: WaiterId) = answers[waiter]?.outcome

    private val rows =
        listOf(
            Row("idle targets: a job starts at once and completes in its declared duration") {
                val shard = shard()
                val waiter = shard.submit(job("a", tasks = 6))
                shard.runFor(130)
                assertEquals(JobOutcome.Completed, shard.outcome(waiter))
            },
            Row("full targets: a job that cannot meet its objective is rejected at once") {
                val shard = shard(count = 1)
                shard.submit(job("a", tasks = 2, estimateMillis = 900))
                shard.runFor(20)
                val waiter = shard.submit(job("b", estimateMillis = 60))
                assertIs<JobOutcome.NotRun>(shard.outcome(waiter))
            },
            Row("full targets: a job with a longer objective is queued and served") {
                val shard = shard(count = 1)
                shard.submit(job("a", tasks = 2, estimateMillis = 200))
                shard.runFor(20)
                val waiter = shard.submit(job("b", estimateMillis = 900))
                shard.runFor(1_300)
                assertEquals(JobOutcome.Completed, shard.outcome(waiter))
            },
            Row("wide job on a nearly full shard: not admitted as an early one") {
                val shard = shard(count = 1)
                shard.submit(job("a", tasks = 1, estimateMillis = 500))
                shard.runFor(20)
                val strict = shard.submit(job("b", tasks = 8, estimateMillis = 60), admission = Admission.EARLY)
                val lax = shard.submit(job("c", tasks = 8, estimateMillis = 60), admission = Admission.ON_TIME_OR_LATE)
                assertTrue((shard.outcome(strict) as JobOutcome.NotRun).lateMillis!! > 0)
                shard.runFor(800)
                assertEquals(JobOutcome.Completed, shard.outcome(lax))
            },
            Row("short objective behind long ones: the more urgent job goes first") {
                val shard = shard(count = 1)
                shard.submit(job("a", tasks = 2, estimateMillis = 50))
                shard.runFor(10)
                val long = shard.submit(job("b", tasks = 2, estimateMillis = 900))
                val short = shard.submit(job("c", tasks = 2, estimateMillis = 60))
                shard.runFor(1_500)
                assertTrue(shard.answers.getValue(short).atMillis < shard.answers.getValue(long).atMillis)
            },
            Row("unequal targets: learned speeds keep long tasks off the slow target") {
                val shard = shard(count = 2, speed = { if (it == 0) 0.3 else 1.0 })
                repeat(20) {
                    shard.submit(job("w$it", tasks = 4, estimateMillis = 40))
                    shard.runFor(400)
                }
                shard.starts.clear()
                shard.submit(job("long", estimateMillis = 900))
                assertEquals(listOf("t1"), shard.starts.map { it.second })
            },
            Row("a target that fails every run is suspended") {
                val shard = shard()
                shard.targets[0].mode = Mode.FAILS
                val waiters =
                    List(30) {
                        shard.runFor(60)
                        shard.submit(job("a$it", estimateMillis = 50))
                    }
                shard.runFor(500)
                assertTrue(waiters.all { shard.outcome(it) == JobOutcome.Completed })
                assertTrue(
                    shard.starts.count { it.second == "t0" } <= 6,
                    "t0 got ${shard.starts.count { it.second == "t0" }} starts",
                )
            },
            Row("a target that hangs: its runs are repeated elsewhere, never beside the old run") {
                val shard = shard(count = 2)
                shard.targets[0].mode = Mode.HANGS
                val waiter = shard.submit(job("a", tasks = 4, estimateMillis = 60))
                shard.runFor(1_000)
                assertEquals(JobOutcome.Completed, shard.outcome(waiter))
            },
            Row("a busy holder reads the answers of sound targets late: none is suspended") {
                val shard = shard(count = 4)
                shard.targets.forEach { it.answerDelayMillis = 350 }
                val waiters = List(2) { shard.submit(job("a$it", tasks = 4, estimateMillis = 60)) }
                shard.runFor(2_000)
                assertEquals(List(2) { JobOutcome.Completed }, waiters.map { shard.outcome(it) })
                assertEquals(emptyList(), shard.suspensions())
                assertEquals(8, shard.starts.size)
            },
            Row("three runs of one target hang at once: it is suspended once") {
                val shard = shard(count = 2)
                shard.targets[0].mode = Mode.HANGS
                shard.submit(job("a", tasks = 6, estimateMillis = 60, cpuMillis = 10_000))
                shard.runFor(1_000)
                assertEquals(listOf("t0"), shard.suspensions())
            },
            Row("a burst of twice the capacity: jobs that cannot be on time are served late, after those that are") {
                val shard = shard(count = 4)
                val burst = List(12) { shard.submit(job("b$it", tasks = 2, estimateMillis = 200)) }
                shard.runFor(300)
                val fresh = shard.submit(job("f", tasks = 2, estimateMillis = 200))
                shard.runFor(1_500)
                assertEquals(12, burst.count { shard.outcome(it) == JobOutcome.Completed })
                assertEquals(JobOutcome.Completed, shard.outcome(fresh))
                assertTrue(shard.answers.getValue(fresh).atMillis <= shard.answers.getValue(burst.last()).atMillis)
            },
            Row("a job that would end too late to be useful is rejected at once, and not held to its deadline") {
                val shard = shard(count = 1)
                shard.submit(job("a", tasks = 2, estimateMillis = 900))
                shard.runFor(20)
                assertIs<JobOutcome.NotRun>(shard.outcome(shard.submit(job("b", estimateMillis = 60))))
            },
            Row("a late job that others keep waiting is refused as soon as it cannot be useful any more") {
                val shard = shard(count = 1)
                shard.submit(job("a", tasks = 2, estimateMillis = 200))
                shard.runFor(100)
                val late = shard.submit(job("b", tasks = 2, estimateMillis = 60))
                repeat(40) { shard.submit(job("c$it", estimateMillis = 900), admission = Admission.EARLY) }
                shard.runFor(600)
                assertIs<JobOutcome.NotRun>(shard.outcome(late))
            },
            Row("a job whose runs all fail ends as failed after its attempts") {
                val shard = shard()
                shard.targets.forEach { it.mode = Mode.FAILS }
                val waiter = shard.submit(job("a", maxAttempts = 2))
                shard.runFor(3_000)
                assertIs<JobOutcome.Failed>(shard.outcome(waiter))
                assertEquals(2, shard.starts.size)
            },
            Row("answers to starts are lost: the existing run is used") {
                val shard = shard(count = 1)
                shard.targets[0].mode = Mode.ANSWERS_LOST
                val waiter = shard.submit(job("a", estimateMillis = 600))
                shard.runFor(900)
                assertEquals(JobOutcome.Completed, shard.outcome(waiter))
                assertEquals(1, shard.starts.size)
            },
            Row("a target falls silent: its tasks start elsewhere when its lease has expired, not before") {
                val shard = shard(count = 2)
                val waiter = shard.submit(job("a", tasks = 4, estimateMillis = 300))
                shard.runFor(20)
                shard.targets[0].mode = Mode.SILENT
                shard.runFor(1_980)
                assertEquals(JobOutcome.Completed, shard.outcome(waiter))
            },
            Row("a target restarts: its tasks are retried") {
                val shard = shard(count = 2)
                val waiter = shard.submit(job("a", tasks = 4, estimateMillis = 300))
                shard.runFor(20)
                shard.targets[0].restart()
                shard.runFor(900)
                assertEquals(JobOutcome.Completed, shard.outcome(waiter))
            },
            Row("the caller disconnects before the start: nothing of the job starts") {
                val shard = shard(count = 1)
                shard.submit(job("a", tasks = 2, estimateMillis = 300))
                shard.runFor(10)
                shard.withdraw(shard.submit(job("b", estimateMillis = 900)))
                shard.runFor(600)
                assertTrue(shard.starts.none { it.first.jobId == JobId("b") })
            },
            Row("the caller disconnects while tasks run: they are stopped and free the target") {
                val shard = shard(count = 1)
                val waiter = shard.submit(job("a", tasks = 2, estimateMillis = 900))
                shard.runFor(50)
                shard.withdraw(waiter)
                shard.runFor(250)
                val next = shard.submit(job("b", tasks = 2, estimateMillis = 60))
                shard.runFor(100)
                assertEquals(JobOutcome.Completed, shard.outcome(next))
            },
            Row("a job is resubmitted while its stopped runs end: no task runs twice at a time") {
                val shard = shard(count = 2)
                val waiter = shard.submit(job("a", tasks = 2, estimateMillis = 500))
                shard.runFor(50)
                shard.withdraw(waiter)
                shard.runFor(160)
                val again = shard.submit(job("a", tasks = 2, estimateMillis = 500))
                shard.runFor(800)
                assertEquals(JobOutcome.Completed, shard.outcome(again))
            },
            Row("a job is resubmitted while it runs: the request joins it and starts nothing") {
                val shard = shard()
                shard.submit(job("a", tasks = 2, estimateMillis = 300))
                shard.runFor(100)
                val again = shard.submit(job("a", tasks = 2, estimateMillis = 300))
                shard.runFor(300)
                assertEquals(JobOutcome.Completed, shard.outcome(again))
                assertEquals(2, shard.starts.size)
            },
            Row("a job is resubmitted after its end: the request gets the same outcome and starts nothing") {
                val shard = shard()
                shard.submit(job("a"))
                shard.runFor(300)
                assertEquals(JobOutcome.Completed, shard.outcome(shard.submit(job("a"))))
                assertEquals(1, shard.starts.size)
            },
            Row("the holder is replaced: resubmitted jobs adopt their runs") {
                val shard = shard()
                shard.submit(job("a", tasks = 4, estimateMillis = 600))
                shard.runFor(100)
                shard.replaceHolder()
                shard.runFor(20)
                val again = shard.submit(job("a", tasks = 4, estimateMillis = 600))
                shard.runFor(700)
                assertEquals(JobOutcome.Completed, shard.outcome(again))
                assertEquals(4, shard.starts.size)
            },
            Row("the holder is replaced and one target answers late: tasks that run there do not start elsewhere") {
                val shard = shard()
                shard.submit(job("a", tasks = 6, estimateMillis = 600))
                shard.runFor(100)
                shard.targets[2].firstPollDelayMillis = 60
                shard.replaceHolder(handOver = true)
                shard.runFor(10)
                val again = shard.submit(job("a", tasks = 6, estimateMillis = 600), mayRun = true)
                shard.runFor(700)
                assertEquals(JobOutcome.Completed, shard.outcome(again))
                assertEquals(6, shard.starts.size)
            },
            Row(
                "the holder is lost and the list lacks a target that still runs: its tasks wait for lease expiry",
            ) {
                val shard = shard()
                shard.submit(job("a", tasks = 6, estimateMillis = 600))
                shard.runFor(100)
                shard.replaceHolder(listed = shard.targets.take(2))
                shard.runFor(10)
                val again = shard.submit(job("a", tasks = 6, estimateMillis = 600), mayRun = true)
                shard.runFor(1_900)
                assertEquals(JobOutcome.Completed, shard.outcome(again))
            },
            Row("the shard is handed over and the list lacks a target: its runs are adopted") {
                val shard = shard()
                shard.submit(job("a", tasks = 6, estimateMillis = 600))
                shard.runFor(100)
                shard.replaceHolder(listed = shard.targets.take(2), handOver = true)
                shard.runFor(10)
                val again = shard.submit(job("a", tasks = 6, estimateMillis = 600), mayRun = true)
                shard.runFor(800)
                assertEquals(JobOutcome.Completed, shard.outcome(again))
                assertEquals(6, shard.starts.size)
            },
            Row("the holder is replaced while a target is silent: the rest of a job waits until its lease expires") {
                val shard = shard()
                shard.submit(job("a", tasks = 6, estimateMillis = 600))
                shard.runFor(100)
                shard.targets[2].mode = Mode.SILENT
                shard.replaceHolder()
                val again = shard.submit(job("a", tasks = 6, estimateMillis = 600), mayRun = true)
                shard.runFor(1_900)
                assertEquals(JobOutcome.Completed, shard.outcome(again))
            },
            Row("a relay resumes after a pause: the shard that expired its request does not restart the job") {
                val shard = shard()
                val waiter = shard.submit(job("a", tasks = 2, estimateMillis = 900))
                shard.runFor(100)
                shard.expire(waiter)
                shard.runFor(200)
                assertIs<JobOutcome.GivenUp>(shard.outcome(waiter))
                assertIs<JobOutcome.GivenUp>(
                    shard.outcome(shard.submit(job("a", tasks = 2, estimateMillis = 900), mayRun = true)),
                )
                assertEquals(2, shard.starts.size)
            },
            Row("a relay resumes after a pause: a job that had not started is not started for it either") {
                val shard = shard(count = 1)
                shard.submit(job("a", tasks = 2, estimateMillis = 200))
                val waiting = shard.submit(job("b", estimateMillis = 900))
                shard.expire(waiting)
                shard.runFor(300)
                assertIs<JobOutcome.GivenUp>(shard.outcome(waiting))
                assertIs<JobOutcome.GivenUp>(shard.outcome(shard.submit(job("b", estimateMillis = 900), mayRun = true)))
                assertEquals(2, shard.starts.size)
            },
            Row("a job ends while its run is lost: the run is not reported as repeated") {
                val shard = shard(count = 1)
                val waiter = shard.submit(job("a", estimateMillis = 900))
                shard.runFor(50)
                shard.withdraw(waiter)
                shard.runFor(300)
                assertEquals(emptyList(), shard.decisions.filterIsInstance<ShardDecision.RunLost>())
            },
            Row("the holder is replaced and a job is not resubmitted: its runs are stopped") {
                val shard = shard(count = 1)
                shard.submit(job("a", tasks = 2, estimateMillis = 1_900))
                shard.runFor(100)
                shard.replaceHolder()
                shard.runFor(900)
                val next = shard.submit(job("b", tasks = 2))
                shard.runFor(200)
                assertEquals(JobOutcome.Completed, shard.outcome(next))
            },
            Row("a new holder has no answer from its targets yet: jobs wait instead of being rejected") {
                val shard = FakeShard(List(2) { FakeShardTarget("t$it") })
                val waiter = shard.submit(job("a"))
                shard.runFor(200)
                assertEquals(JobOutcome.Completed, shard.outcome(waiter))
            },
            Row("a draining target gets no starts and its runs continue") {
                val shard = shard(count = 2)
                val waiter = shard.submit(job("a", tasks = 4, estimateMillis = 300))
                shard.runFor(20)
                shard.list(shard.targets.map { it.registration.copy(draining = it.registration.id.value == "t0") })
                shard.starts.clear()
                val next = shard.submit(job("b", tasks = 2, estimateMillis = 900))
                shard.runFor(1_400)
                assertEquals(JobOutcome.Completed, shard.outcome(waiter))
                assertEquals(JobOutcome.Completed, shard.outcome(next))
                assertTrue(shard.starts.none { it.second == "t0" })
            },
            Row("a step with a limit per target is spread over the targets") {
                val shard = shard(count = 3)
                shard.submit(job("a", tasks = 3, cpuMillis = 1_000, maxPerTarget = 1))
                assertEquals(setOf("t0", "t1", "t2"), shard.starts.map { it.second }.toSet())
            },
            Row("the deadline passes while tasks run: the outcome is not NotRun") {
                val shard = shard(count = 1)
                val key = TaskKey(JobId("a"), 0, 0, 0)
                shard.actualMillis[key] = 3_000
                val waiter = shard.submit(job("a", estimateMillis = 900), remainingMillis = 1_000)
                shard.runFor(1_100)
                assertIs<JobOutcome.GivenUp>(shard.outcome(waiter))
            },
        )

    @TestFactory
    fun `a shard under a load pattern`() = rows.map { DynamicTest.dynamicTest(it.pattern, it.test) }
}
