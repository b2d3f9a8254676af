package io.jackdawring.testing.shard

import io.jackdawring.core.shard.JobState
import io.jackdawring.testing.shard.FakeShard.Companion.job
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against jobs that never start because more jobs ahead of them than are searched for at once cannot run. */
class BlockedQueueTest {
    private class Row(
        val name: String,
        val blockedJobs: Int,
        val requiredLabel: String? = null,
        val maxPerTarget: Int? = null,
        val cpuMillis: Int,
    ) {
        fun blockedJob(number: Int) =
            job(
                "blocked$number",
                cpuMillis = cpuMillis + number,
                requiredLabel = requiredLabel,
                maxPerTarget = maxPerTarget,
            )
    }

    private val rows =
        listOf(
            Row("a label that no target has", 230, requiredLabel = "none", cpuMillis = 100),
            Row("a label that no target has, many jobs", 1_000, requiredLabel = "none", cpuMillis = 100),
            Row("more CPU than a target has", 450, cpuMillis = 40_000),
            Row("a limit of no task on a target", 230, maxPerTarget = 0, cpuMillis = 100),
        )

    @TestFactory
    fun `a job behind many that cannot run`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                val late = FakeShardTarget("late", labels = setOf("b"))
                val shard = FakeShard(List(100) { FakeShardTarget("t$it") } + late)
                shard.list(shard.targets.map { it.registration } - late.registration)
                shard.runFor(3_000)
                repeat(row.blockedJobs) { shard.submitDurable(row.blockedJob(it)) }
                val job = job("k", requiredLabel = "b")
                shard.submitDurable(job)
                // All jobs are overdue by then, so that none is placed before those that cannot run.
                shard.runFor(2_000)
                shard.list(shard.targets.map { it.registration })
                shard.runFor(2_000)
                assertEquals(JobState.COMPLETED, shard.durableJobState(job))
            }
        }
}
