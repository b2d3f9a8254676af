package io.jackdawring.testing

import io.jackdawring.core.EntryOptions
import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.FailureReason
import io.jackdawring.core.Outcome
import io.jackdawring.core.RefusalReason
import io.jackdawring.core.UnknownReason
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** One failure at a time, with the answer that the design page promises. */
class FailureTest {
    private val domains = listOf("a", "b").map(::FailureDomainId)
    private var customize: EntryOptions.Builder.() -> Unit = {}
    private val world by lazy { startWorld() }
    private val caller by lazy { FakeCaller(world) }
    private val owner get() = world.instances[0]
    private val neighbour get() = world.instances[1]
    private val remote get() = world.instances[2]

    private fun startWorld(): FakeWorld {
        val world = FakeWorld(SEED, domains, customize = customize)
        world.store.publishTestConfiguration()
        domains.forEach { domain ->
            repeat(2) { world.addInstance(domain) }
            repeat(2) { world.addTarget(domain) }
        }
        world.advance(SETTLE_MILLIS)
        return world
    }

    private fun runFor(millis: Long) {
        world.targets.forEach { target -> target.runMillis = { millis } }
    }

    @AfterTest
    fun `the oracle saw no violation`() = assertEquals(emptyList(), world.oracle.violations)

    /** Guards against a resubmission elsewhere that starts the tasks of a killed owner again. */
    @Test
    fun `a resubmission after the owner was killed is unknown at once`() {
        runFor(1_000)
        val submission = caller.newSubmission(caller.openSession(owner), tasks = 10)
        caller.submit(owner, submission)
        world.advance(500)
        val before = world.startLog.total
        owner.kill()
        val request = caller.submit(neighbour, submission)
        world.advance(FORWARD_LIMIT_MILLIS)
        assertEquals(UnknownReason.OWNER_UNREACHABLE, assertIs<Outcome.Unknown>(request.outcome).reason)
        world.advance(10_000)
        assertEquals(before, world.startLog.total)
    }

    /** Guards against a resubmission that waits for a paused owner, and against a second start when it resumes. */
    @Test
    fun `a paused owner is unknown within the limit and answers again after it resumed`() {
        runFor(300)
        val submission = caller.newSubmission(caller.openSession(owner), tasks = 40)
        caller.submit(owner, submission)
        world.advance(100)
        owner.freeze()
        val duringPause = caller.submit(remote, submission)
        world.advance(FORWARD_LIMIT_MILLIS)
        assertIs<Outcome.Unknown>(duringPause.outcome)
        world.advance(20_000)
        owner.resume()
        world.advance(5_000)
        val afterPause = caller.submit(remote, submission)
        world.advance(5_000)
        assertTrue(afterPause.outcome is Outcome.Complete || afterPause.outcome is Outcome.Failed)
    }

    /** Guards against a second start when the owner handles a forwarded request after its own record has ended. */
    @Test
    fun `a key that grew too old on the way to a paused owner starts nothing`() {
        customize = {
            claimMaxKeyAgeMillis = 10_000
            claimClockSkewMillis = 1_000
        }
        val submission = caller.newSubmissionWithKey()
        caller.submit(owner, submission)
        world.advance(8_000)
        owner.freeze()
        val late = caller.submit(neighbour, submission)
        world.advance(10_000)
        owner.resume()
        world.advance(10_000)
        assertIs<Outcome.Unknown>(late.outcome)
        assertEquals(1, world.startLog.total)
    }

    /** Guards against an answer after the deadline when the store loses its replies. */
    @Test
    fun `a claim whose replies are lost is answered by its deadline`() {
        world.store.loseReplyPercent = 100
        val submission =
            caller.newSubmissionWithKey {
                deadlineMillis = 500
                firstAttempt = true
            }
        val request = caller.submit(owner, submission)
        world.advance(600)
        assertEquals(RefusalReason.STORE_UNAVAILABLE, assertIs<Outcome.Refused>(request.outcome).reason)
        world.advance(10_000)
        assertEquals(0, world.startLog.total)
    }

    /** Guards against 'not run' for a request that joined an undecided claim although an earlier attempt ran. */
    @Test
    fun `a request that joins an undecided claim is unknown unless every attempt was the only one`() {
        world.store.down = true
        val submission = caller.newSubmissionWithKey { firstAttempt = true }
        world.store.down = false
        world.store.loseReplyPercent = 100
        val first = caller.submit(owner, submission)
        val second = caller.submit(owner, submission.copy { firstAttempt = false })
        world.advance(5_000)
        assertIs<Outcome.Unknown>(first.outcome)
        assertIs<Outcome.Unknown>(second.outcome)
    }

    /** Guards against claims that stop working in a store outage without a true answer. */
    @Test
    fun `without the store sessions go on and keys are refused as not run`() {
        val session = caller.openSession(owner)
        world.store.down = true
        val inSession = caller.submit(owner, caller.newSubmission(session))
        val withKey = caller.submit(owner, caller.newSubmissionWithKey { firstAttempt = true })
        val resubmitted = caller.submit(owner, caller.newSubmissionWithKey())
        world.advance(5_000)
        assertIs<Outcome.Complete>(inSession.outcome)
        assertEquals(RefusalReason.STORE_UNAVAILABLE, assertIs<Outcome.Refused>(withKey.outcome).reason)
        assertIs<Outcome.Unknown>(resubmitted.outcome)
        assertEquals(1, world.startLog.total)
    }

    /** Guards against a shutdown that cuts off requests or forgets what ran. */
    @Test
    fun `a graceful shutdown finishes requests and its successor answers for it`() {
        runFor(1_000)
        val session = caller.openSession(owner)
        val submission = caller.newSubmission(session, tasks = 20)
        val running = caller.submit(owner, submission)
        world.advance(100)
        owner.drain()
        val refused = caller.submit(owner, caller.newSubmission(session))
        world.advance(10_000)
        assertIs<Outcome.Complete>(running.outcome)
        assertEquals(RefusalReason.DRAINING, assertIs<Outcome.Refused>(refused.outcome).reason)
        assertTrue(!owner.alive)
        val recorded = caller.submit(remote, submission)
        val unseen = caller.submit(remote, caller.newSubmission(session))
        world.advance(2_000)
        assertIs<Outcome.Complete>(recorded.outcome)
        assertEquals(RefusalReason.SESSION_CLOSED, assertIs<Outcome.Refused>(unseen.outcome).reason)
    }

    /** Guards against records that are lost when the successor shuts down as well. */
    @Test
    fun `records survive a chain of shutdowns`() {
        val submission = caller.newSubmission(caller.openSession(owner))
        caller.submit(owner, submission)
        world.advance(2_000)
        owner.drain()
        world.advance(5_000)
        neighbour.drain()
        world.advance(5_000)
        val recorded = caller.submit(remote, submission)
        world.advance(2_000)
        assertIs<Outcome.Complete>(recorded.outcome)
    }

    /** Guards against a failure domain that stops serving when it is cut off from everything else. */
    @Test
    fun `a domain that is cut off serves its own sessions`() {
        val session = caller.openSession(owner)
        world.network.setCut(domains[0], domains[1], true)
        domains.forEach { world.network.setPlatformCut(it, true) }
        val inside = caller.submit(owner, caller.newSubmission(session, tasks = 4))
        val across = caller.submit(remote, caller.newSubmission(session))
        world.advance(FORWARD_LIMIT_MILLIS)
        assertIs<Outcome.Unknown>(across.outcome)
        world.advance(5_000)
        assertIs<Outcome.Complete>(inside.outcome)
        world.network.healAll()
        world.advance(5_000)
        val healed = caller.submit(remote, caller.newSubmission(session))
        world.advance(5_000)
        assertIs<Outcome.Complete>(healed.outcome)
    }

    /** Guards against starts on a leaving target when only the other domain can see the platform's list. */
    @Test
    fun `peers pass on that a target is leaving`() {
        val target = world.targets[0]
        world.network.setPlatformCut(domains[0], true)
        target.leave()
        world.publishList()
        world.advance(LEAVING_LIMIT_MILLIS)
        val before = target.starts
        val session = caller.openSession(owner)
        repeat(10) { caller.submit(owner, caller.newSubmission(session, tasks = 8)) }
        world.advance(10_000)
        assertEquals(before, target.starts)
    }

    /** Guards against starts on a target that left while this process was paused. */
    @Test
    fun `a resumed process starts nothing on a target that left meanwhile`() {
        runFor(50)
        val target = world.targets[0]
        caller.submit(owner, caller.newSubmission(caller.openSession(owner), tasks = 200))
        world.advance(60)
        owner.freeze()
        target.leave()
        world.publishList()
        world.advance(10_000)
        val before = target.starts
        owner.resume()
        world.advance(10_000)
        assertEquals(before, target.starts)
    }

    /** Guards against an answer that hides a task that may have run, and against waiting after the first failure. */
    @Test
    fun `a job whose target dies fails at once and may have run`() {
        runFor(1_000)
        val request = caller.submit(owner, caller.newSubmission(caller.openSession(owner), tasks = 32))
        world.advance(200)
        world.targets.first { it.running > 0 }.die()
        world.advance(50)
        val failed = assertIs<Outcome.Failed>(request.outcome)
        assertEquals(FailureReason.TARGET_LOST, failed.reason)
        assertTrue(failed.mayHaveRun)
    }

    private companion object {
        const val SEED = 7L
        const val SETTLE_MILLIS = 5_000L

        // The design page's limits: 1 s without an acknowledgement, and 3 s for a leaving target.
        const val FORWARD_LIMIT_MILLIS = 1_100L
        const val LEAVING_LIMIT_MILLIS = 3_000L
    }
}
