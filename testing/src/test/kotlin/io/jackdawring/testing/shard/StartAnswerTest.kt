package io.jackdawring.testing.shard

import io.jackdawring.core.PauseGuard
import io.jackdawring.core.TargetId
import io.jackdawring.core.shard.Admission
import io.jackdawring.core.shard.HandOver
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobRequest
import io.jackdawring.core.shard.JobSnapshot
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.PollRequest
import io.jackdawring.core.shard.PollResult
import io.jackdawring.core.shard.RunningRun
import io.jackdawring.core.shard.ShardDecision
import io.jackdawring.core.shard.ShardDispatcher
import io.jackdawring.core.shard.ShardEffects
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.core.shard.StartRequest
import io.jackdawring.core.shard.StartResult
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.core.shard.WaiterId
import io.jackdawring.core.shard.shardOptions
import io.jackdawring.testing.shard.FakeShard.Companion.job
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against answers and lists from which a holder concludes that a run is over although it is at work. */
class StartAnswerTest {
    private class Sent<T>(
        val target: TargetId,
        val request: T,
        val address: String,
    )

    /** A dispatcher whose requests the test answers one by one. */
    private class Holder : ShardEffects {
        val starts = ArrayList<Sent<StartRequest>>()
        val stops = ArrayList<Sent<Int>>()
        val polls = ArrayList<Sent<PollRequest>>()
        val dispatcher = ShardDispatcher.Factory.Default.create(shardOptions(), this, PauseGuard())
        var nowMillis = 0L

        /** Makes the holder known to [TARGETS], which have no runs, and starts the task of [JOB]. */
        fun startJob() {
            dispatcher.recover(persistentListOf(), attemptBase = 0, nowMillis)
            dispatcher.updateTargets(TARGETS.toImmutableList(), nowMillis)
            nowMillis++
            TARGETS.forEach { list(it.id) }
            submit(mayRun = false)
        }

        fun submit(mayRun: Boolean) {
            val request = JobRequest(JOB, 10_000, Admission.ON_TIME_OR_LATE, mayRun)
            dispatcher.submit(request, WaiterId(1), nowMillis)
        }

        /** Answers the last poll of [target] with [runs]. */
        fun list(
            target: TargetId,
            vararg runs: RunningRun,
            bornMillis: Long = 1,
            poll: PollRequest = polls.last { it.target == target }.request,
        ) {
            val running = runs.asList().toImmutableList()
            val snapshot =
                PollResult.Snapshot(
                    nowMillis,
                    bornMillis,
                    running,
                    persistentListOf(),
                    mayHaveMoreEnds = false,
                )
            dispatcher.onPoll(target, poll, snapshot, nowMillis)
        }

        fun answer(
            start: Sent<StartRequest>,
            result: StartResult,
        ) = dispatcher.onStart(start.target, start.request, result, nowMillis)

        override fun start(
            target: ShardTarget,
            request: StartRequest,
        ) {
            starts.add(Sent(target.id, request, target.address))
        }

        override fun stop(
            target: ShardTarget,
            task: TaskKey,
            attempt: Int,
        ) {
            stops.add(Sent(target.id, attempt, target.address))
        }

        override fun poll(
            target: ShardTarget,
            request: PollRequest,
        ) {
            polls.add(Sent(target.id, request, target.address))
        }

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

    private class Row(
        val name: String,
        val starts: Int,
        val test: Holder.(first: Sent<StartRequest>) -> Unit,
    )

    private val rows =
        listOf(
            // Guards against a list that is older than the start and taken for the end of the run.
            Row("a poll that was sent before the answer to the start lists no run", 1) {
                val poll = polls.last { sent -> sent.target == it.target }.request
                nowMillis += 5
                answer(it, StartResult.Accepted(nowMillis))
                nowMillis++
                list(it.target, poll = poll)
            },
            // Guards against a list of the same millisecond that is older than the run.
            Row("a poll that was sent in the millisecond of the answer to the start lists no run", 1) {
                nowMillis += 5
                list(it.target)
                answer(it, StartResult.Accepted(nowMillis))
                nowMillis++
                list(it.target)
            },
            // Guards against a list of the former incarnation that is read after the run started in the next one.
            Row("the former incarnation lists no run after the next one has accepted the start", 1) {
                val poll = polls.last { sent -> sent.target == it.target }.request
                nowMillis += 60
                answer(it, StartResult.Accepted(nowMillis))
                list(it.target, poll = poll)
                nowMillis++
                list(it.target, RunningRun(it.request.task, it.request.attempt), bornMillis = 50)
            },
            // Guards against a replaced poll whose answer is read after that of the newer one.
            Row("a replaced poll lists no run", 1) {
                val replaced = polls.last { sent -> sent.target == it.target }.request
                answer(it, StartResult.Accepted(nowMillis))
                nowMillis++
                list(it.target, RunningRun(it.request.task, it.request.attempt))
                nowMillis++
                list(it.target, poll = replaced)
            },
            // Guards against an unanswered start that counts as not executed.
            Row("a start without an answer is missing in the list", 1) {
                nowMillis += 200
                answer(it, StartResult.Unknown("timed out"))
                nowMillis++
                list(it.target)
            },
            // Guards against a run of another attempt that goes on unnoticed while the task starts elsewhere.
            Row("a start has no room beside another attempt of its task, which the target has listed", 1) {
                nowMillis++
                list(it.target, RunningRun(it.request.task, it.request.attempt + 1))
                nowMillis++
                answer(it, StartResult.Rejected(StartResult.Reason.NO_ROOM, nowMillis))
                dispatcher.tick(nowMillis)
            },
            // Guards against a listed run that counts as over because of an answer that cannot be its own.
            Row("a start is rejected although the target has listed its run", 1) {
                nowMillis++
                list(it.target, RunningRun(it.request.task, it.request.attempt))
                nowMillis++
                answer(it, StartResult.Rejected(StartResult.Reason.UNHEALTHY, nowMillis))
                dispatcher.tick(nowMillis)
            },
            // Guards against a start at a new address with a lease on the clock of the process at the former one.
            Row("the former address of another target answers after its address has changed", 1) {
                val other = TARGETS.first { target -> target.id != it.target }
                val moved =
                    TARGETS.map { target ->
                        if (target ===
                            other
                        ) {
                            target.copy(address = NEW_ADDRESS)
                        } else {
                            target
                        }
                    }
                val poll = polls.last { sent -> sent.target == other.id }.request
                dispatcher.updateTargets(moved.toImmutableList(), nowMillis)
                nowMillis++
                list(other.id, poll = poll)
                val last = polls.last { sent -> sent.target == other.id }.request
                dispatcher.onPoll(other.id, last, PollResult.Unknown("reset"), nowMillis)
                val atNewAddress = polls.filter { sent -> sent.address == NEW_ADDRESS }
                assertEquals(listOf(null), atNewAddress.map { sent -> sent.request.leaseUntilMillis }, "leases")
            },
        )

    @TestFactory
    fun `a task whose run may be at work is not started again`() =
        rows.map {
            DynamicTest.dynamicTest(it.name) {
                val holder = Holder().apply { startJob() }
                it.test(holder, holder.starts.single())
                assertEquals(it.starts, holder.starts.size, "starts")
            }
        }

    /** Guards against a run under a lease of the previous holder that counts as over once its target falls silent. */
    @TestFactory
    fun `a run of a previous holder counts as at work until its lease has ended`() =
        listOf(0L, 500L, 1_000L).map { listedMillis ->
            DynamicTest.dynamicTest("a target that is listed after $listedMillis ms and silent after its first list") {
                val holder = Holder()
                val silent = TARGETS.first()
                val others = TARGETS.drop(1).toImmutableList()
                holder.dispatcher.updateTargets(others, holder.nowMillis)
                others.forEach { holder.list(it.id) }
                holder.nowMillis += listedMillis
                holder.dispatcher.updateTargets(TARGETS.toImmutableList(), holder.nowMillis)
                holder.list(silent.id, RunningRun(TaskKey(JOB.id, 0, 0, 0), attempt = 1))
                val leaseEndMillis = holder.nowMillis + MAX_LEASE_MILLIS
                holder.nowMillis++
                val poll = holder.polls.last { it.target == silent.id }.request
                holder.dispatcher.onPoll(silent.id, poll, PollResult.Unknown("reset"), holder.nowMillis)
                holder.submit(mayRun = true)
                while (holder.nowMillis < leaseEndMillis - TICK_MILLIS) {
                    holder.nowMillis += TICK_MILLIS
                    others.forEach { holder.list(it.id) }
                    holder.dispatcher.tick(holder.nowMillis)
                }
                assertEquals(0, holder.starts.size, "starts before the end of the lease")
            }
        }

    /** Guards against runs of a cut off holder that are stopped before its relays have sent their jobs again. */
    @Test
    fun `runs of a cut off holder that has just stopped wait for their jobs`() {
        val holder = Holder()
        holder.dispatcher.onHoldersCutOff(holderToken = 1, isPredecessor = true)
        holder.dispatcher.onPredecessorServed(holder.nowMillis - 30_000)
        holder.dispatcher.recover(persistentListOf(), attemptBase = 0, holder.nowMillis)
        val handOver = HandOver(TARGETS.toImmutableList(), areAllRunsThere = true)
        holder.dispatcher.onHolderStopped(1, handOver, stoppedAtMillis = holder.nowMillis, holder.nowMillis)
        holder.list(TARGETS.first().id, RunningRun(TaskKey(JOB.id, 0, 0, 0), attempt = 1))
        holder.list(TARGETS.last().id)
        holder.nowMillis += 400
        holder.dispatcher.tick(holder.nowMillis)
        holder.submit(mayRun = true)
        assertEquals(0, holder.stops.size, "stops")
        assertEquals(0, holder.starts.size, "starts beside the run")
    }

    private companion object {
        val TARGETS = List(2) { FakeShardTarget("t$it").registration }
        val JOB = job("a")
        const val TICK_MILLIS = 20L
        const val NEW_ADDRESS = "10.0.0.9:1"

        /** Longest time for which a target keeps a lease that its previous holder renewed just before. */
        const val MAX_LEASE_MILLIS = 1_130L
    }
}
