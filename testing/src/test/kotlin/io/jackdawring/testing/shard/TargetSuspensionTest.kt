package io.jackdawring.testing.shard

import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.testing.shard.FakeShard.Companion.job
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against accepted jobs without a run, because targets are suspended for the faults of tasks, or because they stay
 * closed after a suspension while their long-running tasks go on.
 */
class TargetSuspensionTest {
    private class Row(
        val name: String,
        /** Suspends targets, or gives cause for it. */
        val disturb: FakeShard.() -> Unit,
    )

    private fun FakeShard.poison(
        id: String,
        tasks: Int = 8,
        cpuMillis: Int = 14_000,
    ) {
        val job = job(id, tasks, estimateMillis = 60, cpuMillis = cpuMillis)
        poison.add(job.id)
        submitDurable(job)
    }

    private fun FakeShard.submitShort(
        id: String,
        tasks: Int = 8,
    ): JobSpec = job(id, tasks, estimateMillis = 60, cpuMillis = 1_000).also(::submitDurable)

    private val rows =
        listOf(
            Row("one poison job") { poison("poison") },
            Row("one poison job whose tasks all fit on one target") { poison("poison", cpuMillis = 1_000) },
            Row("one poison job with one task") { poison("poison", tasks = 1) },
            Row("several poison jobs") {
                repeat(6) {
                    poison("poison$it")
                    runFor(50)
                }
            },
            Row("several poison jobs at once") { repeat(6) { poison("poison$it", tasks = 2, cpuMillis = 1_000) } },
            Row("poison jobs among others") {
                repeat(6) {
                    poison("poison$it", tasks = 4, cpuMillis = 2_000)
                    submitShort("beside$it")
                    runFor(50)
                }
            },
            Row("a poison job beside a target that fails all it gets") {
                targets.first().mode = FakeShardTarget.Mode.FAILS
                repeat(6) {
                    poison("poison$it", tasks = 4, cpuMillis = 2_000)
                    submitShort("beside$it")
                    runFor(50)
                }
            },
            Row("a target that fails all it gets") {
                targets.first().mode = FakeShardTarget.Mode.FAILS
                repeat(6) {
                    submitShort("beside$it")
                    runFor(50)
                }
            },
            Row("each target rejects a start as unhealthy") {
                targets.forEach { it.unhealthyStarts = 1 }
                repeat(4) {
                    submitShort("beside$it")
                    runFor(50)
                }
            },
            Row("each target rejects a start as unhealthy, and again after its suspension") {
                targets.forEach { it.unhealthyStarts = 2 }
                submitShort("beside")
                runFor(3_000)
            },
            Row("two runs hang on each target") {
                targets.forEach { it.mode = FakeShardTarget.Mode.HANGS }
                submitShort("hanging")
                runFor(100)
                targets.forEach { it.mode = FakeShardTarget.Mode.HEALTHY }
                runFor(1_000)
            },
            Row("a job that takes much longer than declared") {
                val job = job("long", tasks = 8, estimateMillis = 60, cpuMillis = 4_000)
                repeat(8) { actualMillis[TaskKey(job.id, 0, 0, it)] = 20_000 }
                submitDurable(job)
                runFor(1_000)
            },
        )

    /** A shard of four targets, the first [lasting] of which have a long-running task. */
    private fun shard(lasting: Int): FakeShard {
        val shard = FakeShard(List(TARGETS) { FakeShardTarget("t$it") })
        shard.runFor(50)
        if (lasting > 0) {
            shard.submitDurable(
                job("lasting", lasting, cpuMillis = 4_000, maxPerTarget = 1, longRunning = true).endless(shard),
            )
        }
        shard.runFor(1_000)
        assertEquals(lasting, shard.runningTasks)
        return shard
    }

    private fun JobSpec.endless(shard: FakeShard): JobSpec {
        steps.single().let { step -> repeat(step.count) { shard.actualMillis[TaskKey(id, 0, 0, it)] = ENDLESS_MILLIS } }
        return this
    }

    private fun FakeShard.assertCompletes(
        job: JobSpec,
        withinMillis: Long,
    ) {
        val untilMillis = nowMillis + withinMillis
        while (nowMillis < untilMillis && durableJobState(job) != JobState.COMPLETED) runFor(10)
        assertEquals(JobState.COMPLETED, durableJobState(job), "${job.id.value} after $withinMillis ms")
    }

    /** Runs [test] for each disturbance, beside long-running tasks on all, some or none of the targets. */
    private fun tests(test: FakeShard.() -> Unit): List<DynamicTest> =
        rows.flatMap { row ->
            listOf(TARGETS, TARGETS / 2, 0).map { lasting ->
                DynamicTest.dynamicTest("${row.name}, $lasting targets with long-running tasks") {
                    shard(lasting).let {
                        row.disturb(it)
                        test(it)
                    }
                }
            }
        }

    @TestFactory
    fun `later jobs of short tasks run`() =
        tests {
            repeat(20) {
                val job = submitShort("later$it", tasks = 1)
                runFor(100)
                assertCompletes(job, withinMillis = RUN_MILLIS)
            }
        }

    @TestFactory
    fun `later jobs of long tasks run`() =
        tests {
            val job = job("later", tasks = 6, estimateMillis = 60_000, cpuMillis = 8_000)
            submitDurable(job)
            runFor(RUN_MILLIS)
            assertTrue(runningTasksOf(job) > 0, "nothing runs")
            runFor(2 * RUN_MILLIS)
            assertEquals(6, runningTasksOf(job))
        }

    @TestFactory
    fun `a later job of long-running tasks runs`() =
        tests {
            val job = job("later", TARGETS, cpuMillis = 4_000, longRunning = true).endless(this)
            submitDurable(job)
            runFor(2 * RUN_MILLIS)
            assertEquals(TARGETS, runningTasksOf(job))
        }

    @TestFactory
    fun `a target that fails or hangs all it gets takes few starts`() =
        listOf(FakeShardTarget.Mode.FAILS, FakeShardTarget.Mode.HANGS).flatMap { mode ->
            listOf(TARGETS, 0).map { lasting ->
                DynamicTest.dynamicTest("$mode, $lasting targets with long-running tasks") {
                    val shard = shard(lasting)
                    shard.targets.first().mode = mode
                    val jobs =
                        List(60) {
                            shard.runFor(50)
                            if (it % 10 == 5) shard.poison("poison$it", tasks = 2)
                            shard.submitShort("k$it")
                        }
                    shard.runFor(RUN_MILLIS)
                    assertEquals(emptyList(), jobs.filter { shard.durableJobState(it) != JobState.COMPLETED })
                    val bad =
                        shard.starts.count { (task, target) ->
                            target == "t0" && task.jobId.value.startsWith("k")
                        }
                    assertTrue(bad <= MAX_BAD_STARTS, "$bad starts")
                }
            }
        }

    private companion object {
        const val TARGETS = 4
        const val ENDLESS_MILLIS = 1_000_000L

        /** Time after which an accepted job without a run counts as lost. */
        const val RUN_MILLIS = 3_000L

        /** Of 480 tasks; a tenth of the share of a sound target. */
        const val MAX_BAD_STARTS = 12
    }
}
