package io.jackdawring.core.shard

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertTrue

/**
 * Compares rules of placement on the loads of docs/design/overview.md.
 *
 * Guards against an admission or placement that makes jobs miss their objectives under load, and against a term for the
 * CPU that is left free that is clearly worse than another one.
 */
class PlacementComparisonTest {
    /** [onTime] and [wideOnTime] are the least shares of all jobs and of those of eight tasks. */
    private class Row(
        val load: ModelLoad,
        val onTime: Double,
        val wideOnTime: Double,
    )

    private class Rule(
        val name: String,
        val merged: Int = 1,
        val fit: () -> FitCost,
    )

    private val rows =
        listOf(
            Row(ModelLoad("calm", 0.6), 0.80, 0.65),
            Row(ModelLoad("usual", 1.0), 0.74, 0.53),
            Row(ModelLoad("burst of all kinds", 1.0, listOf(1.7, 1.7, 1.7)), 0.47, 0.14),
            Row(ModelLoad("burst of wide jobs", 1.0, listOf(3.5, 1.0, 1.0)), 0.47, 0.25),
            Row(ModelLoad("burst of narrow jobs", 1.0, listOf(1.0, 1.8, 1.0)), 0.60, 0.33),
            Row(ModelLoad("burst of large jobs", 1.0, listOf(1.0, 1.0, 2.5)), 0.62, 0.35),
            Row(ModelLoad("lasting overload", 1.4), 0.49, 0.19),
            Row(
                ModelLoad("half of the targets slow", 1.0, listOf(1.3, 1.3, 1.3), speeds = listOf(0.55, 1.2)),
                0.42,
                0.11,
            ),
            Row(ModelLoad("calm, exact durations", 0.6, isUneven = false), 0.99, 0.99),
            Row(ModelLoad("burst, exact durations", 1.2, listOf(1.7, 1.7, 1.7), isUneven = false), 0.56, 0.30),
            Row(ModelLoad("calm, large targets", 0.6, cpuMillis = 64_000), 0.80, 0.65),
            Row(ModelLoad("burst, large targets", 1.0, listOf(1.7, 1.7, 1.7), cpuMillis = 64_000), 0.47, 0.14),
        )

    private val inUse = Rule("in use") { RemainderCost }
    private val others =
        listOf(
            Rule("first fit") { FitCost { _, target -> DOMINANT * target.sequence } },
            Rule("best fit") { FitCost { task, target -> DOMINANT * leftMillis(task, target) } },
            Rule("expected loss") { ExpectedLossCost() },
        )
    private val bound = Rule("bound", merged = 10) { RemainderCost }

    private fun leftMillis(
        task: TrackedTask,
        target: TrackedTarget,
    ) = target.free.cpuMillis - task.spec.demand.cpuMillis

    private class Mean(
        val used: Double?,
        val onTime: Double,
        val wideOnTime: Double,
    )

    private fun run(
        load: ModelLoad,
        rule: Rule,
    ): Mean {
        val results = SEEDS.map { ShardModel(load, rule.fit(), rule.merged, it).run() }
        val used = results.mapNotNull { it.usedWhileScarce }
        return Mean(
            if (used.isEmpty()) null else used.average(),
            results.map { it.onTime }.average(),
            results.map { it.onTimeByKind.first() }.average(),
        )
    }

    @TestFactory
    fun `a load under each rule`() = rows.map { row -> DynamicTest.dynamicTest(row.load.name) { check(row) } }

    private fun check(row: Row) {
        val mean = run(row.load, inUse)
        assertTrue(mean.onTime >= row.onTime, "only ${mean.onTime} of the jobs are in time")
        assertTrue(mean.wideOnTime >= row.wideOnTime, "only ${mean.wideOnTime} of the wide jobs are in time")
        for (rule in others) {
            val other = run(row.load, rule)
            assertTrue(other.onTime - mean.onTime < NOISE, "${rule.name}: ${other.onTime} instead of ${mean.onTime}")
            if (mean.used == null || other.used == null) continue
            assertTrue(other.used - mean.used < NOISE, "${rule.name} uses ${other.used} instead of ${mean.used}")
        }
        val used = mean.used ?: return
        val usable = run(row.load, bound).used ?: 1.0
        assertTrue(used >= usable - FRAGMENTS, "$used of the CPU is used, and $usable could be")
    }

    private companion object {
        val SEEDS = 1L..2L

        /** Makes a term outweigh all others, except for whether the objective can be met. */
        const val DOMINANT = 100.0

        /** Difference between two rules that can be chance. */
        const val NOISE = 0.05

        /** Share of the CPU that tasks of half a target leave unused. */
        const val FRAGMENTS = 0.1
    }
}
