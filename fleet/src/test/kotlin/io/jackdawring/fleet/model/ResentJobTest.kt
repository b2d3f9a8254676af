package io.jackdawring.fleet.model

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertTrue

/** A caller that gets no answer sends its job again elsewhere; no task may then run twice at the same time. */
class ResentJobTest {
    /** Submits a job that takes long to the instances [ids], one after the other. */
    private fun FakeFleet.submitLong(vararg ids: String) =
        submit(FakeFleet.job("long"), "a", LONG_MILLIS) { submission -> instance(ids[minOf(submission, ids.size) - 1]) }

    /** Runs until all is over, and checks that the caller has sent its job again and that it has run. */
    private fun FakeFleet.settle() {
        run(SETTLE_MILLIS)
        val caller = callers.last()
        assertTrue(caller.submissions >= 2, "submissions of ${caller.job.id.value}: ${caller.submissions}")
        assertTrue(runs.hasBegun(caller.job.id), "${caller.job.id.value} has not run")
    }

    /** Fills the targets of the instance [id] for the next [LONG_MILLIS]. */
    private fun FakeFleet.fill(id: String) {
        val tasks = targets.size / domains * TASKS_PER_TARGET
        submit(FakeFleet.job("busy-$id", tasks), "a", LONG_MILLIS) { instance(id) }
        run(FILL_MILLIS)
    }

    /** Guards against a run in another failure domain that nobody stops after its caller has disconnected. */
    @Test
    fun `a job that another failure domain serves ends when its caller disconnects`() {
        val fleet = FakeFleet(domains = 3, instancesPerDomain = 1, targetsPerDomain = 1)
        fleet.fill("a1")
        fleet.submitLong("a1", "c1")
        fleet.run(100)
        fleet.resetCallers("a1")
        fleet.settle()
    }

    /** Guards against runs of a killed holder that its successor keeps alive although no relay asks for them. */
    @Test
    fun `runs that no relay asks for end before the caller sends the job again`() {
        val fleet = FakeFleet(domains = 2, instancesPerDomain = 1, targetsPerDomain = 1)
        fleet.submitLong("a1", "b1")
        fleet.run(20)
        fleet.kill("a1", restartAfterMillis = 650)
        fleet.settle()
    }

    /** Guards against an adoption time that starts again with each of several successors. */
    @Test
    fun `runs that no relay asks for end in time after several changes of the holder`() {
        val fleet = FakeFleet(domains = 2, instancesPerDomain = 1, targetsPerDomain = 1)
        fleet.submitLong("a1", "b1")
        fleet.run(20)
        fleet.kill("a1", restartAfterMillis = 300)
        fleet.run(800)
        fleet.kill("a1", restartAfterMillis = 200)
        fleet.settle()
    }

    /** Guards against a hand-over that restarts the time for unclaimed runs of the holder before. */
    @TestFactory
    fun `runs that no relay asks for end in time although the successor hands over`() =
        (420L..900L step 80).map { drainMillis ->
            DynamicTest.dynamicTest("handed over $drainMillis ms after the failure of the holder") {
                val fleet = FakeFleet(domains = 2, instancesPerDomain = 3, targetsPerDomain = 1)
                fleet.submit(FakeFleet.job("long"), "a", LASTING_MILLIS) { fleet.instance(if (it == 1) "a1" else "b1") }
                fleet.run(120)
                fleet.kill("a1")
                fleet.run(drainMillis)
                fleet.drain("a2")
                fleet.settle()
            }
        }

    /** Guards against a successor that has never seen the failed holder and counts from the one between. */
    @TestFactory
    fun `runs that no relay asks for end in time at a successor that has never seen their holder`() =
        (300L..700L step 80).map { killMillis ->
            DynamicTest.dynamicTest("the holder between fails $killMillis ms after the first one") {
                val fleet = FakeFleet(domains = 2, instancesPerDomain = 3, targetsPerDomain = 1)
                fleet.kill("a3", restartAfterMillis = 130)
                fleet.submit(FakeFleet.job("long"), "a", LASTING_MILLIS) { fleet.instance(if (it == 1) "a1" else "b1") }
                fleet.run(120)
                fleet.kill("a1")
                fleet.run(killMillis)
                fleet.kill("a2")
                fleet.settle()
            }
        }

    /** Guards against a start order that is carried out after the task was started elsewhere without a confirmed stop. */
    @Test
    fun `a start that was not answered is stopped before the task starts elsewhere`() {
        val fleet = FakeFleet(domains = 2, instancesPerDomain = 1, targetsPerDomain = 1)
        fleet.targetFaults.lateMillis = { 3_000 }
        fleet.silence("a-t1", 2_000)
        fleet.submitLong("a1", "b1")
        fleet.settle()
    }

    /** Guards against a run that begins late and is kept for a job that may claim it, although its holder has not changed. */
    @Test
    fun `a run that begins late on a target of the same holder ends at once`() {
        val fleet = FakeFleet(domains = 2, instancesPerDomain = 1, targetsPerDomain = 1)
        fleet.targetFaults.lateMillis = { RESENT_MILLIS - 200 }
        fleet.silence("a-t1", 2_000)
        fleet.submitLong("a1", "b1")
        fleet.settle()
    }

    /** Guards against a relay that forwards a request which arrived during its pause and whose caller is gone. */
    @Test
    fun `a relay that was paused does not forward a request that its caller has given up`() {
        val fleet = FakeFleet(domains = 2, instancesPerDomain = 2, targetsPerDomain = 1)
        fleet.freeze("a2", RESENT_MILLIS + 20, messagesFirst = false)
        fleet.submitLong("a2", "b1")
        fleet.settle()
    }

    /** Guards against a holder that starts a request which arrived during its pause and whose caller is gone. */
    @Test
    fun `a holder that was paused does not start a request that its caller has given up`() {
        val fleet = FakeFleet(domains = 2, instancesPerDomain = 1, targetsPerDomain = 1)
        fleet.freeze("a1", RESENT_MILLIS + 20)
        fleet.submitLong("a1", "b1")
        fleet.settle()
    }

    /** Guards against a holder that starts jobs which were sent to it during its pause. */
    @Test
    fun `a holder that was paused does not start a job that its relay has given up`() {
        val fleet = FakeFleet(domains = 2, instancesPerDomain = 2, targetsPerDomain = 1)
        fleet.stopStore(SETTLE_MILLIS)
        fleet.freeze("a1", RESENT_MILLIS + 20)
        fleet.submitLong("a2", "b1")
        fleet.settle()
    }

    /** Guards against a holder that starts jobs which a cut network has delayed. */
    @Test
    fun `a holder does not start a job that arrives after its relay has given it up`() {
        val fleet = FakeFleet(domains = 2, instancesPerDomain = 2, targetsPerDomain = 1)
        fleet.stopStore(SETTLE_MILLIS)
        fleet.cut("a1", listOf("a2"), RESENT_MILLIS + 20)
        fleet.submitLong("a2", "b1")
        fleet.settle()
    }

    /** Guards against a job that a cut network delivers although its relay could not take it back. */
    @Test
    fun `a holder does not start a job that was held up by a cut while its relay was paused`() {
        val fleet = FakeFleet(domains = 2, instancesPerDomain = 2, targetsPerDomain = 1)
        fleet.run(1_000)
        fleet.stopStore(SETTLE_MILLIS)
        fleet.cut("a1", listOf("a2"), RESENT_MILLIS + 20)
        fleet.submitLong("a2", "b1")
        fleet.run(5)
        fleet.freeze("a2", RESENT_MILLIS + 500)
        fleet.settle()
    }

    /** Guards against a pause that the holder's clock does not count, so that it believes its caller still waits. */
    @Test
    fun `a holder that was suspended does not start a lapsed run again`() {
        val fleet = FakeFleet(domains = 2, instancesPerDomain = 1, targetsPerDomain = 1)
        fleet.submitLong("a1", "b1")
        fleet.run(20)
        fleet.freeze("a1", RESENT_MILLIS, clockCounts = false)
        fleet.settle()
    }

    /** Guards against ticks that fail because an end that is listed late has completed a task which waits as a late one. */
    @Test
    fun `a run of an earlier submission that is listed late completes a task of a waiting job`() {
        val fleet = FakeFleet(domains = 1, instancesPerDomain = 1, targetsPerDomain = 2)
        // Leaves room for one task, on the target whose answers are lost.
        fleet.submit(FakeFleet.job("first", 7), "a", 300) { fleet.instance("a1") }
        fleet.run(FILL_MILLIS)
        fleet.loseAnswers("a-t1", RESENT_MILLIS + 100)
        fleet.submit(FakeFleet.job("resent", 2), "a", 500) { fleet.instance("a1") }
        fleet.run(RESENT_MILLIS - 400)
        fleet.fill("a1")
        fleet.settle()
    }

    private companion object {
        /** Duration of a task that is still at work when its caller has sent the job again. */
        const val LASTING_MILLIS = 2_800L
        const val LONG_MILLIS = 1_400L
        const val FILL_MILLIS = 50L
        const val TASKS_PER_TARGET = 4

        /** Time from a submission without an answer to the next one. */
        const val RESENT_MILLIS = FakeJobCaller.WAIT_MILLIS + FakeJobCaller.RESEND_MILLIS
        const val SETTLE_MILLIS = 12_000L
    }
}
