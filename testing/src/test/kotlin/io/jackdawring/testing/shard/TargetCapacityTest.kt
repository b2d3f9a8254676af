package io.jackdawring.testing.shard

import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.testing.shard.FakeShard.Companion.job
import io.jackdawring.testing.shard.FakeShardTarget.Mode
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Targets that start whatever they are told; [FakeShard] checks each start against the capacity that is known. */
class TargetCapacityTest {
    private class Row(
        val event: String,
        val stopMillis: Long = 50,
        /** Called every [INTERVAL_MILLIS]. */
        val act: (shard: FakeShard, round: Int) -> Unit,
    )

    private val rows =
        listOf(
            Row("the capacity shrinks below what runs, and grows again") { shard, round ->
                shard.targets.forEach { shard.resize(it, if (round % 2 == 0) SMALL else FULL, delayMillis = 40) }
            },
            Row("the capacity changes in small steps, and the list is late") { shard, round ->
                val capacity = Resources(8_000 + 3_000 * (round % 8), FULL.memoryMb)
                shard.targets.forEach { shard.resize(it, capacity, delayMillis = 900) }
            },
            Row("urgent tasks preempt runs that take long to stop", stopMillis = 200) { shard, round ->
                shard.submitDurable(job("urgent$round", tasks = 2, estimateMillis = 60, cpuMillis = 9_000))
            },
            Row("jobs are cancelled while their runs take long to stop", stopMillis = 200) { shard, _ ->
                cancelRunning(shard)
            },
            Row("targets restart") { shard, round ->
                if (round % 4 == 0) shard.restart(shard.targets[(round / 4) % shard.targets.size])
            },
            Row("targets fall silent and return before and after their lease") { shard, round ->
                val target = shard.targets[(round / 4) % shard.targets.size]
                target.mode = if (round % 4 == 0) Mode.SILENT else Mode.HEALTHY
            },
            Row("answers to starts are lost") { shard, round ->
                val target = shard.targets[round % shard.targets.size]
                target.mode = if (target.mode == Mode.HEALTHY) Mode.ANSWERS_LOST else Mode.HEALTHY
            },
            Row("the holder is replaced without a hand-over") { shard, _ -> shard.replaceHolder() },
            Row("the holder is replaced with a hand-over, and the capacity shrinks") { shard, round ->
                shard.targets.forEach { shard.resize(it, if (round % 2 == 0) SMALL else FULL, delayMillis = 300) }
                shard.replaceHolder(handOver = true)
            },
            Row("the holder is replaced while runs take long to stop", stopMillis = 200) { shard, _ ->
                cancelRunning(shard)
                shard.runFor(10)
                shard.replaceHolder(handOver = true)
            },
        )

    /** Cancels two jobs that have runs, so that others get their capacity once these have stopped. */
    private fun cancelRunning(shard: FakeShard) =
        shard.stored.values
            .map { it.spec }
            .filter { shard.runningTasksOf(it) > 0 }
            .take(2)
            .forEach(shard::cancel)

    // Guards against starts that bring a target over its capacity.
    @TestFactory
    fun `starts fit beside what runs or is being stopped`() =
        rows.map { row -> DynamicTest.dynamicTest(row.event) { run(row) } }

    private fun run(row: Row) {
        val shard = FakeShard(List(3) { FakeShardTarget("t$it", guardsCapacity = false) })
        shard.targets.forEach { it.stopMillis = row.stopMillis }
        val jobs = List(120) { job("k$it", tasks = 3, estimateMillis = 400, cpuMillis = 5_000, priority = 2) }
        for ((number, job) in jobs.withIndex()) {
            repeat(3) { shard.actualMillis[TaskKey(job.id, 0, 0, it)] = 150L + (number * 3 + it) * 37 % 500 }
            shard.submitDurable(job)
        }
        repeat(ROUNDS) { round ->
            shard.runFor(INTERVAL_MILLIS)
            row.act(shard, round)
        }
        shard.targets.forEach {
            it.mode = Mode.HEALTHY
            shard.resize(it, FULL, delayMillis = 0)
        }
        shard.runFor(60_000)
        assertTrue(jobs.all { shard.durableJobState(it)?.isEnded == true }, "all jobs have ended")
        assertEquals(0, jobs.count { shard.durableJobState(it) == JobState.FAILED }, "failed jobs")
    }

    private companion object {
        const val ROUNDS = 20
        const val INTERVAL_MILLIS = 350L
        val FULL = Resources(32_000, 65_536)
        val SMALL = Resources(6_000, 65_536)
    }
}
