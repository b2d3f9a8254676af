package io.jackdawring.testing.shard

import io.jackdawring.core.shard.Admission
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.core.shard.WaiterId
import io.jackdawring.testing.shard.FakeShardTarget.Mode
import io.jackdawring.testing.shard.FakeShardWorld.Companion.job
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Each row is a load or fault pattern at one shard and guards against the failure that its name denies. */
class ShardLoadPatternTest {
    private class Row(
        val pattern: String,
        val test: () -> Unit,
    )

    private fun world(
        count: Int = 3,
        speed: (Int) -> Double = { 1.0 },
    ) = FakeShardWorld(List(count) { FakeShardTarget("t$it", speed = speed(it)) }).also { it.runFor(50) }

    private fun FakeShardWorld.outcome(waiter: WaiterId) = answers[waiter]?.outcome

    private val rows =
        listOf(
            Row("idle targets: a job starts at once and is complete in its work") {
                val world = world()
                val waiter = world.submit(job("a", tasks = 6))
                world.runFor(130)
                assertEquals(JobOutcome.Completed, world.outcome(waiter))
            },
            Row("full targets: a job that cannot be in time is refused at once") {
                val world = world(count = 1)
                world.submit(job("a", tasks = 2, estimateMillis = 900))
                world.runFor(20)
                val waiter = world.submit(job("b", estimateMillis = 60))
                assertIs<JobOutcome.NotRun>(world.outcome(waiter))
            },
            Row("full targets: a job with time to wait is queued and served") {
                val world = world(count = 1)
                world.submit(job("a", tasks = 2, estimateMillis = 200))
                world.runFor(20)
                val waiter = world.submit(job("b", estimateMillis = 900))
                world.runFor(1_300)
                assertEquals(JobOutcome.Completed, world.outcome(waiter))
            },
            Row("wide job on a nearly full shard: taken only where asked for by room") {
                val world = world(count = 1)
                world.submit(job("a", tasks = 1, estimateMillis = 500))
                world.runFor(20)
                val strict = world.submit(job("b", tasks = 8, estimateMillis = 60), admission = Admission.ON_TIME)
                val lax = world.submit(job("c", tasks = 8, estimateMillis = 60), admission = Admission.ON_TIME_OR_ROOM)
                assertTrue((world.outcome(strict) as JobOutcome.NotRun).hasRoom)
                world.runFor(800)
                assertEquals(JobOutcome.Completed, world.outcome(lax))
            },
            Row("short objective behind long ones: the more urgent job goes first") {
                val world = world(count = 1)
                world.submit(job("a", tasks = 2, estimateMillis = 50))
                world.runFor(10)
                val long = world.submit(job("b", tasks = 2, estimateMillis = 900))
                val short = world.submit(job("c", tasks = 2, estimateMillis = 60))
                world.runFor(1_500)
                assertTrue(world.answers.getValue(short).atMillis < world.answers.getValue(long).atMillis)
            },
            Row("unequal targets: learned speeds keep long tasks off the slow target") {
                val world = world(count = 2, speed = { if (it == 0) 0.3 else 1.0 })
                repeat(20) {
                    world.submit(job("w$it", tasks = 4, estimateMillis = 40))
                    world.runFor(400)
                }
                world.starts.clear()
                world.submit(job("long", estimateMillis = 900))
                assertEquals(listOf("t1"), world.starts.map { it.second })
            },
            Row("a target that fails everything is left alone") {
                val world = world()
                world.targets[0].mode = Mode.FAILS
                val waiters =
                    List(30) {
                        world.runFor(60)
                        world.submit(job("a$it", estimateMillis = 50))
                    }
                world.runFor(500)
                assertTrue(waiters.all { world.outcome(it) == JobOutcome.Completed })
                assertTrue(
                    world.starts.count { it.second == "t0" } <= 6,
                    "t0 got ${world.starts.count { it.second == "t0" }} starts",
                )
            },
            Row("a target that hangs: its runs are repeated elsewhere, never beside the old run") {
                val world = world(count = 2)
                world.targets[0].mode = Mode.HANGS
                val waiter = world.submit(job("a", tasks = 4, estimateMillis = 60))
                world.runFor(1_000)
                assertEquals(JobOutcome.Completed, world.outcome(waiter))
            },
            Row("a job of nothing but failures ends as failed after its attempts") {
                val world = world()
                world.targets.forEach { it.mode = Mode.FAILS }
                val waiter = world.submit(job("a", maxAttempts = 2))
                world.runFor(3_000)
                assertIs<JobOutcome.Failed>(world.outcome(waiter))
                assertEquals(2, world.starts.size)
            },
            Row("answers of starts are lost: the run that is there is kept") {
                val world = world(count = 1)
                world.targets[0].mode = Mode.ANSWERS_LOST
                val waiter = world.submit(job("a", estimateMillis = 600))
                world.runFor(900)
                assertEquals(JobOutcome.Completed, world.outcome(waiter))
                assertEquals(1, world.starts.size)
            },
            Row("a target falls silent: its tasks start elsewhere when its lease is over, not before") {
                val world = world(count = 2)
                val waiter = world.submit(job("a", tasks = 4, estimateMillis = 300))
                world.runFor(20)
                world.targets[0].mode = Mode.SILENT
                world.runFor(1_980)
                assertEquals(JobOutcome.Completed, world.outcome(waiter))
            },
            Row("a target starts anew: its tasks are repeated") {
                val world = world(count = 2)
                val waiter = world.submit(job("a", tasks = 4, estimateMillis = 300))
                world.runFor(20)
                world.targets[0].restart()
                world.runFor(900)
                assertEquals(JobOutcome.Completed, world.outcome(waiter))
            },
            Row("the caller leaves before the start: nothing of the job starts") {
                val world = world(count = 1)
                world.submit(job("a", tasks = 2, estimateMillis = 300))
                world.runFor(10)
                world.withdraw(world.submit(job("b", estimateMillis = 900)))
                world.runFor(600)
                assertTrue(world.starts.none { it.first.jobId == JobId("b") })
            },
            Row("the caller leaves while tasks run: they are stopped and free the target") {
                val world = world(count = 1)
                val waiter = world.submit(job("a", tasks = 2, estimateMillis = 900))
                world.runFor(50)
                world.withdraw(waiter)
                world.runFor(250)
                val next = world.submit(job("b", tasks = 2, estimateMillis = 60))
                world.runFor(100)
                assertEquals(JobOutcome.Completed, world.outcome(next))
            },
            Row("a job arrives again while its stopped runs end: no task runs twice at a time") {
                val world = world(count = 2)
                val waiter = world.submit(job("a", tasks = 2, estimateMillis = 500))
                world.runFor(50)
                world.withdraw(waiter)
                world.runFor(160)
                val again = world.submit(job("a", tasks = 2, estimateMillis = 500))
                world.runFor(800)
                assertEquals(JobOutcome.Completed, world.outcome(again))
            },
            Row("a job arrives again while it runs: it joins and starts nothing") {
                val world = world()
                world.submit(job("a", tasks = 2, estimateMillis = 300))
                world.runFor(100)
                val again = world.submit(job("a", tasks = 2, estimateMillis = 300))
                world.runFor(300)
                assertEquals(JobOutcome.Completed, world.outcome(again))
                assertEquals(2, world.starts.size)
            },
            Row("a job arrives again after its end: it gets the same outcome and starts nothing") {
                val world = world()
                world.submit(job("a"))
                world.runFor(300)
                assertEquals(JobOutcome.Completed, world.outcome(world.submit(job("a"))))
                assertEquals(1, world.starts.size)
            },
            Row("the holder is replaced: jobs that arrive again adopt their runs") {
                val world = world()
                world.submit(job("a", tasks = 4, estimateMillis = 600))
                world.runFor(100)
                world.replaceHolder()
                world.runFor(20)
                val again = world.submit(job("a", tasks = 4, estimateMillis = 600))
                world.runFor(700)
                assertEquals(JobOutcome.Completed, world.outcome(again))
                assertEquals(4, world.starts.size)
            },
            Row("the holder is replaced and one target answers late: tasks that run there do not start elsewhere") {
                val world = world()
                world.submit(job("a", tasks = 6, estimateMillis = 600))
                world.runFor(100)
                world.targets[2].firstLookDelayMillis = 60
                world.replaceHolder(handOver = true)
                world.runFor(10)
                val again = world.submit(job("a", tasks = 6, estimateMillis = 600), mayRun = true)
                world.runFor(700)
                assertEquals(JobOutcome.Completed, world.outcome(again))
                assertEquals(6, world.starts.size)
            },
            Row(
                "the holder is lost and the list lacks a target that still runs: its tasks wait for the end of its lease",
            ) {
                val world = world()
                world.submit(job("a", tasks = 6, estimateMillis = 600))
                world.runFor(100)
                world.replaceHolder(listed = world.targets.take(2))
                world.runFor(10)
                val again = world.submit(job("a", tasks = 6, estimateMillis = 600), mayRun = true)
                world.runFor(1_900)
                assertEquals(JobOutcome.Completed, world.outcome(again))
            },
            Row("the shard is handed over and the list lacks a target: its runs are adopted") {
                val world = world()
                world.submit(job("a", tasks = 6, estimateMillis = 600))
                world.runFor(100)
                world.replaceHolder(listed = world.targets.take(2), handOver = true)
                world.runFor(10)
                val again = world.submit(job("a", tasks = 6, estimateMillis = 600), mayRun = true)
                world.runFor(800)
                assertEquals(JobOutcome.Completed, world.outcome(again))
                assertEquals(6, world.starts.size)
            },
            Row("the holder is replaced while a target is silent: the rest of a job waits for the end of its lease") {
                val world = world()
                world.submit(job("a", tasks = 6, estimateMillis = 600))
                world.runFor(100)
                world.targets[2].mode = Mode.SILENT
                world.replaceHolder()
                val again = world.submit(job("a", tasks = 6, estimateMillis = 600), mayRun = true)
                world.runFor(1_900)
                assertEquals(JobOutcome.Completed, world.outcome(again))
            },
            Row("a relay wakes from a pause: its job is not started again where it was dropped") {
                val world = world()
                val waiter = world.submit(job("a", tasks = 2, estimateMillis = 900))
                world.runFor(100)
                world.expire(waiter)
                world.runFor(200)
                assertIs<JobOutcome.GivenUp>(world.outcome(waiter))
                assertIs<JobOutcome.GivenUp>(
                    world.outcome(world.submit(job("a", tasks = 2, estimateMillis = 900), mayRun = true)),
                )
                assertEquals(2, world.starts.size)
            },
            Row("the holder is replaced and a job does not come again: its runs are stopped") {
                val world = world(count = 1)
                world.submit(job("a", tasks = 2, estimateMillis = 1_900))
                world.runFor(100)
                world.replaceHolder()
                world.runFor(900)
                val next = world.submit(job("b", tasks = 2))
                world.runFor(200)
                assertEquals(JobOutcome.Completed, world.outcome(next))
            },
            Row("a new holder has not seen its targets: jobs wait for them instead of being refused") {
                val world = FakeShardWorld(List(2) { FakeShardTarget("t$it") })
                val waiter = world.submit(job("a"))
                world.runFor(200)
                assertEquals(JobOutcome.Completed, world.outcome(waiter))
            },
            Row("a draining target gets no starts and its runs go on") {
                val world = world(count = 2)
                val waiter = world.submit(job("a", tasks = 4, estimateMillis = 300))
                world.runFor(20)
                world.list(world.targets.map { it.facts.copy(draining = it.facts.id.value == "t0") })
                world.starts.clear()
                val next = world.submit(job("b", tasks = 2, estimateMillis = 900))
                world.runFor(1_400)
                assertEquals(JobOutcome.Completed, world.outcome(waiter))
                assertEquals(JobOutcome.Completed, world.outcome(next))
                assertTrue(world.starts.none { it.second == "t0" })
            },
            Row("a step with a limit a target is spread over the targets") {
                val world = world(count = 3)
                world.submit(job("a", tasks = 3, cpuMillis = 1_000, maxPerTarget = 1))
                assertEquals(setOf("t0", "t1", "t2"), world.starts.map { it.second }.toSet())
            },
            Row("the deadline passes while tasks run: the answer does not say that nothing ran") {
                val world = world(count = 1)
                val key = TaskKey(JobId("a"), 0, 0, 0)
                world.works[key] = 3_000
                val waiter = world.submit(job("a", estimateMillis = 900), remainingMillis = 1_000)
                world.runFor(1_100)
                assertIs<JobOutcome.GivenUp>(world.outcome(waiter))
            },
        )

    @TestFactory
    fun `a shard under a load pattern`() = rows.map { DynamicTest.dynamicTest(it.pattern, it.test) }
}
