package io.jackdawring.core.shard.interference

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.TargetId
import io.jackdawring.core.shard.DecisionCost
import io.jackdawring.core.shard.DurationEstimator
import io.jackdawring.core.shard.Evacuation
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.core.shard.StepSpec
import io.jackdawring.core.shard.TargetSelector
import io.jackdawring.core.shard.TargetsByFreeCpu
import io.jackdawring.core.shard.TrackedJob
import io.jackdawring.core.shard.TrackedTarget
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against tasks that wait, or are late, because all suitable targets have interfering neighbours. */
class PlacementPenaltyTest {
    private class Row(
        val case: String,
        val interfering: Set<String>,
        val expected: String?,
        val offRack: Set<String> = emptySet(),
        val full: Set<String> = emptySet(),
    )

    private val rows =
        listOf(
            Row("no interference", emptySet(), "t0"),
            Row("the best target interferes", setOf("t0"), "t1"),
            Row("all targets interfere: as before", setOf("t0", "t1", "t2"), "t0"),
            Row("the others miss the objective: as before", setOf("t0"), "t0", offRack = setOf("t1", "t2")),
            Row("all miss the objective: as before", setOf("t0"), "t0", offRack = setOf("t0", "t1", "t2")),
            Row("the others are full: as before", setOf("t0"), "t0", full = setOf("t1", "t2")),
        )

    @TestFactory
    fun `the selected target`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.case) {
                val penalty =
                    PlacementPenalty { _, target, _, _ ->
                        if (target.id.value in
                            row.interfering
                        ) {
                            1e4
                        } else {
                            0.0
                        }
                    }
                // Off its rack, the task takes twice the declared time, and its objective leaves 1.6 times plus 60 ms.
                val selector = TargetSelector(DurationEstimator(), offRackFactor = 2.0, penalty)
                val step = StepSpec(1, Resources(1_000), 1_000, rackAffinity = "rack")
                val job = TrackedJob(JobSpec(JobId("j"), "q", "s", 0, 1, 1.6, 60, "", listOf(step)), 0, 0, 5_000)
                val targets = List(3) { target("t$it", "t$it" in row.offRack, "t$it" in row.full) }
                assertEquals(row.expected, selector.select(job.tasks().single(), targets, nowMillis = 0)?.id?.value)
            }
        }

    private fun target(
        id: String,
        isOffRack: Boolean,
        isFull: Boolean,
    ): TrackedTarget {
        val capacity = Resources(if (isFull) 0 else 32_000)
        val labels = if (isOffRack) persistentSetOf() else persistentSetOf("rack")
        val registration =
            ShardTarget(TargetId(id), "s", "10.0.0.1:1", FailureDomainId("a"), capacity, labels, draining = false)
        return TrackedTarget(registration, 0, TargetsByFreeCpu(DecisionCost()), Evacuation()).apply {
            contact = TrackedTarget.Contact.HELD
        }
    }
}
