package io.jackdawring.testing.shard

import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.ShardDecision
import io.jackdawring.testing.shard.FakeShard.Companion.job
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/**
 * Guards against a paused holder that counts from the time at which it reads that a caller has gone.
 *
 * A caller without an answer sends its job again after [RESEND_MILLIS], to any failure domain.
 */
class WithdrawalAfterPauseTest {
    private fun shard() = FakeShard(List(2) { FakeShardTarget("t$it") }).also { it.runFor(RESEND_MILLIS) }

    private val spec = job("a", tasks = 4, estimateMillis = 8_000)

    /** Plays a pause, and the caller leaving [leavesAfterMillis] after its beginning. */
    private fun play(
        pauseMillis: Long,
        leavesAfterMillis: Long,
        losesFirstStop: Boolean,
        phaseMillis: Long = 0,
    ) {
        val shard = shard()
        val waiter = shard.submit(spec, remainingMillis = 10_000)
        shard.runFor(400 + phaseMillis)
        shard.targets.forEach { it.losesFirstStops = losesFirstStop }
        val pausedAtMillis = shard.nowMillis + 200
        val leftAtMillis = pausedAtMillis + leavesAfterMillis
        while (shard.nowMillis < leftAtMillis + RESEND_MILLIS + REST_MILLIS) {
            if (shard.nowMillis == leftAtMillis) shard.withdraw(waiter)
            if (shard.nowMillis == pausedAtMillis) shard.pauseHolder(pauseMillis)
            val isOver = shard.nowMillis >= leftAtMillis + RESEND_MILLIS
            if (isOver) assertEquals(0, shard.runningTasks, "runs ${shard.nowMillis - leftAtMillis} ms later")
            shard.runFor(1)
        }
    }

    @TestFactory
    fun `runs are over before the caller sends the job again`() =
        PAUSES.flatMap { pauseMillis ->
            listOf(-140L, -100, -50, -10, 1, 10, 50, 100, 200, 300, 390).flatMap { leavesAfterMillis ->
                listOf(false, true).map { losesFirstStop ->
                    val suffix = if (losesFirstStop) ", the first stop is lost" else ""
                    DynamicTest.dynamicTest("$pauseMillis ms, caller left after $leavesAfterMillis ms$suffix") {
                        play(pauseMillis, leavesAfterMillis, losesFirstStop)
                    }
                }
            }
        }

    /** Guards against runs whose leases were renewed just before the pause, and again after it. */
    @TestFactory
    fun `runs that last through the pause are over before the caller sends the job again`() =
        listOf(900L, 930, 950, 970, 985).flatMap { pauseMillis ->
            listOf(1L, 10, 20, 40).map { leavesAfterMillis ->
                DynamicTest.dynamicTest("$pauseMillis ms, caller left after $leavesAfterMillis ms") {
                    // One of the phases has polls just before the pause.
                    for (phaseMillis in 0L..400 step 10) {
                        play(pauseMillis, leavesAfterMillis, losesFirstStop = true, phaseMillis)
                    }
                }
            }
        }

    /** Guards against a job that is dropped because its relay's new connection is read a little later. */
    @TestFactory
    fun `a job is kept whose relay replaced its connection during the pause`() =
        PAUSES.flatMap { pauseMillis ->
            listOf(0L, 10, 30, 45).map { readAfterMillis ->
                val name = "paused for $pauseMillis ms, the new connection is read $readAfterMillis ms after that"
                DynamicTest.dynamicTest(name) {
                    val shard = shard()
                    val waiter = shard.submit(spec, remainingMillis = 12_000)
                    shard.runFor(600)
                    shard.pauseHolder(pauseMillis)
                    shard.runFor(50)
                    shard.withdraw(waiter)
                    shard.runFor(pauseMillis - 50 + readAfterMillis)
                    val again = shard.submit(spec, remainingMillis = 12_000, mayRun = true)
                    shard.runFor(9_000)
                    assertEquals(JobOutcome.Completed, shard.answers[again]?.outcome)
                    // Leases may have ended during the pause, so that tasks run again; nobody has stopped any.
                    val stops = shard.decisions.filterIsInstance<ShardDecision.RunStopRequested>()
                    assertEquals(emptyList(), stops)
                }
            }
        }

    private companion object {
        /** Time after which a caller sends a job again whose try has ended. */
        const val RESEND_MILLIS = 1_300L

        /** Time for which no run may come back. */
        const val REST_MILLIS = 300L

        /** On both sides of the shortest pause that is noticed (500) and of a lease (1,000). */
        val PAUSES = listOf(400L, 450, 490, 510, 550, 600, 700, 800, 900, 950, 1_000, 1_050)
    }
}
