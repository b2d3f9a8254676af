package io.jackdawring.testing.shard

import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.testing.shard.FakeShard.Companion.job
import io.jackdawring.testing.shard.FakeShardTarget.Mode
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tasks that crash their targets, and targets that crash or fall silent under sound tasks. */
class TargetCrashTest {
    /** A shard of [targets] targets in which the first task of a job crashes its targets. */
    private class Row(
        val targets: Int,
        val downMillis: Long,
        val delayMillis: Long = 10,
        val longRunning: Boolean = false,
        /** Times of holder replacements after the submission. */
        val replacedAtMillis: List<Long> = emptyList(),
        val handOver: Boolean = true,
        /** Whether another target has the address of a crashed one. */
        val replacesTargets: Boolean = false,
    ) {
        val name =
            "$targets targets, down for $downMillis ms, crash after $delayMillis ms" +
                (if (longRunning) ", long-running" else "") +
                (if (replacedAtMillis.isEmpty()) "" else ", holder replaced at $replacedAtMillis ms") +
                (if (handOver) "" else " without a hand-over") +
                (if (replacesTargets) ", another target at the address" else "")

        fun run() {
            val shard = shard(targets)
            shard.crashes.downMillis = downMillis
            shard.crashes.replacesTargets = replacesTargets
            val job = job("k", longRunning = longRunning)
            shard.crashes.add(firstTask(job), delayMillis)
            shard.submitDurable(job)
            repeat(LIMIT_MILLIS) { millis ->
                if (millis.toLong() in replacedAtMillis) shard.replaceHolder(handOver = handOver)
                shard.runFor(1)
            }
            val starts = shard.crashes.startsAfterBudget(firstTask(job))
            assertTrue(starts < FORBIDDEN_START, "$starts starts after three targets had crashed under the task")
            assertEquals(JobState.FAILED, shard.durableJobState(job))
        }
    }

    private val crashingTasks =
        listOf(2, 3, 5, 8).flatMap { targets ->
            listOf(
                Row(targets, downMillis = 50),
                Row(targets, downMillis = 1_000),
                Row(targets, downMillis = 4_000),
                Row(targets, downMillis = 10_000),
                Row(targets, downMillis = 20_000),
                Row(targets, downMillis = 4_000, delayMillis = 0),
                Row(targets, downMillis = 4_000, longRunning = true),
                Row(targets, downMillis = 10_000, longRunning = true),
            )
        } +
            Row(targets = 8, downMillis = 50, replacesTargets = true) +
            Row(targets = 8, downMillis = 4_000, replacesTargets = true)

    private val replacedHolders =
        listOf(3, 6).flatMap { targets ->
            listOf(
                listOf(500L),
                listOf(1_200L),
                listOf(1_111L),
                listOf(3_000L),
                listOf(5_000L),
                listOf(1_200L, 3_600L),
                listOf(3_000L, 9_000L),
                listOf(5_000L, 12_000L),
            ).flatMap { at ->
                listOf(
                    Row(targets, downMillis = 4_000, replacedAtMillis = at),
                    Row(targets, downMillis = 10_000, replacedAtMillis = at),
                    Row(targets, downMillis = 4_000, replacedAtMillis = at, handOver = false),
                    Row(targets, downMillis = 4_000, longRunning = true, replacedAtMillis = at),
                )
            }
        }

    // Guards against a task that crashes one target after another without an end.
    @TestFactory
    fun `a task that crashes its targets ends as failed after few starts`() =
        crashingTasks.map { DynamicTest.dynamicTest(it.name) { it.run() } }

    // Guards against a new holder that does not know the crashes under its predecessors.
    @TestFactory
    fun `a replaced holder does not start a task that crashes its targets again and again`() =
        replacedHolders.map { DynamicTest.dynamicTest(it.name) { it.run() } }

    // Guards against a job that fails because its targets were cut off.
    @TestFactory
    fun `targets that are cut off several times under a task do not fail its job`() =
        listOf(1_500L, 3_000L, 8_000L, 20_000L).flatMap { silentMillis ->
            listOf(false, true).map { isReplaced ->
                DynamicTest.dynamicTest("silent for $silentMillis ms, holder replaced: $isReplaced") {
                    cutOffRepeatedly(silentMillis, isReplaced)
                }
            }
        }

    private fun cutOffRepeatedly(
        silentMillis: Long,
        isReplaced: Boolean,
    ) {
        val shard = shard(count = 6)
        val job = job("k", estimateMillis = 3_000)
        shard.submitDurable(job)
        var cuts = 0
        val returns = HashMap<FakeShardTarget, Long>()
        repeat(LIMIT_MILLIS) {
            returns.filterValues { it <= shard.nowMillis }.keys.forEach { target ->
                target.mode = Mode.HEALTHY
                returns.remove(target)
            }
            val target = shard.targets.firstOrNull { it.runs.isNotEmpty() && it.mode == Mode.HEALTHY }
            if (target != null && cuts < CUTS && it % CUT_INTERVAL_MILLIS == 0) {
                cuts++
                target.mode = Mode.SILENT
                returns[target] = shard.nowMillis + silentMillis
            }
            if (isReplaced && it % REPLACEMENT_INTERVAL_MILLIS == 0) shard.replaceHolder(handOver = true)
            shard.runFor(1)
        }
        assertEquals(CUTS, cuts, "targets cut off")
        assertEquals(JobState.COMPLETED, shard.durableJobState(job))
    }

    // Guards against sound jobs that fail or stay open because a task beside theirs crashes targets.
    @TestFactory
    fun `jobs beside a task that crashes its targets complete`() =
        listOf(3, 5, 8).flatMap { targets ->
            listOf(4_000L, 10_000L).map { downMillis ->
                DynamicTest.dynamicTest("$targets targets, down for $downMillis ms") { runBeside(targets, downMillis) }
            }
        }

    private fun runBeside(
        targets: Int,
        downMillis: Long,
    ) {
        val shard = shard(targets)
        shard.crashes.downMillis = downMillis
        val crashing = job("crashing", cpuMillis = 4_000)
        shard.crashes.add(firstTask(crashing), delayMillis = 10)
        val jobs = List(60) { job("k$it", tasks = 3, estimateMillis = 300, cpuMillis = 4_000) }
        for ((index, job) in jobs.withIndex()) {
            shard.submitDurable(job)
            if (index == jobs.size / 3) shard.submitDurable(crashing)
            shard.runFor(100)
        }
        shard.runFor(LIMIT_MILLIS.toLong())
        assertEquals(emptyList(), jobs.filter { shard.durableJobState(it) != JobState.COMPLETED }.map { it.id })
        assertEquals(JobState.FAILED, shard.durableJobState(crashing))
        val lost = jobs.filter { job -> (0..2).any { shard.crashes.crashesUnder(TaskKey(job.id, 0, 0, it)) > 2 } }
        assertEquals(emptyList(), lost, "jobs that lost three runs of a task")
        val starts = shard.crashes.startsAfterBudget(firstTask(crashing))
        assertTrue(starts < FORBIDDEN_START, "$starts starts after three targets had crashed under the task")
    }

    // Guards against a long-running job that fails because of crashes that its tasks do not cause.
    @TestFactory
    fun `a long-running task survives any number of crashes that happen long after its starts`() =
        listOf(50L, 4_000L).map { downMillis ->
            DynamicTest.dynamicTest("down for $downMillis ms") {
                val shard = shard(count = 4)
                val job = job("k", longRunning = true)
                shard.actualMillis[firstTask(job)] = LIMIT_MILLIS.toLong()
                shard.submitDurable(job)
                repeat(5) {
                    shard.runFor(9_000)
                    shard.restart(shard.targets.single { it.runs.isNotEmpty() }, downMillis)
                }
                shard.runFor(3_000)
                assertEquals(JobState.RUNNING, shard.durableJobState(job))
                assertEquals(1, shard.runningTasks)
            }
        }

    // Guards against an awaited job that crashes targets beyond its deadline.
    @TestFactory
    fun `an awaited job that crashes its targets ends by its deadline`() =
        listOf(50L, 4_000L).map { downMillis ->
            DynamicTest.dynamicTest("down for $downMillis ms") {
                val shard = shard(count = 4)
                shard.crashes.downMillis = downMillis
                val job = job("k")
                shard.crashes.add(firstTask(job), delayMillis = 10)
                val waiter = shard.submit(job, remainingMillis = 1_500)
                shard.runFor(20_000)
                val outcome = shard.answers.getValue(waiter).outcome
                assertTrue(outcome is JobOutcome.GivenUp || outcome is JobOutcome.Failed, "$outcome")
                assertTrue(shard.answers.getValue(waiter).atMillis <= 1_600)
                assertTrue(shard.crashes.startsAfterBudget(firstTask(job)) < FORBIDDEN_START)
            }
        }

    private companion object {
        const val LIMIT_MILLIS = 60_000

        /** The third start of a task after three targets have crashed under it breaks the users' rule. */
        const val FORBIDDEN_START = 3

        /** Number of times that the target of a task is cut off, and the interval between two cuts. */
        const val CUTS = 5
        const val CUT_INTERVAL_MILLIS = 500
        const val REPLACEMENT_INTERVAL_MILLIS = 4_700

        fun shard(count: Int) = FakeShard(List(count) { FakeShardTarget("t$it") }).also { it.runFor(50) }

        fun firstTask(job: JobSpec) = TaskKey(job.id, 0, 0, 0)
    }
}
