package io.jackdawring.testing.shard

import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.WaiterId
import io.jackdawring.testing.shard.FakeShard.Companion.job
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.PriorityQueue
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against refused callers that come back together and are refused again, or that later ones overtake. */
class ReturningCallersTest {
    /** One caller, which comes back whenever it is told to; [newJob] gets the id of its next job. */
    private class Caller(
        val name: String,
        val newJob: (String) -> JobSpec,
    ) {
        var waiter: WaiterId? = null
        var refusedAtMillis: Long? = null
        var servedAtMillis: Long? = null
        var lastRefusedAtMillis = 0L
        var refusals = 0
    }

    private class Kind(
        val name: String,
        val perSecond: Double,
        val newJob: (String) -> JobSpec,
    )

    private class Play(
        private val retryMillis: (JobOutcome.NotRun) -> Long,
    ) {
        val shard = FakeShard(List(TARGETS) { FakeShardTarget("t$it") }).also { it.runFor(50) }
        val callers = ArrayList<Caller>()
        private val returns = PriorityQueue<Pair<Long, Caller>>(compareBy { it.first })
        private val open = ArrayList<Caller>()

        fun run(
            millis: Long,
            kinds: List<Kind>,
        ) {
            val due = DoubleArray(kinds.size)
            repeat(millis.toInt()) {
                while (returns.isNotEmpty() && returns.first().first <= shard.nowMillis) submit(returns.poll().second)
                kinds.forEachIndexed { index, kind ->
                    due[index] += kind.perSecond / 1_000
                    while (due[index] >= 1) {
                        due[index] -= 1.0
                        submit(Caller("${kind.name}${callers.size}", kind.newJob).also(callers::add))
                    }
                }
                shard.runFor(1)
                open.toList().forEach(::check)
            }
        }

        private fun submit(caller: Caller) {
            caller.waiter = shard.submit(caller.newJob("${caller.name}-${caller.refusals}"))
            open.add(caller)
            check(caller)
        }

        private fun check(caller: Caller) {
            val answer = shard.answers[caller.waiter] ?: return
            open.remove(caller)
            when (val outcome = answer.outcome) {
                is JobOutcome.Completed -> caller.servedAtMillis = answer.atMillis
                is JobOutcome.NotRun -> {
                    caller.refusals++
                    caller.lastRefusedAtMillis = answer.atMillis
                    caller.refusedAtMillis = caller.refusedAtMillis ?: answer.atMillis
                    returns.add(answer.atMillis + retryMillis(outcome) to caller)
                }
                else -> Unit
            }
        }

        val returning get() = callers.filter { it.refusals > 0 }
    }

    private fun burst(
        retryMillis: (JobOutcome.NotRun) -> Long,
        kinds: List<Kind>,
    ): Play {
        val play = Play(retryMillis)
        play.run(BURST_MILLIS, kinds.map { Kind(it.name, it.perSecond * BURST, it.newJob) })
        play.run(30_000, kinds.map { Kind(it.name, it.perSecond * AFTERWARDS, it.newJob) })
        return play
    }

    private val rows =
        mapOf(
            "narrow jobs" to listOf(Kind("n", 60.0) { job(it, tasks = 2, estimateMillis = 60) }),
            "wide jobs" to listOf(Kind("w", 15.0) { job(it, tasks = 8, estimateMillis = 60) }),
            "narrow and wide jobs of one priority" to
                listOf(
                    Kind("n", 30.0) { job(it, tasks = 2, estimateMillis = 60, queue = "narrow") },
                    Kind("w", 7.5) { job(it, tasks = 8, estimateMillis = 60, queue = "wide") },
                ),
        )

    @TestFactory
    fun `callers that come back when told are served in the order of their refusals`() =
        rows.map { (name, kinds) ->
            DynamicTest.dynamicTest(name) {
                val play = burst({ it.retryAfterMillis }, kinds)
                // The former rule: the time by which the forecast exceeds the objective, in whole seconds.
                val former = burst({ maxOf(1, (maxOf(0, it.lateMillis ?: 0) + 999) / 1_000) * 1_000 }, kinds)
                assertEquals(0, play.returning.count { it.servedAtMillis == null }, "returning callers not served")
                assertEquals(0, lateWave(play), "refused again after the burst")
                val again = "${again(play)} of ${play.returning.size} refused again, formerly ${again(former)}"
                assertTrue(again(play) * 10 <= play.returning.size, again)
                assertTrue(inversion(play) <= ORDER_MILLIS, "served ${inversion(play)} ms before an earlier one")
                assertTrue(again(former) * 2 >= former.returning.size, again)
            }
        }

    /** Returning callers that were refused again, most of them because the burst lasted longer than their wait. */
    private fun again(play: Play) = play.returning.count { it.refusals > 1 }

    private fun lateWave(play: Play) = play.returning.count { it.refusals > 1 && it.lastRefusedAtMillis > BURST_MILLIS }

    /** The longest time by which a caller was served before one that was refused earlier; both came back once. */
    private fun inversion(play: Play): Long {
        var latest = 0L
        var longest = 0L
        for (caller in play.returning.filter { it.refusals == 1 }.sortedBy { it.refusedAtMillis }) {
            val served = caller.servedAtMillis ?: continue
            longest = maxOf(longest, latest - served)
            latest = maxOf(latest, served)
        }
        return longest
    }

    private companion object {
        const val TARGETS = 4
        const val BURST_MILLIS = 2_000L

        /** The second that a whole number of seconds leaves open, and the wait of an admitted job. */
        const val ORDER_MILLIS = 1_500L

        /** Load of the burst, and afterwards, as a factor of what the targets can serve. */
        const val BURST = 3.0
        const val AFTERWARDS = 0.3
    }
}
