package io.jackdawring.fleet.shard

import io.jackdawring.core.TargetId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.ShardDecision
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.fleet.metrics.FleetMetrics
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertTrue

/** Guards against metrics of interference that drift from the decisions of a shard. */
class DecisionLogTest {
    private val apart = ShardDecision.KindsSeparated("a", "b", 1.5, areApart = true, pairs = 1)
    private val avoided = ShardDecision.NeighbourAvoided(TaskKey(JobId("j"), 0, 0, 0), TargetId("t"))

    private val rows =
        listOf(
            listOf(apart, apart, avoided) to
                listOf("jackdawring_interfering_pairs 2.0", "jackdawring_avoided_neighbours_total 1.0"),
            listOf(apart, apart.copy(areApart = false)) to listOf("jackdawring_interfering_pairs 0.0"),
        )

    @TestFactory
    fun `metrics after decisions`() =
        rows.map { (decisions, expected) ->
            DynamicTest.dynamicTest("$expected") {
                val metrics = FleetMetrics()
                decisions.forEach(DecisionLog("s", metrics)::report)
                val lines =
                    metrics
                        .expose()
                        .body
                        .decodeToString()
                        .lines()
                assertTrue(lines.containsAll(expected), lines.filter { "interf" in it || "avoided" in it }.toString())
            }
        }
}
