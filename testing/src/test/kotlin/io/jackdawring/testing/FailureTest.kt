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

/** Checks the answer to callers for one kind of failure at a time. */
class FailureTest {
    private val domains = listOf("a", "b").map(::FailureDomainId)
    private var customize: EntryOptions.Builder.() -> Unit = {}
    private val cluster by lazy { startCluster() }
    private val caller by lazy { FakeCaller(cluster) }
    private val owner get() = cluster.instances[0]
    private val neighbour get() = cluster.instances[1]
    private val remote get() = cluster.instances[2]

    private fun startCluster(): FakeCluster {
        val cluster = FakeCluster(SEED, domains, customize = customize)
        cluster.store.publishTestConfiguration()
        domains.forEach { domain ->
            repeat(2) { cluster.addInstance(domain) }
            repeat(2) { cluster.addTarget(domain) }
        }
        cluster.advance(SETTLE_MILLIS)
        return cluster
    }

    private fun setRunMillis(millis: Long) {
        cluster.targets.forEach { target -> target.runMillis = { millis } }
    }

    @AfterTest
    fun `the oracle found no violation`() = assertEquals(emptyList(), cluster.oracle.violations)

    /** Guards against a resubmission to another instance that starts the tasks of a killed owner again. */
    @Test
    fun `a resubmission after the owner was killed is unknown at once`() {
        setRunMillis(1_000)
        val submission = caller.newSubmission(caller.openSession(owner), tasks = 10)
        caller.submit(owner, submission)
        cluster.advance(500)
        val before = cluster.startLog.total
        owner.kill()
        val request = caller.submit(neighbour, submission)
        cluster.advance(FORWARD_LIMIT_MILLIS)
        assertEquals(UnknownReason.OWNER_UNREACHABLE, assertIs<Outcome.Unknown>(request.outcome).reason)
        cluster.advance(10_000)
        assertEquals(before, cluster.startLog.total)
    }

    /** Guards against a resubmission that waits for a paused owner, and against a second start when it resumes. */
    @Test
    fun `a resubmission is unknown while its owner is paused and answered after it resumed`() {
        setRunMillis(300)
        val submission = caller.newSubmission(caller.openSession(owner), tasks = 40)
        caller.submit(owner, submission)
        cluster.advance(100)
        owner.pause()
        val duringPause = caller.submit(remote, submission)
        cluster.advance(FORWARD_LIMIT_MILLIS)
        assertIs<Outcome.Unknown>(duringPause.outcome)
        cluster.advance(20_000)
        owner.resume()
        cluster.advance(5_000)
        val afterPause = caller.submit(remote, submission)
        cluster.advance(5_000)
        assertTrue(afterPause.outcome is Outcome.Complete || afterPause.outcome is Outcome.Failed)
    }

    /** Guards against a second start when the owner handles a forwarded request after its record has expired. */
    @Test
    fun `a key that expired before a paused owner handled it starts nothing`() {
        customize = {
            claimMaxKeyAgeMillis = 10_000
            claimClockSkewMillis = 1_000
        }
        val submission = caller.newSubmissionWithKey()
        caller.submit(owner, submission)
        cluster.advance(8_000)
        owner.pause()
        val late = caller.submit(neighbour, submission)
        cluster.advance(10_000)
        owner.resume()
        cluster.advance(10_000)
        assertIs<Outcome.Unknown>(late.outcome)
        assertEquals(1, cluster.startLog.total)
    }

    /** Guards against an answer after the deadline when the store loses its replies. */
    @Test
    fun `a claim whose replies are lost is answered by its deadline`() {
        cluster.store.loseReplyPercent = 100
        val submission =
            caller.newSubmissionWithKey {
                deadlineMillis = 500
                firstAttempt = true
            }
        val request = caller.submit(owner, submission)
        cluster.advance(600)
        assertEquals(RefusalReason.STORE_UNAVAILABLE, assertIs<Outcome.Refused>(request.outcome).reason)
        cluster.advance(10_000)
        assertEquals(0, cluster.startLog.total)
    }

    /** Guards against 'not run' for a request that waited for an undecided claim although an earlier attempt ran. */
    @Test
    fun `a request that waits for an undecided claim is unknown unless every attempt was the first`() {
        cluster.store.down = true
        val submission = caller.newSubmissionWithKey { firstAttempt = true }
        cluster.store.down = false
        cluster.store.loseReplyPercent = 100
        val first = caller.submit(owner, submission)
        val second = caller.submit(owner, submission.copy { firstAttempt = false })
        cluster.advance(5_000)
        assertIs<Outcome.Unknown>(first.outcome)
        assertIs<Outcome.Unknown>(second.outcome)
    }

    /** Guards against a store outage that stops sessions, or gives wrong answers to requests with a key. */
    @Test
    fun `without the store sessions still work and keys are refused as not run`() {
        val session = caller.openSession(owner)
        cluster.store.down = true
        val inSession = caller.submit(owner, caller.newSubmission(session))
        val withKey = caller.submit(owner, caller.newSubmissionWithKey { firstAttempt = true })
        val resubmitted = caller.submit(owner, caller.newSubmissionWithKey())
        cluster.advance(5_000)
        assertIs<Outcome.Complete>(inSession.outcome)
        assertEquals(RefusalReason.STORE_UNAVAILABLE, assertIs<Outcome.Refused>(withKey.outcome).reason)
        assertIs<Outcome.Unknown>(resubmitted.outcome)
        assertEquals(1, cluster.startLog.total)
    }

    /** Guards against a shutdown that aborts requests or loses the records of finished ones. */
    @Test
    fun `a graceful shutdown finishes requests and its successor answers for it`() {
        setRunMillis(1_000)
        val session = caller.openSession(owner)
        val submission = caller.newSubmission(session, tasks = 20)
        val running = caller.submit(owner, submission)
        cluster.advance(100)
        owner.drain()
        val refused = caller.submit(owner, caller.newSubmission(session))
        cluster.advance(10_000)
        assertIs<Outcome.Complete>(running.outcome)
        assertEquals(RefusalReason.DRAINING, assertIs<Outcome.Refused>(refused.outcome).reason)
        assertTrue(!owner.alive)
        val recorded = caller.submit(remote, submission)
        val unseen = caller.submit(remote, caller.newSubmission(session))
        cluster.advance(2_000)
        assertIs<Outcome.Complete>(recorded.outcome)
        assertEquals(RefusalReason.SESSION_CLOSED, assertIs<Outcome.Refused>(unseen.outcome).reason)
    }

    /** Guards against records that are lost when the successor shuts down as well. */
    @Test
    fun `records survive a chain of shutdowns`() {
        val submission = caller.newSubmission(caller.openSession(owner))
        caller.submit(owner, submission)
        cluster.advance(2_000)
        owner.drain()
        cluster.advance(5_000)
        neighbour.drain()
        cluster.advance(5_000)
        val recorded = caller.submit(remote, submission)
        cluster.advance(2_000)
        assertIs<Outcome.Complete>(recorded.outcome)
    }

    /** Guards against a failure domain that stops serving when it is partitioned from everything else. */
    @Test
    fun `a partitioned domain serves its own sessions`() {
        val session = caller.openSession(owner)
        cluster.network.setPartitioned(domains[0], domains[1], true)
        domains.forEach { cluster.network.setPlatformPartitioned(it, true) }
        val inside = caller.submit(owner, caller.newSubmission(session, tasks = 4))
        val across = caller.submit(remote, caller.newSubmission(session))
        cluster.advance(FORWARD_LIMIT_MILLIS)
        assertIs<Outcome.Unknown>(across.outcome)
        cluster.advance(5_000)
        assertIs<Outcome.Complete>(inside.outcome)
        cluster.network.healAll()
        cluster.advance(5_000)
        val healed = caller.submit(remote, caller.newSubmission(session))
        cluster.advance(5_000)
        assertIs<Outcome.Complete>(healed.outcome)
    }

    /** Guards against starts on a leaving target when only the other domain receives the platform's list. */
    @Test
    fun `peers gossip that a target is leaving`() {
        val target = cluster.targets[0]
        cluster.network.setPlatformPartitioned(domains[0], true)
        target.leave()
        cluster.publishList()
        cluster.advance(LEAVING_LIMIT_MILLIS)
        val before = target.starts
        val session = caller.openSession(owner)
        repeat(10) { caller.submit(owner, caller.newSubmission(session, tasks = 8)) }
        cluster.advance(10_000)
        assertEquals(before, target.starts)
    }

    /** Guards against starts on a target that left while this process was paused. */
    @Test
    fun `a resumed process starts nothing on a target that left meanwhile`() {
        setRunMillis(50)
        val target = cluster.targets[0]
        caller.submit(owner, caller.newSubmission(caller.openSession(owner), tasks = 200))
        cluster.advance(60)
        owner.pause()
        target.leave()
        cluster.publishList()
        cluster.advance(10_000)
        val before = target.starts
        owner.resume()
        cluster.advance(10_000)
        assertEquals(before, target.starts)
    }

    /** Guards against an answer that hides a task that may have run, and against waiting after the first failure. */
    @Test
    fun `a job whose target dies fails at once and may have run`() {
        setRunMillis(1_000)
        val request = caller.submit(owner, caller.newSubmission(caller.openSession(owner), tasks = 32))
        cluster.advance(200)
        cluster.targets.first { it.running > 0 }.crash()
        cluster.advance(50)
        val failed = assertIs<Outcome.Failed>(request.outcome)
        assertEquals(FailureReason.TARGET_LOST, failed.reason)
        assertTrue(failed.mayHaveRun)
    }

    private companion object {
        const val SEED = 7L
        const val SETTLE_MILLIS = 5_000L

        // The limits of the design: 1 s without an acknowledgement, and 3 s for a leaving target.
        const val FORWARD_LIMIT_MILLIS = 1_100L
        const val LEAVING_LIMIT_MILLIS = 3_000L
    }
}
