package io.jackdawring.testing.shard

import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.Resources
import io.jackdawring.testing.shard.FakeShard.Companion.job
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against tasks that never start because more unsuitable targets than a search looks at have more free CPU. */
class SuitableTargetTest {
    private class Row(
        val name: String,
        val job: JobSpec,
        val suitable: FakeShardTarget,
    )

    private fun JobSpec.needing(demand: Resources) = copy(steps = steps.map { it.copy(demand = demand) })

    private val rows =
        listOf(
            Row(
                "a label that few targets have",
                job("k", tasks = 4, requiredLabel = "b"),
                FakeShardTarget("s", SMALL, labels = setOf("b")),
            ),
            Row(
                "memory that few targets have",
                job("k", tasks = 4).needing(Resources(14_000, 100_000)),
                FakeShardTarget("s", Resources(32_000, 400_000)),
            ),
            Row(
                "an accelerator that few targets have",
                job("k", tasks = 4).needing(Resources(14_000, 64, 1)),
                FakeShardTarget("s", Resources(32_000, 65_536, 2)),
            ),
            Row(
                "a limit of tasks on one target",
                job("k", tasks = OTHERS + 1, cpuMillis = 100, maxPerTarget = 1),
                FakeShardTarget("s", SMALL),
            ),
        )

    private fun shard(row: Row) =
        FakeShard(List(OTHERS) { FakeShardTarget("t$it", LARGE) } + row.suitable).also { it.runFor(50) }

    @TestFactory
    fun `a durable job needs what targets with less free CPU have`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                val shard = shard(row)
                shard.submitDurable(row.job)
                shard.runFor(1_000)
                assertEquals(JobState.COMPLETED, shard.durableJobState(row.job))
            }
        }

    @TestFactory
    fun `an awaited job needs what targets with less free CPU have`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                val shard = shard(row)
                val waiter = shard.submit(row.job)
                shard.runFor(1_000)
                assertEquals(JobOutcome.Completed, shard.answers[waiter]?.outcome)
            }
        }

    private companion object {
        /** More than the 64 targets that a search selects from. */
        const val OTHERS = 100
        val LARGE = Resources(48_000, 65_536)
        val SMALL = Resources(32_000, 65_536)
    }
}
