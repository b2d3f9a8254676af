package io.jackdawring.fleet.relay

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
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
import io.jackdawring.fleet.metrics.FleetMetrics
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

/** Guards against untrue refusals, jobs that run in two places, and callers that wait for nothing. */
class RelayedJobTest {
    private class Question(
        val domain: String,
        val admission: Admission,
        val onReply: (HolderReply) -> Unit,
    ) {
        var cancelled = false
    }

    private class FakeShards : ShardAccess {
        var own: ShardHolding? = holding("a")
        var others = listOf(holding("b"), holding("c"))
        var loaded = emptyList<ShardHolding>()
        val questions = ArrayList<Question>()

        override fun findHolder(job: JobSpec) = own

        override fun findHolding(shardId: ShardId) = (listOfNotNull(own) + others).find { it.shardId == shardId }

        override fun findLighterHolders(job: JobSpec) = others.filterNot { it in loaded }

        override fun ask(
            holding: ShardHolding,
            request: JobRequest,
            onReply: (HolderReply) -> Unit,
        ): ShardAccess.OpenQuestion {
            val question = Question(holding.shardId.failureDomain.value, request.admission, onReply)
            questions.add(question)
            return ShardAccess.OpenQuestion { question.cancelled = true }
        }
    }

    private class Scene {
        val loop = FakeControlLoop()
        val shards = FakeShards()
        var answer: CallerAnswer? = null
        val asked get() = shards.questions.map { it.domain }

        fun submit() = JobRelay(loop, shards, FleetMetrics()).submit(JOB, WAIT_MILLIS) { answer = it }

        fun reply(reply: HolderReply) = shards.questions.last().onReply(reply)

        fun reply(outcome: JobOutcome) = reply(HolderReply.Decided(outcome))
    }

    private class Row(
        val name: String,
        val test: Scene.() -> Unit,
    )

    private val rows =
        listOf(
            Row("an outcome of the own shard is the answer") {
                submit()
                reply(JobOutcome.Completed)
                assertEquals(true, (answer as CallerAnswer.Ended).completed)
            },
            Row("a refusal sends the job to the other failure domains, then says that nothing ran") {
                submit()
                repeat(3) { reply(NO_ROOM) }
                assertEquals(listOf("a", "b", "c"), asked)
                assertIs<CallerAnswer.NotRun>(answer)
            },
            Row("a shard with room takes the job when none expects it in time") {
                submit()
                reply(NO_ROOM)
                reply(ROOM)
                reply(NO_ROOM)
                assertEquals(listOf("a", "b", "c", "b"), asked)
                assertEquals(Admission.ON_TIME_OR_ROOM, shards.questions.last().admission)
            },
            Row("a burst everywhere: a refused job is not offered to failure domains that are as loaded") {
                shards.loaded = shards.others
                submit()
                reply(NO_ROOM)
                assertEquals(listOf("a"), asked)
                assertIs<CallerAnswer.NotRun>(answer)
            },
            Row("a burst in one failure domain: a refused job is offered to two others at most") {
                shards.others = listOf(holding("b"), holding("c"), holding("d"), holding("e"))
                submit()
                repeat(3) { reply(NO_ROOM) }
                assertEquals(listOf("a", "b", "c"), asked)
                assertIs<CallerAnswer.NotRun>(answer)
            },
            Row("a job stays with the shard that took it, however loaded that is") {
                shards.own = null
                submit()
                shards.loaded = shards.others
                reply(HolderReply.Lost("reset"))
                loop.clock.advance(20)
                assertEquals(listOf("b", "b"), asked)
            },
            Row("a lost answer keeps the job at its shard") {
                submit()
                reply(HolderReply.Lost("reset"))
                loop.clock.advance(20)
                assertEquals(listOf("a", "a"), asked)
            },
            Row("a refusal after a lost answer does not say that nothing ran") {
                submit()
                reply(HolderReply.Lost("reset"))
                loop.clock.advance(20)
                reply(NO_ROOM)
                assertIs<CallerAnswer.GivenUp>(answer)
            },
            Row("a shard that has moved is asked again at its new holder") {
                submit()
                reply(JobOutcome.Moved)
                loop.clock.advance(20)
                reply(JobOutcome.Completed)
                assertEquals(listOf("a", "a"), asked)
                assertIs<CallerAnswer.Ended>(answer)
            },
            Row("a job without an own holder goes to another failure domain at once") {
                shards.own = null
                submit()
                assertEquals(listOf("b"), asked)
            },
            Row("a job without any holder is refused well before its deadline") {
                shards.own = null
                shards.others = emptyList()
                submit()
                loop.clock.advance(100)
                assertIs<CallerAnswer.NotRun>(answer)
            },
            Row("a lost job without any holder is given up at the deadline, not called unrun") {
                submit()
                reply(HolderReply.Lost("reset"))
                shards.own = null
                shards.others = emptyList()
                loop.clock.advance(WAIT_MILLIS - 50)
                assertNull(answer)
                loop.clock.advance(100)
                assertIs<CallerAnswer.GivenUp>(answer)
            },
            Row("a silent connection is replaced by a second question, then closed") {
                submit()
                loop.clock.advance(750)
                assertEquals(listOf("a", "a"), asked)
                assertEquals(listOf(true, false), shards.questions.map { it.cancelled })
            },
            Row("a caller that leaves takes its question back") {
                submit().cancel()
                assertEquals(true, shards.questions.single().cancelled)
            },
            Row("a late reply to a replaced question changes nothing") {
                submit()
                loop.clock.advance(750)
                shards.questions.first().onReply(HolderReply.Lost("reset"))
                loop.clock.advance(50)
                assertEquals(2, asked.size)
            },
        )

    @TestFactory
    fun `a relayed job`() = rows.map { row -> DynamicTest.dynamicTest(row.name) { row.test(Scene()) } }

    private companion object {
        const val WAIT_MILLIS = 2_000L
        val NO_ROOM = JobOutcome.NotRun("full", 100)
        val ROOM = JobOutcome.NotRun("late", 100, hasRoom = true)
        val JOB =
            JobSpec(JobId("j"), "q", "s", 0, 1, 1.6, 60, "", listOf(StepSpec(1, Resources(1_000), 100)))

        fun holding(domain: String) =
            ShardHolding(
                ShardId(FailureDomainId(domain), 0),
                FleetMember(InstanceId("h-$domain"), "1", FailureDomainId(domain), "10.0.0.1:1", 1.0),
                1,
            )
    }
}
