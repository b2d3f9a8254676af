package io.jackdawring.fleet.durable

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.PauseGuard
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobSnapshot
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.PollRequest
import io.jackdawring.core.shard.ShardDecision
import io.jackdawring.core.shard.ShardDispatcher
import io.jackdawring.core.shard.ShardEffects
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.core.shard.StartRequest
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.core.shard.WaiterId
import io.jackdawring.core.shard.shardOptions
import io.jackdawring.fleet.FakeControlLoop
import io.jackdawring.fleet.FleetKeys
import io.jackdawring.fleet.store.FakeTransactionalStore
import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against callers that miss the end of a job until their next poll, and ends shown before they are stored. */
class HostedDurableJobsTest {
    /** Does nothing; the jobs of these tests never run. */
    private object NoEffects : ShardEffects {
        override fun start(
            target: ShardTarget,
            request: StartRequest,
        ) = Unit

        override fun stop(
            target: ShardTarget,
            task: TaskKey,
            attempt: Int,
        ) = Unit

        override fun poll(
            target: ShardTarget,
            request: PollRequest,
        ) = Unit

        override fun answer(
            waiter: WaiterId,
            outcome: JobOutcome,
        ) = Unit

        override fun save(
            jobId: JobId,
            snapshot: () -> JobSnapshot,
        ) = Unit

        override fun ended(
            jobId: JobId,
            state: JobState,
        ) = Unit

        override fun fenced(target: ShardTarget) = Unit

        override fun report(decision: ShardDecision) = Unit
    }

    /** A dispatcher with one job in [state], whose end is stored if [isSaved]. */
    private class OneJobDispatcher(
        var state: JobState?,
        var isSaved: Boolean,
    ) : ShardDispatcher by ShardDispatcher.Factory.Default.create(shardOptions(), NoEffects, PauseGuard()) {
        override fun durableJobState(jobId: JobId) = state

        override fun isEndUnsaved(jobId: JobId) = !isSaved
    }

    private class Fixture(
        state: JobState?,
        isSaved: Boolean,
    ) {
        val loop = FakeControlLoop()
        val dispatcher = OneJobDispatcher(state, isSaved)
        private val store = FakeTransactionalStore(loop)
        private val shardId = ShardId(FailureDomainId("a"), 0)
        private val member = FleetMember(InstanceId("e1"), "i1", FailureDomainId("a"), "10.0.0.1:1", 1.0)
        private val holding = ShardHolding(shardId, member, store.put(FleetKeys.shard(shardId)))
        val jobs =
            HostedDurableJobs(
                holding,
                dispatcher,
                loop,
                {},
                { _, _, onAnswers -> onAnswers(persistentMapOf()) },
                NoPartClient,
                {},
            ) { listener ->
                DurableJobStore(holding, store, loop, { loop.nowMillis() }, 10_000, listener)
            }
        val answers = ArrayList<JobState?>()

        fun queryState() = jobs.queryState(ID) { answers.add(it) }
    }

    private class Row(
        val name: String,
        val state: JobState?,
        val isSaved: Boolean,
        val test: Fixture.() -> Unit,
    )

    private val rows =
        listOf(
            Row("the state of a running job is returned at once", JobState.RUNNING, isSaved = true) {
                queryState()
                assertEquals(listOf<JobState?>(JobState.RUNNING), answers)
            },
            Row("an unknown job is reported at once", null, isSaved = true) {
                queryState()
                assertEquals(listOf<JobState?>(null), answers)
            },
            Row("an end that is being stored is returned once it is stored", JobState.RUNNING, isSaved = false) {
                repeat(2) { queryState() }
                loop.clock.advance(40)
                assertEquals(emptyList(), answers.toList())
                jobs.ended(ID, JobState.COMPLETED)
                loop.clock.advance(1_000)
                assertEquals(List<JobState?>(2) { JobState.COMPLETED }, answers)
            },
            Row(
                "while the store does not accept an end, the job is shown as running",
                JobState.RUNNING,
                isSaved = false,
            ) {
                queryState()
                loop.clock.advance(1_000)
                assertEquals(listOf<JobState?>(JobState.RUNNING), answers)
            },
            Row("a holder that loses its shard reports the job as unknown", JobState.RUNNING, isSaved = false) {
                queryState()
                jobs.release()
                loop.clock.advance(1_000)
                assertEquals(listOf<JobState?>(null), answers)
            },
        )

    @TestFactory
    fun `queries for the state of a durable job`() =
        rows.map { row -> DynamicTest.dynamicTest(row.name) { Fixture(row.state, row.isSaved).run(row.test) } }

    private companion object {
        val ID = JobId("j")
    }
}
