package io.jackdawring.testing.shard

import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.testing.shard.FakeShard.Companion.job
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/**
 * Guards against durable runs of a holder without ownership of its shard, and against jobs that callers wait for and that
 * such a holder does not serve.
 */
class ShardOwnershipTest {
    private class Row(
        val name: String,
        val test: FakeShard.() -> Unit,
    )

    private fun FakeShard.assertServed(test: FakeShard.() -> Unit = {}) {
        val job = job("k", tasks = 2, speculative = true)
        val waiter = submit(job)
        test()
        runFor(1_500)
        assertEquals(JobOutcome.Completed, answers[waiter]?.outcome)
    }

    private val rows =
        listOf(
            Row("jobs that callers wait for are served") { assertServed() },
            Row("a task whose run takes long gets a copy") {
                assertServed { actualMillis[TaskKey(job("k").id, 0, 0, 0)] = 250 }
                assertEquals(3, starts.size)
            },
            Row("a successor without durable jobs keeps the runs that it finds until they are claimed") {
                val job = job("k", estimateMillis = 1_500)
                submit(job)
                runFor(100)
                replaceHolder(handOver = true)
                runFor(300)
                val waiter = submit(job, mayRun = true)
                runFor(2_000)
                assertEquals(JobOutcome.Completed, answers[waiter]?.outcome)
                assertEquals(1, starts.size)
            },
            Row(
                "a successor serves callers while it cannot load the stored jobs and targets list ends of earlier runs",
            ) {
                val earlier = List(6) { job("e$it", estimateMillis = 100) }
                earlier.forEach(::submit)
                runFor(50)
                killHolder()
                runFor(100)
                readMillis = 5_000
                replaceHolder()
                val waiters =
                    List(20) {
                        runFor(30)
                        submit(job("k$it", cpuMillis = 1_000), remainingMillis = 1_500)
                    }
                runFor(1_000)
                assertEquals(waiters.map { JobOutcome.Completed }, waiters.map { answers[it]?.outcome })
            },
            Row("targets with results of durable jobs that cannot be stored serve callers once their lease has ended") {
                ownedUntilMillis = nowMillis + 1_000
                saveMillis = 100_000
                val durable = job("d", tasks = 12, estimateMillis = 100, cpuMillis = 8_000)
                actualMillis[TaskKey(durable.id, 0, 0, 11)] = 100_000
                submitDurable(durable)
                runFor(1_000 + LEASE_MILLIS + 100)
                val waiters =
                    List(20) {
                        runFor(30)
                        submit(job("k$it", tasks = 4, cpuMillis = 1_000), remainingMillis = 1_500)
                    }
                runFor(1_000)
                assertEquals(waiters.map { JobOutcome.Completed }, waiters.map { answers[it]?.outcome })
            },
            Row("a durable job starts once there is ownership, and stops when that ends") {
                val job = job("d", tasks = 2, estimateMillis = 10_000)
                submitDurable(job)
                runFor(500)
                assertEquals(0, starts.size)
                ownedUntilMillis = nowMillis + 1_000
                runFor(500)
                assertEquals(2, runningTasksOf(job))
                runFor(600)
                assertEquals(0, runningTasksOf(job))
                ownedUntilMillis = nowMillis + 60_000
                runFor(12_000)
                assertEquals(JobState.COMPLETED, durableJobState(job))
            },
            Row(
                "a holder whose monotonic clock stood still starts what waits, although targets first reject it as late",
            ) {
                ownedUntilMillis = nowMillis + 60_000
                targets.forEach { it.clockOffsetMillis += 5_000 }
                val jobs = List(6) { job("d$it", tasks = 4, estimateMillis = 200, cpuMillis = 8_000) }
                jobs.forEach(::submitDurable)
                runFor(3_000)
                assertEquals(jobs.map { JobState.COMPLETED }, jobs.map(::durableJobState))
            },
            Row("a holder that was paused beyond its ownership renews no lease") {
                val job = job("d", tasks = 2, estimateMillis = 10_000)
                ownedUntilMillis = nowMillis + 1_000
                submitDurable(job)
                runFor(300)
                assertEquals(2, runningTasksOf(job))
                pauseHolder(900)
                runFor(900)
                val leaseEndMillis = nowMillis + LEASE_MILLIS - 900
                while (nowMillis < leaseEndMillis) {
                    runFor(10)
                    if (runningTasksOf(job) == 0) return@Row
                }
                assertEquals(0, runningTasksOf(job))
            },
        )

    @TestFactory
    fun `jobs of a holder without ownership`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                val shard = FakeShard(List(3) { FakeShardTarget("t$it") }, ownedUntilMillis = -1)
                shard.runFor(50)
                row.test(shard)
            }
        }

    private companion object {
        /** Longest time for which a run lasts without a renewed lease. */
        const val LEASE_MILLIS = 1_130L
    }
}
