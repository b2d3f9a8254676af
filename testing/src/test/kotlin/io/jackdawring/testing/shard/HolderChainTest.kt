package io.jackdawring.testing.shard

import io.jackdawring.core.shard.ShardDecision
import io.jackdawring.core.shard.WaiterId
import io.jackdawring.testing.shard.FakeShard.Companion.job
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/**
 * Guards against runs that outlive their job's request because each holder of a chain counts from its own start.
 *
 * A caller without an answer sends its job again after [RESEND_MILLIS], to any failure domain.
 */
class HolderChainTest {
    private enum class Change { HAND_OVER, KILL }

    private class Chain(
        val name: String,
        val first: Change,
        val second: Change,
    )

    private val chains =
        listOf(
            Chain("hand-over, hand-over", Change.HAND_OVER, Change.HAND_OVER),
            Chain("kill, hand-over", Change.KILL, Change.HAND_OVER),
            Chain("hand-over, kill", Change.HAND_OVER, Change.KILL),
        )

    /** When the caller leaves, and the second change [afterMillis] later or, for the last two, before. */
    private enum class Leaving(
        val text: String,
        /** Whether a relay sends the job to each new holder while the caller waits. */
        val isClaimed: Boolean,
    ) {
        BEFORE("the caller left before both", false),
        BETWEEN("the caller left in between, without a claim", false),
        BETWEEN_CLAIMED("the caller left in between, after a claim", true),
        AFTER("the caller left after both, without a claim", false),
        AFTER_CLAIMED("the caller left after both, after claims", true),
    }

    private enum class Fault(
        val text: String,
        val pauseMillis: Long = 0,
    ) {
        NONE("no other fault"),
        FIRST_STOP_LOST("the first stop is lost"),
        PAUSE_300("the last holder pauses for 300 ms at the stop", 300),
        PAUSE_600("the last holder pauses for 600 ms at the stop", 600),
        PAUSE_1000("the last holder pauses for 1,000 ms at the stop", 1_000),
    }

    /** One course of events; times are relative to the moment at which the first holder runs the tasks. */
    private class Play(
        private val chain: Chain,
        leaving: Leaving,
        afterMillis: Long,
        private val fault: Fault,
        isYoung: Boolean,
        private val pauseAtMillis: Long? = null,
    ) {
        private val shard = FakeShard(List(2) { FakeShardTarget("t$it") })
        private val spec = job("a", tasks = 4, estimateMillis = 8_000)
        private val events = HashMap<Long, ArrayList<() -> Unit>>()
        private var waiter: WaiterId
        private var changes = 0
        private var servedAtMillis: Long? = null
        private val leavesAtMillis: Long

        /** Time of the first stop that the last holder requested; null if it has requested none. */
        var stopAtMillis: Long? = null
            private set

        init {
            shard.runFor(if (isYoung) 50 else RESEND_MILLIS)
            waiter = shard.submit(spec, remainingMillis = 10_000)
            shard.runFor(450)
            shard.targets.forEach { it.losesFirstStops = fault == Fault.FIRST_STOP_LOST }
            val firstAtMillis: Long
            val secondAtMillis: Long
            when (leaving) {
                Leaving.BEFORE -> {
                    leavesAtMillis = START_MILLIS
                    firstAtMillis = START_MILLIS + afterMillis / 2
                    secondAtMillis = START_MILLIS + afterMillis
                }
                Leaving.BETWEEN, Leaving.BETWEEN_CLAIMED -> {
                    leavesAtMillis = START_MILLIS + 50
                    firstAtMillis = START_MILLIS
                    secondAtMillis = leavesAtMillis + afterMillis
                }
                Leaving.AFTER, Leaving.AFTER_CLAIMED -> {
                    firstAtMillis = START_MILLIS
                    secondAtMillis = START_MILLIS + afterMillis
                    leavesAtMillis = secondAtMillis + 50
                }
            }
            at(leavesAtMillis) { shard.withdraw(waiter) }
            change(chain.first, firstAtMillis, leaving.isClaimed)
            change(chain.second, secondAtMillis, leaving.isClaimed)
        }

        private fun at(
            millis: Long,
            action: () -> Unit,
        ) = events.getOrPut(millis) { ArrayList() }.add(action)

        /** A killed holder was pinged [PING_MILLIS] before, and is replaced [SUSPECT_MILLIS] later, [atMillis]. */
        private fun change(
            change: Change,
            atMillis: Long,
            isClaimed: Boolean,
        ) {
            if (change == Change.KILL) {
                val killedAtMillis = maxOf(atMillis - SUSPECT_MILLIS, 0)
                at(maxOf(killedAtMillis - PING_MILLIS, 0)) { servedAtMillis = shard.servedAtMillis() }
                at(killedAtMillis) { shard.killHolder() }
            }
            at(atMillis) {
                changes++
                if (change == Change.KILL) {
                    shard.replaceHolder(seenAtMillis = servedAtMillis)
                } else {
                    shard.replaceHolder(handOver = true)
                }
            }
            if (isClaimed && atMillis + CLAIM_MILLIS < leavesAtMillis) {
                at(atMillis + CLAIM_MILLIS) { waiter = shard.submit(spec, remainingMillis = 10_000, mayRun = true) }
            }
        }

        /** Plays until all runs have to be over, and returns how many go on then or later. */
        fun run(): Int {
            var late = 0
            for (millis in 0L..leavesAtMillis + RESEND_MILLIS + REST_MILLIS) {
                events[millis]?.forEach { it() }
                if (millis == pauseAtMillis) shard.pauseHolder(fault.pauseMillis)
                val stopsBefore = stops()
                if (millis >= leavesAtMillis + RESEND_MILLIS) late = maxOf(late, shard.runningTasks)
                shard.runFor(1)
                if (changes == 2 && stopAtMillis == null && stops() > stopsBefore) stopAtMillis = millis
            }
            return late
        }

        private fun stops() = shard.decisions.count { it is ShardDecision.RunStopRequested }
    }

    @TestFactory
    fun `runs are over before the caller sends the job again, whoever holds the shard by then`() =
        chains.flatMap { chain ->
            Leaving.entries.flatMap { leaving ->
                Fault.entries.flatMap { fault -> STEPS.map { test(chain, leaving, it, fault) } }
            }
        }

    /** Guards against a holder that takes the time before its first job for one in which callers may have gone. */
    @TestFactory
    fun `runs are over before the caller sends the job again if the first holder has just begun`() =
        chains.flatMap { chain ->
            Leaving.entries.flatMap { leaving ->
                STEPS.map { test(chain, leaving, it, Fault.FIRST_STOP_LOST, isYoung = true) }
            }
        }

    private fun test(
        chain: Chain,
        leaving: Leaving,
        afterMillis: Long,
        fault: Fault,
        isYoung: Boolean = false,
    ) = DynamicTest.dynamicTest("${chain.name}; ${leaving.text}; $afterMillis ms; ${fault.text}") {
        // What happens up to the stop does not depend on the pause.
        val dry = if (fault.pauseMillis == 0L) null else Play(chain, leaving, afterMillis, fault, isYoung)
        dry?.run()
        val play = Play(chain, leaving, afterMillis, fault, isYoung, dry?.stopAtMillis)
        assertEquals(0, play.run(), "runs when the job may start elsewhere")
    }

    private fun shard() = FakeShard(List(2) { FakeShardTarget("t$it") }).also { it.runFor(RESEND_MILLIS) }

    private fun FakeShard.submitLong(mayRun: Boolean = false) =
        submit(job("a", tasks = 4, estimateMillis = 8_000), remainingMillis = 10_000, mayRun = mayRun)

    /** Lets the caller of a long job leave while stops are lost; returns when, [afterMillis] later. */
    private fun FakeShard.leaveWithLostStops(afterMillis: Long): Long {
        val waiter = submitLong()
        runFor(500)
        val leftAtMillis = nowMillis
        withdraw(waiter)
        targets.forEach { it.losesStops = true }
        runFor(afterMillis)
        return leftAtMillis
    }

    /** Asserts that nothing runs [RESEND_MILLIS] after [leftAtMillis] and later. */
    private fun FakeShard.assertOverInTime(leftAtMillis: Long) {
        runFor(maxOf(0, leftAtMillis + RESEND_MILLIS - nowMillis))
        repeat(REST_MILLIS.toInt()) {
            assertEquals(0, runningTasks, "runs ${nowMillis - leftAtMillis} ms after the caller has left")
            runFor(1)
        }
    }

    /** Guards against a successor that does not know of a stop which was requested, but not answered. */
    @TestFactory
    fun `a stop is unanswered at the hand-over`() =
        listOf(160L, 200, 300, 400, 450, 500, 600, 700, 800, 900, 1_000, 1_100).flatMap { afterMillis ->
            listOf(1, 2).map { handOvers ->
                DynamicTest.dynamicTest("$handOvers hand-overs, the first $afterMillis ms after the caller left") {
                    val shard = shard()
                    val leftAtMillis = shard.leaveWithLostStops(afterMillis)
                    repeat(handOvers) {
                        shard.replaceHolder(handOver = true)
                        shard.runFor(50)
                    }
                    shard.targets.forEach { it.losesStops = false }
                    shard.assertOverInTime(leftAtMillis)
                }
            }
        }

    /** Guards against a chain in which the time since which nobody waits for a job is replaced by that of a hand-over. */
    @TestFactory
    fun `a stop is unanswered at a hand-over, and its receiver is killed`() =
        listOf(200L, 300, 400, 500, 600, 700).map { afterMillis ->
            DynamicTest.dynamicTest("handed over $afterMillis ms after the caller left") {
                val shard = shard()
                val leftAtMillis = shard.leaveWithLostStops(afterMillis)
                shard.replaceHolder(handOver = true)
                shard.runFor(50)
                val seenAtMillis = shard.servedAtMillis()
                shard.killHolder()
                shard.runFor(SUSPECT_MILLIS)
                shard.replaceHolder(seenAtMillis = seenAtMillis)
                shard.targets.forEach { it.losesStops = false }
                shard.assertOverInTime(leftAtMillis)
            }
        }

    /** Guards against a holder that says that all callers wait although it has not read what arrived during its pause. */
    @TestFactory
    fun `a holder that wakes says what it knew before its pause`() =
        listOf(400L, 510, 600, 700, 800, 900).flatMap { pauseMillis ->
            listOf(Change.HAND_OVER, Change.KILL).map { change ->
                val name = if (change == Change.KILL) "it answers a ping and is killed" else "it hands the shard over"
                DynamicTest.dynamicTest("paused for $pauseMillis ms, then $name") {
                    val shard = shard()
                    val waiter = shard.submitLong()
                    shard.runFor(500)
                    shard.pauseHolder(pauseMillis)
                    shard.runFor(10)
                    val leftAtMillis = shard.nowMillis
                    // The new holder comes before the reading.
                    shard.runFor(pauseMillis - 10 - 1)
                    val seenAtMillis = shard.servedAtMillis()
                    if (change == Change.KILL) {
                        shard.killHolder()
                        shard.withdraw(waiter)
                        shard.runFor(SUSPECT_MILLIS)
                        shard.replaceHolder(seenAtMillis = seenAtMillis)
                    } else {
                        shard.replaceHolder(handOver = true)
                    }
                    shard.assertOverInTime(leftAtMillis)
                }
            }
        }

    /** Guards against a successor that counts from the arrival of a hand-over which was held up. */
    @TestFactory
    fun `a hand-over is held up`() =
        listOf(100L, 200, 300, 400, 450, 500).flatMap { heldUpMillis ->
            listOf(0L, 100, 200, 400).map { afterMillis ->
                val name = "for $heldUpMillis ms, second hand-over $afterMillis ms later"
                DynamicTest.dynamicTest(name) {
                    val shard = shard()
                    shard.submitLong()
                    shard.runFor(500)
                    val leftAtMillis = shard.nowMillis
                    // The relay's connection breaks together with the holder's, so the holder does not learn of it.
                    val offer = shard.handOver()
                    shard.runFor(heldUpMillis)
                    shard.replaceHolder(handOver = true, offer = offer, madeAtMillis = leftAtMillis)
                    shard.runFor(afterMillis)
                    if (afterMillis > 0) shard.replaceHolder(handOver = true)
                    shard.assertOverInTime(leftAtMillis)
                }
            }
        }

    /** Guards against runs that are found when their job is no longer known, because it was given up meanwhile. */
    @TestFactory
    fun `a job is given up while it waits for earlier runs, which are found later`() =
        listOf("its caller left", "its relay fell silent", "its deadline passed").flatMap { reason ->
            listOf(200L, 400, 500, 600, 700, 800).flatMap { afterMillis ->
                listOf(false, true).map { isThird ->
                    val finder = if (isThird) "the third holder" else "the second holder"
                    DynamicTest.dynamicTest("$reason, found by $finder $afterMillis ms later") {
                        val shard = shard()
                        shard.submitLong()
                        shard.runFor(500)
                        val seenAtMillis = shard.servedAtMillis()
                        shard.killHolder()
                        shard.runFor(50)
                        shard.replaceHolder(listed = shard.targets.take(1), seenAtMillis = seenAtMillis)
                        shard.runFor(20)
                        val spec = job("a", tasks = 4, estimateMillis = 8_000)
                        val remainingMillis = if (reason == "its deadline passed") 30L else 10_000
                        val waiter = shard.submit(spec, remainingMillis, mayRun = true)
                        shard.runFor(30)
                        val leftAtMillis = shard.nowMillis
                        if (reason == "its caller left") shard.withdraw(waiter)
                        if (reason == "its relay fell silent") shard.expire(waiter)
                        shard.runFor(afterMillis)
                        if (isThird) {
                            shard.replaceHolder(handOver = true)
                        } else {
                            shard.list(shard.targets.map { it.registration })
                        }
                        shard.assertOverInTime(leftAtMillis)
                    }
                }
            }
        }

    /** Guards against the runs of an adopter's time, and of the time before it, that outlast their caller's return. */
    @TestFactory
    fun `the last holder pauses when it has found the runs`() =
        listOf(50L, 100, 140, 200, 300, 400, 600).flatMap { afterMillis ->
            listOf(300L, 600, 1_000).map { pauseMillis ->
                val name = "$afterMillis ms after the caller left, for $pauseMillis ms"
                DynamicTest.dynamicTest(name) {
                    val shard = shard()
                    val leftAtMillis = shard.leaveWithLostStops(afterMillis)
                    shard.replaceHolder(handOver = true)
                    shard.runFor(5)
                    shard.pauseHolder(pauseMillis)
                    shard.runFor(pauseMillis)
                    shard.targets.forEach { it.losesStops = false }
                    shard.assertOverInTime(leftAtMillis)
                }
            }
        }

    /** Guards against a holder without news of its predecessor that keeps its runs for a whole lease. */
    @TestFactory
    fun `a holder that has never seen its predecessor pauses at the stop`() =
        listOf(500L, 700, 900, 950).flatMap { takeOverMillis ->
            listOf(0L, 300, 600, 1_000).map { pauseMillis ->
                DynamicTest.dynamicTest("taken over after $takeOverMillis ms, paused for $pauseMillis ms") {
                    val shard = shard()
                    shard.submitLong()
                    shard.runFor(500)
                    val leftAtMillis = shard.nowMillis
                    shard.killHolder()
                    shard.runFor(takeOverMillis)
                    shard.replaceHolder(seenAtMillis = null)
                    shard.runFor(140)
                    if (pauseMillis > 0) shard.pauseHolder(pauseMillis)
                    shard.assertOverInTime(leftAtMillis)
                }
            }
        }

    /** Guards against claimed runs that end because the lease was limited while nobody had claimed them. */
    @TestFactory
    fun `claimed runs go on although they were found late`() =
        listOf(600L, 700, 800, 850, 900, 950).flatMap { takeOverMillis ->
            listOf(20L, 50, 100).map { claimMillis ->
                DynamicTest.dynamicTest("taken over after $takeOverMillis ms, claimed $claimMillis ms later") {
                    // In some of the phases, the killed holder has renewed the leases just before.
                    val goneOn = (0L..400 step 10).map { playClaim(takeOverMillis, claimMillis, it) }
                    assertEquals(true, goneOn.any { it }, "there is a phase in which the runs last until then")
                }
            }
        }

    /** Returns whether the leases have lasted until the take-over. */
    private fun playClaim(
        takeOverMillis: Long,
        claimMillis: Long,
        phaseMillis: Long,
    ): Boolean {
        val shard = shard()
        shard.submitLong()
        shard.runFor(500 + phaseMillis)
        val seenAtMillis = shard.servedAtMillis()
        shard.runFor(10)
        shard.killHolder()
        shard.runFor(takeOverMillis)
        shard.replaceHolder(seenAtMillis = seenAtMillis)
        shard.runFor(claimMillis)
        if (shard.runningTasks == 0) return false
        shard.submitLong(mayRun = true)
        shard.runFor(2_000)
        assertEquals(4, shard.starts.size, "starts, phase $phaseMillis")
        return true
    }

    private companion object {
        /** Time after which a caller sends a job again whose try has ended. */
        const val RESEND_MILLIS = 1_300L

        /** Time from the beginning of a play to the first event. */
        const val START_MILLIS = 400L
        const val PING_MILLIS = 50L
        const val SUSPECT_MILLIS = 300L

        /** Time in which a relay sends a job to a new holder. */
        const val CLAIM_MILLIS = 30L

        /** Time for which no run may come back. */
        const val REST_MILLIS = 300L

        /** Around the waits for a relay (150), an unclaimed run (900, 1,150) and the caller (1,300). */
        val STEPS =
            listOf(50L, 100, 150, 200, 250, 400, 600, 800, 850, 900) +
                listOf(950L, 1_000, 1_050, 1_100, 1_150, 1_200, 1_250, 1_300, 1_350, 1_400)
    }
}
