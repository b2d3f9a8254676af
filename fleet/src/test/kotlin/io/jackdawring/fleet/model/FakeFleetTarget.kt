package io.jackdawring.fleet.model

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.TargetId
import io.jackdawring.core.shard.EndedRun
import io.jackdawring.core.shard.EndedRun.Ending
import io.jackdawring.core.shard.PollRequest
import io.jackdawring.core.shard.PollResult
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.RunningRun
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.core.shard.StartRequest
import io.jackdawring.core.shard.StartResult
import io.jackdawring.core.shard.StopResult
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.testing.VirtualClock
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableList

/** Target with leases, attempt numbers, fencing tokens and lists of ended runs; its clock runs at [clockRate]. */
internal class FakeFleetTarget(
    val id: String,
    domain: String,
    private val clock: VirtualClock,
    private val runs: FakeRuns,
    private val clockRate: Double = 1.0,
    label: String? = null,
) {
    class Run(
        val task: TaskKey,
        val attempt: Int,
        val demand: Resources,
    )

    private class WaitingPoll(
        val respond: (PollResult) -> Unit,
    )

    val registration =
        ShardTarget(
            TargetId(id),
            FakeFleet.SERVICE,
            id,
            FailureDomainId(domain),
            CAPACITY,
            label?.let { persistentSetOf(it) } ?: persistentSetOf(),
            draining = false,
        )
    private var bornMillis = clock.nowMillis
    private var clockBaseMillis = FIRST_CLOCK_MILLIS
    private val running = ArrayList<Run>()
    private val ends = ArrayList<EndedRun>()
    private val endedAttempts = HashMap<TaskKey, Int>()
    private val waitingPolls = ArrayList<WaitingPoll>()
    private var nextEnd = 1L

    /** Sequence of the last end before the lease lapsed. */
    private var lapsedEnd = 0L
    private var fencingToken = 0L
    private var leaseUntilMillis = 0L

    /** Time until which connections are refused after a restart. */
    var startingUntilMillis = 0L
        private set

    private fun clockMillis() = clockBaseMillis + ((clock.nowMillis - bornMillis) * clockRate).toLong()

    private fun isFenced(token: Long): Boolean {
        fencingToken = maxOf(fencingToken, token)
        return token < fencingToken
    }

    fun start(
        request: StartRequest,
        token: Long,
        demand: Resources,
        durationMillis: Long,
    ): StartResult {
        if (isFenced(token)) return reject(StartResult.Reason.FENCED)
        if (maxOf(request.leaseUntilMillis, leaseUntilMillis) < clockMillis()) return reject(StartResult.Reason.LATE)
        extendLease(request.leaseUntilMillis)
        if (running.any { it.task == request.task && it.attempt == request.attempt }) {
            return StartResult.Accepted(clockMillis())
        }
        if (request.attempt <= (endedAttempts[request.task] ?: 0)) return reject(StartResult.Reason.OLD_ATTEMPT)
        val free = running.fold(CAPACITY) { free, run -> free - run.demand }
        if (!demand.fitsInto(free)) return reject(StartResult.Reason.NO_ROOM)
        val run = Run(request.task, request.attempt, demand)
        running.add(run)
        runs.onBegin(run, id)
        clock.schedule(durationMillis) { end(run, Ending.DONE) }
        return StartResult.Accepted(clockMillis())
    }

    private fun reject(reason: StartResult.Reason) = StartResult.Rejected(reason, clockMillis())

    fun stop(
        task: TaskKey,
        attempt: Int,
        token: Long,
    ): StopResult {
        if (isFenced(token)) return StopResult.Fenced
        endedAttempts.merge(task, attempt, ::maxOf)
        val stopped = running.filter { it.task == task && it.attempt <= attempt }
        clock.schedule(STOP_MILLIS) { stopped.forEach { end(it, Ending.STOPPED) } }
        return StopResult.Accepted
    }

    /** Answers through [respond], with a delay while no ended run is listed. */
    fun poll(
        request: PollRequest,
        token: Long,
        respond: (PollResult) -> Unit,
    ) {
        if (isFenced(token)) {
            respond(PollResult.Fenced)
            return
        }
        request.leaseUntilMillis?.let(::extendLease)
        val noted = ends.filter { it.sequence <= request.acknowledgedEnd }
        ends.removeAll(noted)
        // If the lease has lapsed in between, the task may have run elsewhere meanwhile.
        noted.filter { it.ending == Ending.DONE && it.sequence > lapsedEnd }.forEach {
            runs.onNoted(
                it.task,
                it.attempt,
                id,
            )
        }
        val poll = WaitingPoll(respond)
        waitingPolls.add(poll)
        val waitMillis = if (ends.isEmpty()) request.waitMillis else 0
        if (waitMillis == 0L) answer(poll) else clock.schedule(waitMillis) { answer(poll) }
    }

    private fun answer(poll: WaitingPoll) {
        if (!waitingPolls.remove(poll)) return
        val listed = running.map { RunningRun(it.task, it.attempt) }.toImmutableList()
        val listedEnds = ends.take(MAX_LISTED_ENDS).toImmutableList()
        val mayHaveMore = listedEnds.size == MAX_LISTED_ENDS
        poll.respond(PollResult.Snapshot(clockMillis(), bornMillis, listed, listedEnds, mayHaveMore))
    }

    private fun extendLease(untilMillis: Long) {
        val shortened = minOf(untilMillis, clockMillis() + FakeFleet.MAX_LEASE_MILLIS)
        if (shortened <= leaseUntilMillis) return
        leaseUntilMillis = shortened
        checkLeaseIn(((shortened - clockMillis()) / clockRate).toLong(), shortened)
    }

    private fun checkLeaseIn(
        millis: Long,
        untilMillis: Long,
    ) {
        clock.schedule(millis) {
            when {
                leaseUntilMillis != untilMillis -> Unit
                clockMillis() <= untilMillis -> checkLeaseIn(1, untilMillis)
                else -> {
                    running.toList().forEach { end(it, Ending.LAPSED) }
                    lapsedEnd = nextEnd - 1
                }
            }
        }
    }

    private fun end(
        run: Run,
        ending: Ending,
    ) {
        if (!running.remove(run)) return
        runs.onEnd(run, id, ending.name)
        endedAttempts.merge(run.task, run.attempt, ::maxOf)
        ends.add(EndedRun(nextEnd++, run.task, run.attempt, ending))
        waitingPolls.toList().forEach(::answer)
    }

    /** Restarts under the same id as a new incarnation, which knows nothing; its clock starts anew. */
    fun restart() {
        running.toList().also { running.clear() }.forEach { runs.onEnd(it, id, "CRASHED") }
        waitingPolls.clear()
        ends.clear()
        endedAttempts.clear()
        nextEnd = 1
        lapsedEnd = 0
        fencingToken = 0
        leaseUntilMillis = 0
        bornMillis = clock.nowMillis
        clockBaseMillis = 0
        startingUntilMillis = clock.nowMillis + RESTART_MILLIS
    }

    companion object {
        val CAPACITY = Resources(16_000, 65_536)

        /** Number of ended runs that are listed at a time, as by the targets of the platform. */
        private const val MAX_LISTED_ENDS = 500
        private const val FIRST_CLOCK_MILLIS = 100_000L
        private const val STOP_MILLIS = 40L
        private const val RESTART_MILLIS = 50L
    }
}
