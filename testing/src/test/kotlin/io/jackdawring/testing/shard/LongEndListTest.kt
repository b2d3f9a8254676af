package io.jackdawring.testing.shard

import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import io.jackdawring.testing.shard.FakeShard.Companion.job
import io.jackdawring.testing.shard.FakeShardTarget.Mode
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Guards against tasks that run again because their ends are missing in a target's list, which has 500 at a time. */
class LongEndListTest {
    private class Row(
        val name: String,
        val test: () -> Unit,
    )

    private fun shard(targets: Int) = FakeShard(List(targets) { FakeShardTarget("t$it") }).also { it.runFor(50) }

    /** Short tasks of which a target runs several hundred at a time. */
    private fun manyTasks(
        id: String = "k",
        estimateMillis: Long = 60,
    ) = job(id, tasks = 1_200, estimateMillis = estimateMillis, cpuMillis = 100)

    /** Runs until the store has been out for [millis] and for a while after it. */
    private fun runWithoutStore(
        shard: FakeShard,
        millis: Long,
    ) {
        shard.saveMillis = millis
        shard.runFor(millis)
        shard.saveMillis = 5
        shard.runFor(10_000)
    }

    private fun assertDoneOnce(
        shard: FakeShard,
        vararg jobs: JobSpec,
    ) {
        for (job in jobs) assertEquals(JobState.COMPLETED, shard.durableJobState(job))
        val tasks = jobs.sumOf { job -> job.steps.sumOf { it.count } }
        val repeated = shard.starts.size - shard.starts.distinctBy { it.first }.size
        assertEquals(0, repeated, "repeated starts of $tasks tasks")
        assertEquals(tasks, shard.starts.size)
    }

    /** Replaces the holder while its targets have [minEnds] ends or more that are not stored. */
    private fun replaceHolder(
        shard: FakeShard,
        minEnds: Int,
    ) {
        val ends = shard.targets.maxOf { it.unacknowledgedEnds }
        assertTrue(ends >= minEnds, "$ends ends")
        shard.replaceHolder(handOver = true)
        shard.saveMillis = 5
        shard.runFor(10_000)
    }

    private val rows =
        listOf(
            Row("the store is out: ends that are not listed yet do not count as lost runs") {
                val shard = shard(targets = 2)
                val job = manyTasks()
                shard.submitDurable(job)
                runWithoutStore(shard, millis = 4_000)
                assertDoneOnce(shard, job)
            },
            Row("the store is out, several jobs: no task runs again") {
                val shard = shard(targets = 1)
                val jobs = List(3) { manyTasks("k$it") }
                jobs.forEach(shard::submitDurable)
                runWithoutStore(shard, millis = 6_000)
                assertDoneOnce(shard, *jobs.toTypedArray())
            },
            Row("a new holder reads all ends before it starts tasks") {
                val shard = shard(targets = 1)
                val job = manyTasks()
                shard.submitDurable(job)
                shard.saveMillis = 60_000
                shard.runFor(600)
                replaceHolder(shard, minEnds = 501)
                assertDoneOnce(shard, job)
            },
            Row("a new holder whose jobs are loaded after the first list reads all ends before it starts tasks") {
                val shard = shard(targets = 1)
                val jobs = List(2) { manyTasks("k$it") }
                jobs.forEach(shard::submitDurable)
                shard.saveMillis = 60_000
                shard.readMillis = 300
                shard.runFor(600)
                replaceHolder(shard, minEnds = 501)
                assertDoneOnce(shard, *jobs.toTypedArray())
            },
            Row("a job that is complete by its ends in the list ends, so that the target lists those of others") {
                val shard = shard(targets = 1)
                val jobs = List(2) { job("k$it", tasks = 600, estimateMillis = 60, cpuMillis = 50) }
                jobs.forEach(shard::submitDurable)
                shard.saveMillis = 60_000
                shard.runFor(300)
                replaceHolder(shard, minEnds = 501)
                assertDoneOnce(shard, *jobs.toTypedArray())
            },
            Row("a target with many ends falls silent: its tasks run elsewhere after its lease") {
                val shard = shard(targets = 1)
                val job = manyTasks()
                shard.submitDurable(job)
                shard.saveMillis = 60_000
                shard.runFor(600)
                shard.targets.single().mode = Mode.SILENT
                shard.replaceHolder(handOver = true)
                shard.saveMillis = 5
                shard.runFor(2_000)
                shard.restart(shard.targets.single())
                shard.targets.single().mode = Mode.HEALTHY
                shard.runFor(10_000)
                assertEquals(JobState.COMPLETED, shard.durableJobState(job))
            },
            Row("a target whose list of ends is nearly full is not used for jobs that callers wait for") {
                val shard = shard(targets = 1)
                shard.submitDurable(manyTasks())
                shard.saveMillis = 60_000
                shard.runFor(1_000)
                val waiter = shard.submit(job("awaited"))
                shard.runFor(1)
                assertIs<JobOutcome.NotRun>(shard.answers[waiter]?.outcome)
            },
        )

    @TestFactory
    fun `ends that do not fit into a list`() = rows.map { row -> DynamicTest.dynamicTest(row.name) { row.test() } }
}
