package io.jackdawring.testing.shard

import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.testing.shard.FakeShardTarget.Mode
import io.jackdawring.testing.shard.FakeShardWorld.Companion.job
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Each row is a load or fault pattern of kept jobs at one shard and guards against the failure that its name denies. */
class KeptJobPatternTest {
    private class Row(
        val pattern: String,
        val test: () -> Unit,
    )

    private fun world(
        count: Int = 2,
        speed: (Int) -> Double = { 1.0 },
    ) = FakeShardWorld(List(count) { FakeShardTarget("t$it", speed = speed(it)) }).also { it.runFor(50) }

    /** Hands jobs of [tasks] tasks in every [intervalMillis] for 10 s, and returns the share that ends in time. */
    private fun shareInTime(
        world: FakeShardWorld,
        tasks: Int,
        intervalMillis: Int,
    ): Double {
        val jobs = List(10_000 / intervalMillis) { job("k$it", tasks, estimateMillis = 200) }
        val endedAfter = HashMap<JobId, Long>()
        repeat(40_000) { millis ->
            if (millis % intervalMillis == 0) jobs.getOrNull(millis / intervalMillis)?.let(world::submitDurable)
            world.runFor(1)
            jobs
                .take(millis / intervalMillis + 1)
                .filter { it.id !in endedAfter && world.durableJobState(it) == JobState.COMPLETED }
                .forEach {
                    endedAfter[it.id] = millis - it.id.value
                        .drop(1)
                        .toLong() * intervalMillis
                }
        }
        assertEquals(jobs.size, endedAfter.size, "jobs that have ended")
        return jobs.count { endedAfter.getValue(it.id) <= it.objectiveMillis } / jobs.size.toDouble()
    }

    private val rows =
        listOf(
            Row("twice the load that fits: jobs that are late leave the targets to those that can be in time") {
                // Half of the jobs fit; a fifth of these may be lost to forecasts and to jobs begun too late.
                val share = shareInTime(world(count = 2), tasks = 4, intervalMillis = 100)
                assertTrue(share >= 0.4, "$share of the jobs ended in time")
            },
            Row("three times the load that fits: jobs that are late leave the targets to those that can be in time") {
                val share = shareInTime(world(count = 2), tasks = 2, intervalMillis = 33)
                assertTrue(share >= 0.8 / 3, "$share of the jobs ended in time")
            },
            Row("a backlog is reported in the time that the targets need for it") {
                val world = world(count = 1)
                assertEquals(0, world.backlogMillis())
                repeat(20) { world.submitDurable(job("k$it", tasks = 2, estimateMillis = 400, cpuMillis = 16_000)) }
                // 38 of 40 tasks wait, two at a time fit.
                assertEquals(19 * 400, world.backlogMillis()?.toInt())
                world.runFor(20_000)
                assertEquals(0, world.backlogMillis())
            },
            Row("without a target that answers, there is no estimate of the backlog") {
                val world = world(count = 1)
                world.targets.single().mode = Mode.SILENT
                world.runFor(2_000)
                assertNull(world.backlogMillis())
            },
            Row("targets full of long tasks: an urgent job is in time") {
                val world = world(count = 2)
                val long = job("long", tasks = 4, estimateMillis = 5_000, priority = 2)
                world.submitDurable(long)
                world.runFor(1_000)
                val urgent = job("urgent", tasks = 3, estimateMillis = 60)
                world.submitDurable(urgent)
                world.runFor(urgent.objectiveMillis)
                assertEquals(JobState.COMPLETED, world.durableJobState(urgent))
                world.runFor(12_000)
                assertEquals(JobState.COMPLETED, world.durableJobState(long))
            },
            Row("targets full of long tasks: an urgent job that a caller waits for is taken and in time") {
                val world = world(count = 1)
                world.submitDurable(job("long", tasks = 2, estimateMillis = 5_000, priority = 2))
                world.runFor(1_000)
                val urgent = job("urgent", tasks = 2, estimateMillis = 60)
                val waiter = world.submit(urgent)
                world.runFor(urgent.objectiveMillis)
                assertEquals(JobOutcome.Completed, world.answers[waiter]?.outcome)
            },
            Row("a place becomes free in time: nothing is stopped") {
                val world = world(count = 1)
                world.submitDurable(job("long", tasks = 2, estimateMillis = 200, priority = 2))
                world.runFor(20)
                world.submitDurable(job("urgent", tasks = 1, estimateMillis = 600))
                world.runFor(3_000)
                assertEquals(3, world.starts.size)
            },
            Row("equally urgent jobs do not stop each other") {
                val world = world(count = 1)
                world.submitDurable(job("first", tasks = 2, estimateMillis = 1_000))
                world.runFor(20)
                world.submitDurable(job("second", tasks = 2, estimateMillis = 60))
                world.runFor(3_000)
                assertEquals(4, world.starts.size)
            },
            Row("a backlog of short tasks: little work is thrown away for urgent ones") {
                val world = world(count = 4)
                val jobs = List(200) { job("k$it", tasks = 2, estimateMillis = 200, priority = it % 3) }
                for (job in jobs) {
                    world.submitDurable(job)
                    world.runFor(25)
                }
                world.runFor(20_000)
                assertEquals(jobs.size, jobs.count { world.durableJobState(it) == JobState.COMPLETED })
                // A tenth of the starts.
                assertTrue(world.starts.size <= 440, "${world.starts.size} starts of 400 tasks")
            },
            Row("the run that loses least is stopped: one with checkpoints") {
                val world = world(count = 1)
                val saved = job("saved", estimateMillis = 3_000, priority = 2, checkpointing = true)
                world.submitDurable(saved)
                world.runFor(500)
                world.submitDurable(job("plain", estimateMillis = 3_000, priority = 2))
                world.runFor(100)
                world.submitDurable(job("urgent", estimateMillis = 60))
                world.runFor(10_000)
                assertEquals(listOf("saved", "plain", "urgent", "saved"), world.starts.map { it.first.jobId.value })
            },
            Row("a slow target and idle ones: the copy of a task ends first and counts") {
                val world = world(count = 2, speed = { if (it == 0) 0.1 else 1.0 })
                val job = job("k", tasks = 3, estimateMillis = 400, speculative = true)
                world.submitDurable(job)
                // One round of 400 ms, the delay until a run is slow, and the copies in another round.
                world.runFor(400 + 650 + 400)
                assertEquals(JobState.COMPLETED, world.durableJobState(job))
                world.runFor(200)
                assertEquals(0, world.runningTasks)
            },
            Row("a slow target without copies being allowed: tasks run once") {
                val world = world(count = 2, speed = { if (it == 0) 0.5 else 1.0 })
                world.submitDurable(job("k", tasks = 3, estimateMillis = 400))
                world.runFor(2_000)
                assertEquals(3, world.starts.size)
            },
            Row("the target of one copy is lost: the other copy goes on and no third one starts") {
                val world = world(count = 2, speed = { if (it == 0) 0.4 else 1.0 })
                val job = job("k", tasks = 1, estimateMillis = 400, speculative = true)
                world.works[TaskKey(job.id, 0, 0, 0)] = 900
                world.submitDurable(job)
                world.runFor(800)
                assertEquals(2, world.starts.size)
                world.targets.first { it.facts.id.value == world.starts.first().second }.mode = Mode.SILENT
                world.runFor(2_000)
                assertEquals(JobState.COMPLETED, world.durableJobState(job))
                assertEquals(2, world.starts.size)
            },
            Row("a lasting task starts again however it ends, and stops when its job is cancelled") {
                val world = world(count = 2)
                val job = job("k", tasks = 2, estimateMillis = 300, longRunning = true)
                repeat(2) { world.works[TaskKey(job.id, 0, 0, it)] = 3_000 }
                world.submitDurable(job)
                world.runFor(1_000)
                world.targets.forEach(world::restart)
                world.runFor(1_000)
                assertEquals(2, world.runningTasks)
                // The runs end as done in between.
                world.runFor(3_000)
                assertEquals(2, world.runningTasks)
                assertTrue(world.starts.size >= 6, "${world.starts.size} starts")
                assertEquals(JobState.RUNNING, world.durableJobState(job))
                world.cancel(job)
                world.runFor(100)
                assertEquals(0, world.runningTasks)
                assertEquals(JobState.CANCELLED, world.durableJobState(job))
            },
            Row("a lasting task that always fails is tried at intervals and leaves the targets in use") {
                val world = world(count = 1)
                world.targets.single().mode = Mode.FAILS
                world.submitDurable(job("k", longRunning = true))
                world.runFor(20_000)
                // 50 ms, doubled up to 2 s.
                assertTrue(world.starts.size in 10..20, "${world.starts.size} starts")
                world.targets.single().mode = Mode.HEALTHY
                val short = job("short")
                world.submitDurable(short)
                world.runFor(short.objectiveMillis)
                assertEquals(JobState.COMPLETED, world.durableJobState(short))
            },
            Row("targets full of short tasks: a lasting task gets the next place") {
                val world = world(count = 1)
                repeat(20) { world.submitDurable(job("k$it", tasks = 2, estimateMillis = 300)) }
                world.runFor(10)
                world.submitDurable(job("lasting", longRunning = true))
                world.runFor(400)
                assertEquals(1, world.starts.count { it.first.jobId.value == "lasting" })
            },
            Row("a lasting task is neither taken for hanging, nor preempted, nor done for a later holder") {
                val world = world(count = 1)
                val job = job("k", estimateMillis = 20, priority = 2, longRunning = true)
                world.works[TaskKey(job.id, 0, 0, 0)] = 3_000
                world.submitDurable(job)
                world.submitDurable(job("long", estimateMillis = 5_000, priority = 2))
                world.runFor(500)
                world.submitDurable(job("urgent", estimateMillis = 60))
                world.runFor(2_400)
                assertEquals(1, world.starts.count { it.first.jobId == job.id })
                world.replaceHolder()
                world.runFor(3_000)
                assertEquals(2, world.starts.count { it.first.jobId == job.id })
                assertEquals(JobState.RUNNING, world.durableJobState(job))
            },
            Row("a task that is stopped for taking too long goes on elsewhere from its checkpoint") {
                val world = world(count = 2)
                val job = job("k", estimateMillis = 50, checkpointing = true)
                world.works[TaskKey(job.id, 0, 0, 0)] = 800
                world.submitDurable(job)
                // The first run is stopped after 300 ms; without its progress, the second one would be too.
                world.runFor(900)
                assertEquals(JobState.COMPLETED, world.durableJobState(job))
                assertEquals(2, world.starts.size)
            },
            Row("what a lost target had saved is used by a later holder") {
                val world = world(count = 1)
                val job = job("k", estimateMillis = 1_000, checkpointing = true)
                world.submitDurable(job)
                world.runFor(900)
                world.targets.single().mode = Mode.SILENT
                // The run is given up after the lease of 1 s.
                world.runFor(1_200)
                world.targets.single().mode = Mode.HEALTHY
                world.restart(world.targets.single())
                world.replaceHolder()
                // A new holder waits for the longest lease of 1 s; 400 ms of the task are saved for certain.
                world.runFor(50 + 1_000 + 600 + 100)
                assertEquals(JobState.COMPLETED, world.durableJobState(job))
            },
            Row("a slow store delays the state that is shown, not the tasks") {
                val world = world()
                world.saveMillis = 1_000
                val job = job("k", tasks = 4, estimateMillis = 100)
                world.submitDurable(job)
                world.runFor(300)
                assertEquals(4, world.starts.size)
                assertEquals(JobState.RUNNING, world.durableJobState(job))
                world.runFor(1_000)
                assertEquals(JobState.COMPLETED, world.durableJobState(job))
            },
            Row("a job whose tasks always fail ends after the allowed attempts") {
                val world = world()
                world.targets.forEach { it.mode = Mode.FAILS }
                val job = job("k", maxAttempts = 3)
                world.submitDurable(job)
                world.runFor(10_000)
                assertEquals(JobState.FAILED, world.durableJobState(job))
                assertEquals(3, world.starts.size)
            },
            Row("a task that is much longer than declared ends at last") {
                val world = world()
                val job = job("k", estimateMillis = 20)
                world.works[TaskKey(job.id, 0, 0, 0)] = 2_000
                world.submitDurable(job)
                world.runFor(20_000)
                assertEquals(JobState.COMPLETED, world.durableJobState(job))
            },
            Row("a holder replaced again and again keeps what is done") {
                val world = world()
                val job = job("k", tasks = 8, estimateMillis = 200)
                world.submitDurable(job)
                repeat(5) {
                    world.runFor(250)
                    world.replaceHolder(handOver = true)
                }
                world.runFor(3_000)
                assertEquals(JobState.COMPLETED, world.durableJobState(job))
                assertTrue(world.starts.size <= 8 + 8, "${world.starts.size} starts for 8 tasks")
            },
        )

    @TestFactory
    fun `patterns of kept jobs`() = rows.map { row -> DynamicTest.dynamicTest(row.pattern) { row.test() } }
}
