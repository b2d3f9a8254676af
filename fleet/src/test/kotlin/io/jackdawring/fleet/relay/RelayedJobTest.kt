package io.jackdawring.fleet.relay

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.PauseGuard
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.Admission
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobRequest
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.StepSpec
import io.jackdawring.fleet.CallerAnswer
import io.jackdawring.fleet.FakeControlLoop
import io.jackdawring.fleet.PeerSilence
import io.jackdawring.fleet.metrics.FleetMetrics
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

/** Guards against refusals of jobs that may have run, jobs that run in two shards, and callers that get no answer. */
class RelayedJobTest {
    private class SentJob(
        val domain: String,
        val admission: Admission,
        val firstFencingToken: Long,
        val onReply: (HolderReply) -> Unit,
    ) {
        var cancelled = false
    }

    private class FakeShardClient : ShardClient {
        var local: ShardHolding? = holding("a")
        var others = listOf(holding("b"), holding("c"))
        var loaded = emptyList<ShardHolding>()

        /** Reply of the local holder during the call, as if this process held the shard. */
        var replyInCall: HolderReply? = null
        val sentJobs = ArrayList<SentJob>()

        override fun findLocalHolder(job: JobSpec) = local

        override fun findHolding(shardId: ShardId) = (listOfNotNull(local) + others).find { it.shardId == shardId }

        override fun findLessLoadedHolders(job: JobSpec) = others.filterNot { it in loaded }

        var evacuatedDomains = emptySet<String>()

        override fun findOtherHolders(job: JobSpec) = others.filterNot { isEvacuated(it.shardId) }

        override val isLocalEvacuated get() = "a" in evacuatedDomains

        override fun isEvacuated(shardId: ShardId) = shardId.failureDomain.value in evacuatedDomains

        override fun areAllEvacuated(refusedBy: Set<ShardId>) =
            (listOfNotNull(local) + others).all { it.shardId in refusedBy || isEvacuated(it.shardId) }

        override fun submit(
            holding: ShardHolding,
            request: JobRequest,
            onReply: (HolderReply) -> Unit,
        ): ShardClient.PendingRequest {
            val domain = holding.shardId.failureDomain.value
            val sentJob = SentJob(domain, request.admission, request.firstFencingToken, onReply)
            sentJobs.add(sentJob)
            if (holding == local) replyInCall?.let(onReply)
            return ShardClient.PendingRequest { sentJob.cancelled = true }
        }
    }

    private class Fixture {
        val loop = FakeControlLoop()
        val shards = FakeShardClient()
        val pauses = PauseGuard()
        var answer: CallerAnswer? = null
        val sentTo get() = shards.sentJobs.map { it.domain }

        fun submit() =
            JobRelay(loop, shards, FleetMetrics(), pauses, PeerSilence()).submit(JOB, WAIT_MILLIS) {
                answer =
                    it
            }

        fun reply(reply: HolderReply) = shards.sentJobs.last().onReply(reply)

        fun reply(outcome: JobOutcome) = reply(HolderReply.Decided(outcome))
    }

    private class Row(
        val name: String,
        val test: Fixture.() -> Unit,
    )

    private val rows =
        listOf(
            Row("a job that all shards refuse is told the earliest time of those that can run it") {
                submit()
                reply(JobOutcome.NotRun("full", retryAfterMillis = 4_000, lateMillis = 90))
                reply(JobOutcome.NotRun("full", retryAfterMillis = 3_000, lateMillis = 50))
                reply(JobOutcome.NotRun("no target", retryAfterMillis = 1_000))
                reply(JobOutcome.NotRun("full", retryAfterMillis = 6_000, lateMillis = 50))
                assertEquals(4_000, (answer as CallerAnswer.NotRun).retryAfterMillis)
            },
            Row("the outcome of the local shard is the answer") {
                submit()
                reply(JobOutcome.Completed)
                assertEquals(true, (answer as CallerAnswer.Ended).completed)
            },
            Row("a refused job is offered to the other failure domains, then answered as not run") {
                submit()
                repeat(4) { reply(lateBy(100)) }
                assertEquals(listOf("a", "b", "c", "a"), sentTo)
                assertIs<CallerAnswer.NotRun>(answer)
            },
            Row("a burst in one failure domain: a job that would wait there starts at once in another one") {
                submit()
                reply(lateBy(-10))
                reply(JobOutcome.Completed)
                assertEquals(listOf("a", "b"), sentTo)
                assertEquals(listOf(Admission.EARLY, Admission.EARLY), shards.sentJobs.map { it.admission })
                assertIs<CallerAnswer.Ended>(answer)
            },
            Row("a burst everywhere: the shard with the earliest forecast serves the job") {
                submit()
                reply(lateBy(100))
                reply(lateBy(-10))
                reply(lateBy(50))
                assertEquals(listOf("a", "b", "c", "b"), sentTo)
                assertEquals(Admission.ON_TIME_OR_LATE, shards.sentJobs.last().admission)
            },
            Row("targets that cannot run a job are not asked twice") {
                submit()
                repeat(3) { reply(JobOutcome.NotRun("no target can run it now", 1_000)) }
                assertEquals(listOf("a", "b", "c"), sentTo)
                assertIs<CallerAnswer.NotRun>(answer)
            },
            Row("a burst everywhere: a refused job is not offered to failure domains that are as loaded") {
                shards.loaded = shards.others
                submit()
                assertEquals(Admission.ON_TIME_OR_LATE, shards.sentJobs.single().admission)
                reply(lateBy(100))
                assertEquals(listOf("a"), sentTo)
                assertIs<CallerAnswer.NotRun>(answer)
            },
            Row("a burst in one failure domain: a refused job is offered to two others at most") {
                shards.others = listOf(holding("b"), holding("c"), holding("d"), holding("e"))
                submit()
                repeat(4) { reply(lateBy(100)) }
                assertEquals(listOf("a", "b", "c", "a"), sentTo)
                assertIs<CallerAnswer.NotRun>(answer)
            },
            // Guards against a job that runs on in another failure domain although its caller has gone.
            Row("the relay refuses a job as holder and another one takes it: it is cancelled with its caller") {
                shards.replyInCall = HolderReply.Decided(lateBy(-10))
                val job = submit()
                job.cancel()
                assertEquals(listOf("b"), shards.sentJobs.filter { it.cancelled }.map { it.domain })
            },
            Row("the relay refuses a job as holder and another one takes it: a resent job replaces the first request") {
                shards.replyInCall = HolderReply.Decided(lateBy(-10))
                submit()
                loop.clock.advance(750)
                assertEquals(listOf("a", "b", "b"), sentTo)
                assertEquals(listOf(true, false), shards.sentJobs.drop(1).map { it.cancelled })
            },
            // Guards against a job that starts although its caller left during a pause of the relay.
            Row("the relay was paused: a job whose caller has gone meanwhile is not sent") {
                pauses.onTick(loop.nowMillis())
                loop.clock.advance(2_000)
                val job = submit()
                loop.clock.advance(10)
                job.cancel()
                loop.clock.advance(500)
                assertEquals(emptyList(), sentTo)
            },
            Row("the relay was paused: a job whose caller still waits is sent soon after") {
                pauses.onTick(loop.nowMillis())
                loop.clock.advance(2_000)
                submit()
                loop.clock.advance(60)
                assertEquals(listOf("a"), sentTo)
            },
            Row("a job stays with the shard that accepted it, however loaded that is") {
                shards.local = null
                submit()
                shards.loaded = shards.others
                reply(HolderReply.Lost("reset"))
                loop.clock.advance(20)
                assertEquals(listOf("b", "b"), sentTo)
            },
            Row("after a lost answer, the job is sent to the same shard again") {
                submit()
                reply(HolderReply.Lost("reset"))
                loop.clock.advance(20)
                assertEquals(listOf("a", "a"), sentTo)
            },
            Row("a refusal after a lost answer is not answered as not run") {
                submit()
                reply(HolderReply.Lost("reset"))
                loop.clock.advance(20)
                reply(lateBy(100))
                assertIs<CallerAnswer.GivenUp>(answer)
            },
            Row("a job whose shard has moved is sent to the new holder") {
                submit()
                reply(JobOutcome.Moved)
                loop.clock.advance(20)
                reply(JobOutcome.Completed)
                assertEquals(listOf("a", "a"), sentTo)
                assertIs<CallerAnswer.Ended>(answer)
            },
            // Guards against a task that starts again while the first holder, which is cut off, runs it.
            Row("a job whose shard moves twice names the first holder that may have started it") {
                submit()
                reply(HolderReply.NotAccepted)
                shards.local = holding("a", revision = 5)
                loop.clock.advance(20)
                reply(HolderReply.Lost("reset"))
                shards.local = holding("a", revision = 7)
                loop.clock.advance(20)
                reply(JobOutcome.Moved)
                shards.local = holding("a", revision = 9)
                loop.clock.advance(20)
                assertEquals(listOf(0L, 0, 5, 5), shards.sentJobs.map { it.firstFencingToken })
            },
            Row("without a local holder, a job is sent to another failure domain at once") {
                shards.local = null
                submit()
                assertEquals(listOf("b"), sentTo)
            },
            Row("a job without any holder is refused well before its deadline") {
                shards.local = null
                shards.others = emptyList()
                submit()
                loop.clock.advance(100)
                assertIs<CallerAnswer.NotRun>(answer)
            },
            Row("a job whose answer was lost is given up at the deadline, not answered as not run") {
                submit()
                reply(HolderReply.Lost("reset"))
                shards.local = null
                shards.others = emptyList()
                loop.clock.advance(WAIT_MILLIS - 50)
                assertNull(answer)
                loop.clock.advance(100)
                assertIs<CallerAnswer.GivenUp>(answer)
            },
            Row("a job without an answer is sent again before its first request is cancelled") {
                submit()
                loop.clock.advance(750)
                assertEquals(listOf("a", "a"), sentTo)
                assertEquals(listOf(true, false), shards.sentJobs.map { it.cancelled })
            },
            // Guards against jobs that are refused because of an evacuation although another failure domain has room.
            Row("the local failure domain is evacuated: the job is offered to the others, however loaded they are") {
                shards.evacuatedDomains = setOf("a", "b")
                shards.loaded = shards.others
                submit()
                assertEquals(listOf("c"), sentTo)
            },
            Row(
                "a holder refuses the job because of an evacuation: it is not asked again, not even with the last offer",
            ) {
                shards.loaded = shards.others
                submit()
                reply(evacuated)
                repeat(3) { reply(lateBy(100)) }
                assertEquals(listOf("a", "b", "c", "b"), sentTo)
                assertIs<CallerAnswer.NotRun>(answer)
            },
            Row("the last offer is refused because of an evacuation: the next best failure domain gets it") {
                submit()
                reply(lateBy(10))
                reply(lateBy(20))
                reply(lateBy(30))
                reply(evacuated)
                reply(JobOutcome.Completed)
                assertEquals(listOf("a", "b", "c", "a", "b"), sentTo)
                assertIs<CallerAnswer.Ended>(answer)
            },
            Row("the holder that has had a job alone says that it has not run: the job goes on to others") {
                submit()
                loop.clock.advance(750)
                reply(evacuated)
                assertEquals(listOf("a", "a", "b"), sentTo)
            },
            Row("a later holder refuses a job that may have run: it is not offered to others") {
                submit()
                reply(HolderReply.Lost("reset"))
                shards.local = holding("a", revision = 5)
                loop.clock.advance(20)
                reply(evacuated)
                assertEquals(listOf("a", "a"), sentTo)
                assertIs<CallerAnswer.GivenUp>(answer)
            },
            Row("all failure domains are evacuated: the job is refused at once") {
                shards.evacuatedDomains = setOf("a", "b")
                submit()
                reply(evacuated)
                assertEquals(listOf("c"), sentTo)
                assertEquals(5_000, assertIs<CallerAnswer.NotRun>(answer).retryAfterMillis)
            },
            Row("the request is cancelled when the caller disconnects") {
                submit().cancel()
                assertEquals(true, shards.sentJobs.single().cancelled)
            },
            Row("a late reply to a replaced request is ignored") {
                submit()
                loop.clock.advance(750)
                shards.sentJobs.first().onReply(HolderReply.Lost("reset"))
                loop.clock.advance(50)
                assertEquals(2, sentTo.size)
            },
        )

    @TestFactory
    fun `a relayed job`() = rows.map { row -> DynamicTest.dynamicTest(row.name) { row.test(Fixture()) } }

    private companion object {
        const val WAIT_MILLIS = 2_000L
        val JOB =
            JobSpec(JobId("j"), "q", "s", 0, 1, 1.6, 60, "", listOf(StepSpec(1, Resources(1_000), 100)))

        val evacuated = JobOutcome.NotRun("the failure domain is evacuated", 5_000, isEvacuated = true)

        fun lateBy(millis: Long) = JobOutcome.NotRun("full", maxOf(0, millis), lateMillis = millis)

        fun holding(
            domain: String,
            revision: Long = 1,
        ) = ShardHolding(
            ShardId(FailureDomainId(domain), 0),
            FleetMember(InstanceId("h-$domain"), "1", FailureDomainId(domain), "10.0.0.1:1", 1.0),
            revision,
        )
    }
}
