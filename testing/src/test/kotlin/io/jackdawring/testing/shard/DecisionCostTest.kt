package io.jackdawring.testing.shard

import io.jackdawring.core.shard.Admission
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.testing.shard.FakeShard.Companion.job
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertTrue

/** Guards against decisions whose cost grows with the backlog, so that the holder falls behind under overload. */
class DecisionCostTest {
    private class Row(
        val pattern: String,
        val targets: Int,
        val backlog: FakeShard.() -> Unit,
        val arrivals: FakeShard.(Int) -> Unit = {},
    )

    private val rows =
        listOf(
            Row("full targets, on-time tasks wait", TARGETS, { addAwaited(jobs = 100, estimateMillis = 900) }),
            Row("full targets, late tasks wait", TARGETS, { addAwaited(jobs = 200, estimateMillis = 90) }),
            Row("full targets, late durable tasks wait", TARGETS, { addDurable(jobs = 200, estimateMillis = 90) }),
            Row("full targets, late tasks and a durable job wait", TARGETS, {
                addAwaited(jobs = 200, estimateMillis = 90)
                addDurable(jobs = 1, estimateMillis = 900)
            }),
            Row(
                "full targets, urgent jobs arrive and are rejected",
                TARGETS,
                { addAwaited(jobs = 100, estimateMillis = 900) },
            ) {
                submit(job("refused$it", estimateMillis = 1), admission = Admission.EARLY)
            },
            Row(
                "many full targets, urgent jobs arrive and are rejected",
                500,
                { addAwaited(jobs = 800, estimateMillis = 900) },
            ) {
                submit(job("refused$it", estimateMillis = 1), admission = Admission.EARLY)
            },
        )

    /** Submits jobs before the targets have answered, so that none is rejected. */
    private fun FakeShard.addAwaited(
        jobs: Int,
        estimateMillis: Long,
    ) = repeat(jobs) {
        val job = job("a$it", tasks = TASKS, estimateMillis = estimateMillis, cpuMillis = MIN_CPU_MILLIS + it)
        takeLonger(job)
        submit(job, remainingMillis = 100_000)
    }

    private fun FakeShard.addDurable(
        jobs: Int,
        estimateMillis: Long,
    ) = repeat(jobs) {
        val job = job("k$it", tasks = TASKS, estimateMillis = estimateMillis, cpuMillis = MIN_CPU_MILLIS + it)
        takeLonger(job)
        submitDurable(job)
    }

    private fun FakeShard.takeLonger(job: JobSpec) =
        repeat(TASKS) { actualMillis[TaskKey(job.id, 0, 0, it)] = 3 * job.criticalPathMillis }

    @TestFactory
    fun `a decision under a backlog`() = rows.map { row -> DynamicTest.dynamicTest(row.pattern) { check(row) } }

    private fun check(row: Row) {
        val shard = FakeShard(List(row.targets) { FakeShardTarget("t$it") })
        row.backlog(shard)
        shard.runFor(200)
        val startsBefore = shard.starts.size
        val examinedBefore = shard.examined
        var arrivals = 0
        repeat(MEASURED_MILLIS) {
            row.arrivals(shard, arrivals++)
            shard.runFor(1)
        }
        assertTrue(shard.waitingTasks > 0, "no tasks wait any more")
        val decisions = MEASURED_MILLIS / TICK_MILLIS + arrivals + shard.starts.size - startsBefore
        val each = (shard.examined - examinedBefore) / decisions
        assertTrue(each <= MAX_EXAMINED, "a decision examines $each tasks, targets and runs")
    }

    private companion object {
        const val TARGETS = 50
        const val TASKS = 4
        const val MIN_CPU_MILLIS = 12_000
        const val MEASURED_MILLIS = 100
        const val TICK_MILLIS = 20

        /** Covers the slots of 64 targets, the maximum in a forecast, with a few waiting tasks for each. */
        const val MAX_EXAMINED = 400
    }
}
