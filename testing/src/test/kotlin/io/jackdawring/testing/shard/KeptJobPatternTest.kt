package io.jackdawring.testing.shard

import io.jackdawring.core.shard.JobId
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

    private fun world(count: Int = 2) = FakeShardWorld(List(count) { FakeShardTarget("t$it") }).also { it.runFor(50) }

    /** Hands jobs of [tasks] tasks in every [intervalMillis] for 10 s, and returns the share that ends in time. */
    private fun shareInTime(
        world: FakeShardWorld,
        tasks: Int,
        intervalMillis: Int,
    ): Double {
        val jobs = List(10_000 / intervalMillis) { job("k$it", tasks, estimateMillis = 200) }
        val endedAfter = HashMap<JobId, Long>()
        repeat(40_000) { millis ->
            if (millis % intervalMillis == 0) jobs.getOrNull(millis / intervalMillis)?.let(world::keep)
            world.runFor(1)
            jobs
                .take(millis / intervalMillis + 1)
                .filter { it.id !in endedAfter && world.keptState(it) == JobState.COMPLETED }
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
                repeat(20) { world.keep(job("k$it", tasks = 2, estimateMillis = 400, cpuMillis = 16_000)) }
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
            Row("a slow store delays the state that is shown, not the tasks") {
                val world = world()
                world.saveMillis = 1_000
                val job = job("k", tasks = 4, estimateMillis = 100)
                world.keep(job)
                world.runFor(300)
                assertEquals(4, world.starts.size)
                assertEquals(JobState.RUNNING, world.keptState(job))
                world.runFor(1_000)
                assertEquals(JobState.COMPLETED, world.keptState(job))
            },
            Row("a job whose tasks always fail ends after the allowed attempts") {
                val world = world()
                world.targets.forEach { it.mode = Mode.FAILS }
                val job = job("k", maxAttempts = 3)
                world.keep(job)
                world.runFor(10_000)
                assertEquals(JobState.FAILED, world.keptState(job))
                assertEquals(3, world.starts.size)
            },
            Row("a task that is much longer than declared ends at last") {
                val world = world()
                val job = job("k", estimateMillis = 20)
                world.works[TaskKey(job.id, 0, 0, 0)] = 2_000
                world.keep(job)
                world.runFor(20_000)
                assertEquals(JobState.COMPLETED, world.keptState(job))
            },
            Row("a holder replaced again and again keeps what is done") {
                val world = world()
                val job = job("k", tasks = 8, estimateMillis = 200)
                world.keep(job)
                repeat(5) {
                    world.runFor(250)
                    world.replaceHolder(handOver = true)
                }
                world.runFor(3_000)
                assertEquals(JobState.COMPLETED, world.keptState(job))
                assertTrue(world.starts.size <= 8 + 8, "${world.starts.size} starts for 8 tasks")
            },
        )

    @TestFactory
    fun `patterns of kept jobs`() = rows.map { row -> DynamicTest.dynamicTest(row.pattern) { row.test() } }
}
