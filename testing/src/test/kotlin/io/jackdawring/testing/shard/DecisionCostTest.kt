package io.jackdawring.testing.shard

import io.jackdawring.core.shard.Admission
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.testing.shard.FakeShardWorld.Companion.job
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertTrue

/** Guards against decisions that cost more the longer the backlog is: the holder then falls behind when it is needed. */
class DecisionCostTest {
    private class Row(
        val pattern: String,
        val targets: Int,
        val backlog: FakeShardWorld.() -> Unit,
        val arrivals: FakeShardWorld.(Int) -> Unit = {},
    )

    private val rows =
        listOf(
            Row("full targets, tasks that can be in time wait", TARGETS, { awaited(jobs = 100, estimateMillis = 900) }),
            Row("full targets, late tasks wait", TARGETS, { awaited(jobs = 200, estimateMillis = 90) }),
            Row("full targets, late kept tasks wait", TARGETS, { kept(jobs = 200, estimateMillis = 90) }),
            Row("full targets, late tasks and a kept job wait", TARGETS, {
                awaited(jobs = 200, estimateMillis = 90)
                kept(jobs = 1, estimateMillis = 900)
            }),
            Row(
                "full targets, urgent jobs arrive and are refused",
                TARGETS,
                { awaited(jobs = 100, estimateMillis = 900) },
            ) {
                submit(job("refused$it", estimateMillis = 1), admission = Admission.ON_TIME)
            },
            Row(
                "many full targets, urgent jobs arrive and are refused",
                500,
                { awaited(jobs = 800, estimateMillis = 900) },
            ) {
                submit(job("refused$it", estimateMillis = 1), admission = Admission.ON_TIME)
            },
        )

    /** Jobs that arrive before the targets are known, so that none is refused. */
    private fun FakeShardWorld.awaited(
        jobs: Int,
        estimateMillis: Long,
    ) = repeat(jobs) {
        val job = job("a$it", tasks = TASKS, estimateMillis = estimateMillis, cpuMillis = SMALLEST + it)
        takeLonger(job)
        submit(job, remainingMillis = 100_000)
    }

    private fun FakeShardWorld.kept(
        jobs: Int,
        estimateMillis: Long,
    ) = repeat(jobs) {
        val job = job("k$it", tasks = TASKS, estimateMillis = estimateMillis, cpuMillis = SMALLEST + it)
        takeLonger(job)
        submitDurable(job)
    }

    private fun FakeShardWorld.takeLonger(job: JobSpec) =
        repeat(TASKS) { works[TaskKey(job.id, 0, 0, it)] = 3 * job.chainMillis }

    @TestFactory
    fun `a decision under a backlog`() = rows.map { row -> DynamicTest.dynamicTest(row.pattern) { check(row) } }

    private fun check(row: Row) {
        val world = FakeShardWorld(List(row.targets) { FakeShardTarget("t$it") })
        row.backlog(world)
        world.runFor(200)
        val startsBefore = world.starts.size
        val examinedBefore = world.examined
        var arrivals = 0
        repeat(MEASURED_MILLIS) {
            row.arrivals(world, arrivals++)
            world.runFor(1)
        }
        assertTrue(world.waitingTasks > 0, "the backlog is over")
        val decisions = MEASURED_MILLIS / TICK_MILLIS + arrivals + world.starts.size - startsBefore
        val each = (world.examined - examinedBefore) / decisions
        assertTrue(each <= MOST_EXAMINED, "a decision looks at $each tasks, targets and runs")
    }

    private companion object {
        const val TARGETS = 50
        const val TASKS = 4
        const val SMALLEST = 12_000
        const val MEASURED_MILLIS = 100
        const val TICK_MILLIS = 20

        /** A look at each place of 64 targets, the most that a forecast takes, with a few tasks for each. */
        const val MOST_EXAMINED = 400
    }
}
