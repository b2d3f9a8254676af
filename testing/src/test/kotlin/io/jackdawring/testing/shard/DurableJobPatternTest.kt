package io.jackdawring.testing.shard

import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.testing.shard.FakeShard.Companion.job
import io.jackdawring.testing.shard.FakeShardTarget.Mode
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Load and fault patterns of durable jobs at one shard; each row is named after the behaviour that it verifies. */
class DurableJobPatternTest {
    private class Row(
        val pattern: String,
        val test: () -> Unit,
    )

    private fun shard(
        count: Int = 2,
        speed: (Int) -> Double = { 1.0 },
    ) = FakeShard(List(count) { FakeShardTarget("t$it", speed = speed(it)) }).also { it.runFor(50) }

    /** Submits a job of [tasks] tasks every [intervalMillis] for 10 s; returns the share that meets its objective. */
    private fun shareOnTime(
        shard: FakeShard,
        tasks: Int,
        intervalMillis: Int,
    ): Double {
        val jobs = List(10_000 / intervalMillis) { job("k$it", tasks, estimateMillis = 200) }
        val endedAfter = HashMap<JobId, Long>()
        repeat(40_000) { millis ->
            if (millis % intervalMillis == 0) jobs.getOrNull(millis / intervalMillis)?.let(shard::submitDurable)
            shard.runFor(1)
            jobs
                .take(millis / intervalMillis + 1)
                .filter { it.id !in endedAfter && shard.durableJobState(it) == JobState.COMPLETED }
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
            Row("twice the load that fits: late jobs yield to jobs that can meet their objective") {
                // Half of the jobs fit; a fifth of these may be lost to forecast errors and late starts.
                val share = shareOnTime(shard(count = 2), tasks = 4, intervalMillis = 100)
                assertTrue(share >= 0.4, "$share of the jobs met their objective")
            },
            Row("three times the load that fits: late jobs yield to jobs that can meet their objective") {
                val share = shareOnTime(shard(count = 2), tasks = 2, intervalMillis = 33)
                assertTrue(share >= 0.8 / 3, "$share of the jobs met their objective")
            },
            Row("a backlog is reported as the time that the targets need for it") {
                val shard = shard(count = 1)
                val jobs = List(20) { job("k$it", tasks = 2, estimateMillis = 400, cpuMillis = 16_000) }
                assertEquals(0, shard.delayMillis(jobs.first()))
                jobs.forEach(shard::submitDurable)
                // 38 of 40 tasks wait, two at a time fit.
                assertEquals(19 * 400, shard.delayMillis(jobs.first())?.toInt())
                shard.runFor(20_000)
                assertEquals(0, shard.delayMillis(jobs.first()))
            },
            Row("without a target that answers, there is no estimate of the backlog") {
                val shard = shard(count = 1)
                shard.targets.single().mode = Mode.SILENT
                shard.runFor(2_000)
                assertNull(shard.delayMillis(job("k")))
            },
            Row("targets full of long tasks: an urgent job meets its objective") {
                val shard = shard(count = 2)
                val long = job("long", tasks = 4, estimateMillis = 5_000, priority = 2)
                shard.submitDurable(long)
                shard.runFor(1_000)
                val urgent = job("urgent", tasks = 3, estimateMillis = 60)
                shard.submitDurable(urgent)
                shard.runFor(urgent.objectiveMillis)
                assertEquals(JobState.COMPLETED, shard.durableJobState(urgent))
                shard.runFor(12_000)
                assertEquals(JobState.COMPLETED, shard.durableJobState(long))
            },
            Row("targets full of long tasks: an urgent awaited job is admitted and meets its objective") {
                val shard = shard(count = 1)
                shard.submitDurable(job("long", tasks = 2, estimateMillis = 5_000, priority = 2))
                shard.runFor(1_000)
                val urgent = job("urgent", tasks = 2, estimateMillis = 60)
                val waiter = shard.submit(urgent)
                shard.runFor(urgent.objectiveMillis)
                assertEquals(JobOutcome.Completed, shard.answers[waiter]?.outcome)
            },
            Row("a slot becomes free in time: nothing is preempted") {
                val shard = shard(count = 1)
                shard.submitDurable(job("long", tasks = 2, estimateMillis = 200, priority = 2))
                shard.runFor(20)
                shard.submitDurable(job("urgent", tasks = 1, estimateMillis = 600))
                shard.runFor(3_000)
                assertEquals(3, shard.starts.size)
            },
            Row("equally urgent jobs do not preempt each other") {
                val shard = shard(count = 1)
                shard.submitDurable(job("first", tasks = 2, estimateMillis = 1_000))
                shard.runFor(20)
                shard.submitDurable(job("second", tasks = 2, estimateMillis = 60))
                shard.runFor(3_000)
                assertEquals(4, shard.starts.size)
            },
            Row("a backlog of short tasks: little work is lost to preemption") {
                val shard = shard(count = 4)
                val jobs = List(200) { job("k$it", tasks = 2, estimateMillis = 200, priority = it % 3) }
                for (job in jobs) {
                    shard.submitDurable(job)
                    shard.runFor(25)
                }
                shard.runFor(20_000)
                assertEquals(jobs.size, jobs.count { shard.durableJobState(it) == JobState.COMPLETED })
                // At most a tenth more starts than tasks.
                assertTrue(shard.starts.size <= 440, "${shard.starts.size} starts of 400 tasks")
            },
            Row("the run that loses the least work is preempted: one with checkpoints") {
                val shard = shard(count = 1)
                val saved = job("saved", estimateMillis = 3_000, priority = 2, checkpointing = true)
                shard.submitDurable(saved)
                shard.runFor(500)
                shard.submitDurable(job("plain", estimateMillis = 3_000, priority = 2))
                shard.runFor(100)
                shard.submitDurable(job("urgent", estimateMillis = 60))
                shard.runFor(10_000)
                assertEquals(listOf("saved", "plain", "urgent", "saved"), shard.starts.map { it.first.jobId.value })
            },
            Row("a slow target and idle ones: the speculative copy of a task ends first and counts") {
                val shard = shard(count = 2, speed = { if (it == 0) 0.1 else 1.0 })
                val job = job("k", tasks = 3, estimateMillis = 400, speculative = true)
                shard.submitDurable(job)
                // One round of 400 ms, the delay until a run counts as slow, and the copies in another round.
                shard.runFor(400 + 650 + 400)
                assertEquals(JobState.COMPLETED, shard.durableJobState(job))
                shard.runFor(200)
                assertEquals(0, shard.runningTasks)
            },
            Row("a slow target without speculative copies: tasks run once") {
                val shard = shard(count = 2, speed = { if (it == 0) 0.5 else 1.0 })
                shard.submitDurable(job("k", tasks = 3, estimateMillis = 400))
                shard.runFor(2_000)
                assertEquals(3, shard.starts.size)
            },
            Row("the target of one copy is lost: the other copy continues and no third one starts") {
                val shard = shard(count = 2, speed = { if (it == 0) 0.4 else 1.0 })
                val job = job("k", tasks = 1, estimateMillis = 400, speculative = true)
                shard.actualMillis[TaskKey(job.id, 0, 0, 0)] = 900
                shard.submitDurable(job)
                shard.runFor(800)
                assertEquals(2, shard.starts.size)
                shard.targets.first { it.registration.id.value == shard.starts.first().second }.mode = Mode.SILENT
                shard.runFor(2_000)
                assertEquals(JobState.COMPLETED, shard.durableJobState(job))
                assertEquals(2, shard.starts.size)
            },
            Row("a long-running task is restarted however it ends, and stops when its job is cancelled") {
                val shard = shard(count = 2)
                val job = job("k", tasks = 2, estimateMillis = 300, longRunning = true)
                repeat(2) { shard.actualMillis[TaskKey(job.id, 0, 0, it)] = 3_000 }
                shard.submitDurable(job)
                shard.runFor(1_000)
                shard.targets.forEach(shard::restart)
                shard.runFor(1_000)
                assertEquals(2, shard.runningTasks)
                // The runs end as done in between.
                shard.runFor(3_000)
                assertEquals(2, shard.runningTasks)
                assertTrue(shard.starts.size >= 6, "${shard.starts.size} starts")
                assertEquals(JobState.RUNNING, shard.durableJobState(job))
                shard.cancel(job)
                shard.runFor(100)
                assertEquals(0, shard.runningTasks)
                assertEquals(JobState.CANCELLED, shard.durableJobState(job))
            },
            Row("a long-running task that always fails is retried with backoff and its target stays usable") {
                val shard = shard(count = 1)
                shard.targets.single().mode = Mode.FAILS
                shard.submitDurable(job("k", longRunning = true))
                shard.runFor(20_000)
                // 50 ms, doubled up to 2 s.
                assertTrue(shard.starts.size in 10..20, "${shard.starts.size} starts")
                shard.targets.single().mode = Mode.HEALTHY
                val short = job("short")
                shard.submitDurable(short)
                shard.runFor(short.objectiveMillis)
                assertEquals(JobState.COMPLETED, shard.durableJobState(short))
            },
            Row("targets full of short tasks: a long-running task gets the next slot") {
                val shard = shard(count = 1)
                repeat(20) { shard.submitDurable(job("k$it", tasks = 2, estimateMillis = 300)) }
                shard.runFor(10)
                shard.submitDurable(job("lasting", longRunning = true))
                shard.runFor(400)
                assertEquals(1, shard.starts.count { it.first.jobId.value == "lasting" })
            },
            Row("a long-running task is not stopped as hung, not preempted, and not done for a new holder") {
                val shard = shard(count = 1)
                val job = job("k", estimateMillis = 20, priority = 2, longRunning = true)
                shard.actualMillis[TaskKey(job.id, 0, 0, 0)] = 3_000
                shard.submitDurable(job)
                shard.submitDurable(job("long", estimateMillis = 5_000, priority = 2))
                shard.runFor(500)
                shard.submitDurable(job("urgent", estimateMillis = 60))
                shard.runFor(2_400)
                assertEquals(1, shard.starts.count { it.first.jobId == job.id })
                shard.replaceHolder()
                shard.runFor(3_000)
                assertEquals(2, shard.starts.count { it.first.jobId == job.id })
                assertEquals(JobState.RUNNING, shard.durableJobState(job))
            },
            Row("a task that is stopped for taking too long resumes elsewhere from its checkpoint") {
                val shard = shard(count = 2)
                val job = job("k", estimateMillis = 50, checkpointing = true)
                shard.actualMillis[TaskKey(job.id, 0, 0, 0)] = 800
                shard.submitDurable(job)
                // The first run is stopped after 300 ms; without its progress, the second one would be too.
                shard.runFor(900)
                assertEquals(JobState.COMPLETED, shard.durableJobState(job))
                assertEquals(2, shard.starts.size)
            },
            Row("a checkpoint from a lost target is used by a new holder") {
                val shard = shard(count = 1)
                val job = job("k", estimateMillis = 1_000, checkpointing = true)
                shard.submitDurable(job)
                shard.runFor(900)
                shard.targets.single().mode = Mode.SILENT
                // The run is given up after the lease of 1 s.
                shard.runFor(1_200)
                shard.targets.single().mode = Mode.HEALTHY
                shard.restart(shard.targets.single())
                shard.replaceHolder()
                // A new holder waits for the longest lease of 1 s; at least 400 ms of the task are saved.
                shard.runFor(50 + 1_000 + 600 + 100)
                assertEquals(JobState.COMPLETED, shard.durableJobState(job))
            },
            Row("a slow store delays the visible state, not the tasks") {
                val shard = shard()
                shard.saveMillis = 1_000
                val job = job("k", tasks = 4, estimateMillis = 100)
                shard.submitDurable(job)
                shard.runFor(300)
                assertEquals(4, shard.starts.size)
                assertEquals(JobState.RUNNING, shard.durableJobState(job))
                shard.runFor(1_000)
                assertEquals(JobState.COMPLETED, shard.durableJobState(job))
            },
            Row("a job whose tasks always fail ends after the allowed attempts") {
                val shard = shard()
                shard.targets.forEach { it.mode = Mode.FAILS }
                val job = job("k", maxAttempts = 3)
                shard.submitDurable(job)
                shard.runFor(10_000)
                assertEquals(JobState.FAILED, shard.durableJobState(job))
                assertEquals(3, shard.starts.size)
            },
            Row("a task that is much longer than declared ends eventually") {
                val shard = shard()
                val job = job("k", estimateMillis = 20)
                shard.actualMillis[TaskKey(job.id, 0, 0, 0)] = 2_000
                shard.submitDurable(job)
                shard.runFor(20_000)
                assertEquals(JobState.COMPLETED, shard.durableJobState(job))
            },
            Row("tasks that are done stay done across repeated holder changes") {
                val shard = shard()
                val job = job("k", tasks = 8, estimateMillis = 200)
                shard.submitDurable(job)
                repeat(5) {
                    shard.runFor(250)
                    shard.replaceHolder(handOver = true)
                }
                shard.runFor(3_000)
                assertEquals(JobState.COMPLETED, shard.durableJobState(job))
                assertTrue(shard.starts.size <= 8 + 8, "${shard.starts.size} starts for 8 tasks")
            },
        )

    @TestFactory
    fun `patterns of durable jobs`() = rows.map { row -> DynamicTest.dynamicTest(row.pattern) { row.test() } }
}
