package io.jackdawring.core.shard

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.TargetId
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against jobs that are accepted, or stay, where they never start because long-running tasks use the targets. */
class CapacityForecastTest {
    /** A run that needs [cpuMillis] and has run for [ranMillis] of [estimateMillis]; null if it is long-running. */
    private class Running(
        val cpuMillis: Int,
        val estimateMillis: Long?,
        val ranMillis: Long = 0,
    )

    private class Row(
        val name: String,
        val delayMillis: Long?,
        /** The runs of each target. */
        val targets: List<List<Running>>,
        val steps: List<StepSpec> = listOf(step(CPU / 2)),
        val waitingWork: Long = 0,
        val contact: TrackedTarget.Contact = TrackedTarget.Contact.HELD,
        /** How long ago the targets were suspended; null if they were not. */
        val suspendedAgoMillis: Long? = null,
    )

    private val lasting = Running(CPU, estimateMillis = null)

    private val rows =
        listOf(
            Row("an idle target", 0, listOf(emptyList())),
            Row("no target", null, emptyList()),
            Row("no target that answers", null, listOf(emptyList()), contact = TrackedTarget.Contact.SILENT),
            Row("all targets full of long-running tasks", null, listOf(listOf(lasting), listOf(lasting))),
            Row("the same, with work that waits", null, listOf(listOf(lasting)), waitingWork = CPU * 400L),
            Row("one target beside full ones", 0, listOf(listOf(lasting), emptyList())),
            Row("room beside a long-running task", 0, listOf(listOf(Running(CPU / 2, null)))),
            Row("too little room beside one", null, listOf(listOf(Running(CPU / 2 + 1, null)))),
            Row(
                "room beside a long-running task once a short one ends",
                300,
                listOf(listOf(Running(CPU / 2, null), Running(CPU / 2, 400, ranMillis = 100))),
            ),
            Row("a long task that ends", 9_000, listOf(listOf(Running(CPU, 10_000, ranMillis = 1_000)))),
            Row(
                "two short tasks that have to end both",
                500,
                listOf(listOf(Running(CPU / 4, 200), Running(CPU * 3 / 4, 500))),
                listOf(step(CPU)),
            ),
            Row("the first of two targets", 100, listOf(listOf(Running(CPU, 100)), listOf(Running(CPU, 900)))),
            Row(
                "waiting work only on targets that become free",
                800,
                listOf(listOf(lasting), listOf(Running(CPU, 200))),
                waitingWork = CPU * 800L,
            ),
            Row(
                "a step that no target has room for",
                null,
                listOf(emptyList()),
                listOf(step(CPU / 2), step(CPU + 1)),
            ),
            Row(
                "a step that waits for room",
                700,
                listOf(listOf(Running(CPU / 2, 700))),
                listOf(step(CPU / 2), step(CPU)),
            ),
            Row("a task without CPU on a full target", 0, listOf(listOf(lasting)), listOf(step(0))),
            Row("a suspended target", null, listOf(emptyList()), suspendedAgoMillis = 500),
            Row("a target on probation", 0, listOf(emptyList()), suspendedAgoMillis = 1_500),
            Row(
                "a target on probation, with a run from before",
                0,
                listOf(listOf(Running(CPU / 4, null, ranMillis = 2_000))),
                suspendedAgoMillis = 1_500,
            ),
            Row(
                "a target on probation, with a run from after it that may fail",
                1_000,
                listOf(listOf(Running(CPU / 4, null, ranMillis = 100))),
                suspendedAgoMillis = 1_500,
            ),
        )

    private fun target(
        index: Int,
        row: Row,
    ): TrackedTarget {
        val registration =
            ShardTarget(
                TargetId("t$index"),
                SERVICE,
                "t$index:1",
                FailureDomainId("a"),
                Resources(CPU),
                persistentSetOf(),
                draining = false,
            )
        val target = TrackedTarget(registration, index, TargetsByFreeCpu(DecisionCost()), Evacuation())
        target.contact = row.contact
        row.suspendedAgoMillis?.let { target.health.onUnhealthy(NOW_MILLIS - it) }
        row.targets[index].forEachIndexed { number, running -> target.add(run(target, "r$index.$number", running)) }
        return target
    }

    private fun run(
        target: TrackedTarget,
        id: String,
        running: Running,
    ): TrackedRun {
        val step = step(running.cpuMillis, running.estimateMillis ?: 1, isLongRunning = running.estimateMillis == null)
        val spec = JobSpec(JobId(id), "q", SERVICE, 0, 3, 1.6, 60, "", listOf(step))
        val task = TrackedJob(spec, 0, 0, Long.MAX_VALUE, isDurable = true).tasks().first()
        return TrackedRun(task.key, 1, target, task, NOW_MILLIS - running.ranMillis, step.estimateMillis)
    }

    @TestFactory
    fun `time until a job can start`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                val targets = row.targets.indices.map { target(it, row) }
                val needs = JobNeeds(SERVICE, row.steps)
                assertEquals(
                    row.delayMillis,
                    CapacityForecast.delayMillis(needs, targets, row.waitingWork, NOW_MILLIS),
                )
            }
        }

    private companion object {
        const val SERVICE = "s"
        const val CPU = 16_000
        const val NOW_MILLIS = 50_000L

        fun step(
            cpuMillis: Int,
            estimateMillis: Long = 100,
            isLongRunning: Boolean = false,
        ) = StepSpec(1, Resources(cpuMillis), estimateMillis, longRunning = isLongRunning)
    }
}
