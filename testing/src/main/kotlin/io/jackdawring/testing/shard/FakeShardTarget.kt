package io.jackdawring.testing.shard

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.TargetId
import io.jackdawring.core.shard.EndedRun
import io.jackdawring.core.shard.PollRequest
import io.jackdawring.core.shard.PollResult
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.RunningRun
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.core.shard.StartRequest
import io.jackdawring.core.shard.StartResult
import io.jackdawring.core.shard.StepSpec
import io.jackdawring.core.shard.TaskKey
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableList

/** Target on virtual time that implements leases, attempt numbers and lists of ended runs like a real one. */
class FakeShardTarget(
    id: String,
    capacity: Resources = Resources(32_000, 65_536),
    /** Speed relative to the declared durations. */
    var speed: Double = 1.0,
    labels: Set<String> = emptySet(),
    /** Whether starts that exceed the capacity are rejected. */
    val guardsCapacity: Boolean = true,
) {
    /** The target's description of itself; its holder learns of changes later. */
    var registration =
        ShardTarget(
            TargetId(id),
            "orders",
            "10.0.0.1:1",
            FailureDomainId("a"),
            capacity,
            persistentSetOf<String>().addAll(labels),
            draining = false,
        )
        private set

    /** Changes the capacity; runs that exceed it continue. */
    fun resize(capacity: Resources) {
        registration = registration.copy(capacity = capacity)
    }

    internal fun moveTo(address: String) {
        registration = registration.copy(address = address)
    }

    /** What the runs leave of [capacity]. */
    internal fun freeOf(capacity: Resources): Resources = runs.values.fold(capacity) { free, run -> free - run.demand }

    /** How the target handles requests and runs. */
    var mode = Mode.HEALTHY

    /** The target's clock minus the virtual time; it grows while the monotonic clock of the holder stands still. */
    var clockOffsetMillis = 100_000L

    /** Time until which the target refuses connections after a restart. */
    internal var startingUntilMillis = 0L

    /** Delay of the next poll, as if its connection were slow to open. */
    var firstPollDelayMillis = 0L

    /** Time after which a start that arrives while the target is silent is carried out; null if it never is. */
    var lateStartMillis: Long? = null

    /** Whether stop requests are lost, while all other requests arrive. */
    var losesStops = false

    /** Whether the first stop request for each run is lost. */
    var losesFirstStops = false
    private val lostStops = HashSet<TaskKey>()

    /** Whether a stop request for [task] that is sent now is lost. */
    internal fun losesStop(task: TaskKey): Boolean = losesStops || losesFirstStops && lostStops.add(task)

    /** Number of the next starts that are rejected as unhealthy. */
    var unhealthyStarts = 0

    /** Whether another target has the address now. */
    var isReplaced = false

    /** Time that the target takes to stop a run. */
    var stopMillis = 0L

    /** Factor by which a run takes longer beside another one, by the kinds of both; null if no kinds interfere. */
    var slowdown: ((String, String) -> Double)? = null

    /** Additional delay of the answers to polls, as if the holder were slow to read them. */
    var answerDelayMillis = 0L

    internal class Run(
        val key: TaskKey,
        val attempt: Int,
        val demand: Resources,
        val endsAtMillis: Long,
        val fails: Boolean,
        val startedAtMillis: Long,
        /** Work that is saved in the checkpoint from which the run resumed. */
        val restoredMillis: Long,
        val checkpointing: Boolean,
        val kind: String,
    ) {
        /** Time by which neighbours have delayed the end. */
        var delayMillis = 0.0

        /** Time at which a requested stop takes effect; null without a request. */
        var stopsAtMillis: Long? = null
        var saved = if (restoredMillis > 0) checkpoint(key, attempt, restoredMillis) else null

        fun save(
            nowMillis: Long,
            speed: Double,
        ) {
            val worked = ((nowMillis - startedAtMillis) * speed).toLong()
            if (checkpointing) saved = checkpoint(key, attempt, restoredMillis + worked)
        }
    }

    internal val runs = LinkedHashMap<TaskKey, Run>()
    private val ends = ArrayList<EndedRun>()
    private val acknowledgedEnds = ArrayList<EndedRun>()
    private val endedAttempts = HashMap<TaskKey, Int>()
    private var nextEnd = 1L
    private var leaseUntilMillis = 0L
    internal var incarnationStartMillis = 1L
        private set

    enum class Mode {
        HEALTHY,

        /** Fails every run at once. */
        FAILS,

        /** Starts runs that never complete. */
        HANGS,

        /** Receives and answers no requests; its runs continue. */
        SILENT,

        /** Starts runs, but its answers are lost. */
        ANSWERS_LOST,
    }

    internal fun start(
        request: StartRequest,
        step: StepSpec,
        workMillis: Long,
        nowMillis: Long,
        kind: String = "",
        isPoison: Boolean = false,
    ): StartResult {
        val clock = nowMillis + clockOffsetMillis
        if (unhealthyStarts > 0) {
            unhealthyStarts--
            return StartResult.Rejected(StartResult.Reason.UNHEALTHY, clock)
        }
        val hasRoom = !guardsCapacity || step.demand.fitsInto(freeOf(registration.capacity))
        val rejection =
            when {
                request.leaseUntilMillis < 0 -> StartResult.Reason.INVALID
                maxOf(request.leaseUntilMillis, leaseUntilMillis) < clock -> StartResult.Reason.LATE
                request.attempt <= (endedAttempts[request.task] ?: 0) -> StartResult.Reason.OLD_ATTEMPT
                !hasRoom -> StartResult.Reason.NO_ROOM
                else -> null
            }
        if (rejection != null) return StartResult.Rejected(rejection, clock)
        val restored = request.checkpoint?.let { progressOf(request.task, it) } ?: 0
        val left = ((workMillis - restored) / speed).toLong() + if (restored > 0) RESTORE_MILLIS else 0
        val fails = mode == Mode.FAILS || isPoison
        val duration =
            if (mode == Mode.FAILS) {
                1
            } else if (mode == Mode.HANGS) {
                FOREVER_MILLIS
            } else {
                left
            }
        runs[request.task] =
            Run(
                request.task,
                request.attempt,
                step.demand,
                nowMillis + duration,
                fails,
                nowMillis,
                restored,
                step.checkpointing,
                kind,
            )
        extendLease(request.leaseUntilMillis)
        return StartResult.Accepted(clock)
    }

    internal fun stop(
        task: TaskKey,
        attempt: Int,
        nowMillis: Long,
    ) {
        endedAttempts.merge(task, attempt, ::maxOf)
        val run = runs[task]?.takeIf { it.attempt <= attempt } ?: return
        if (run.stopsAtMillis == null) run.stopsAtMillis = nowMillis + stopMillis
        if (stopMillis == 0L) endStopped(run, nowMillis)
    }

    private fun endStopped(
        run: Run,
        nowMillis: Long,
    ) {
        run.save(nowMillis, speed)
        end(run, EndedRun.Ending.STOPPED)
    }

    internal fun poll(
        request: PollRequest,
        nowMillis: Long,
    ): PollResult.Snapshot {
        request.leaseUntilMillis?.let(::extendLease)
        acknowledgedEnds += ends.filter { it.sequence <= request.acknowledgedEnd }
        ends.removeAll { it.sequence <= request.acknowledgedEnd }
        val listed = ends.take(MAX_LISTED_ENDS)
        returnedEnd = listed.lastOrNull()?.sequence ?: returnedEnd
        val running = runs.values.map { RunningRun(it.key, it.attempt, it.saved) }.toImmutableList()
        return PollResult.Snapshot(
            nowMillis + clockOffsetMillis,
            incarnationStartMillis,
            running,
            listed.toImmutableList(),
            mayHaveMoreEnds = listed.size == MAX_LISTED_ENDS,
        )
    }

    /** Sequence of the last end that was returned to a poll. */
    private var returnedEnd = 0L

    /** Tasks whose runs have ended without the holder's knowledge, because no poll has arrived since. */
    internal val unheardEnds: Set<TaskKey>
        get() = ends.filter { it.sequence > returnedEnd }.mapTo(HashSet()) { it.task }

    /** Ended runs that were acknowledged since the last call. */
    internal fun takeAcknowledgedEnds(): List<EndedRun> = acknowledgedEnds.toList().also { acknowledgedEnds.clear() }

    /** Number of ended runs that are not acknowledged. */
    val unacknowledgedEnds: Int get() = ends.size

    internal val hasEnds: Boolean get() = ends.isNotEmpty()

    /** Saves checkpoints that are due, and ends the runs that are complete or whose lease has expired. */
    internal fun advance(nowMillis: Long) {
        slowdown?.let(::delayRuns)
        for (run in runs.values.toList()) {
            if ((nowMillis - run.startedAtMillis) % CHECKPOINT_MILLIS ==
                CHECKPOINT_MILLIS - 1
            ) {
                run.save(nowMillis, speed)
            }
            when {
                nowMillis + clockOffsetMillis > leaseUntilMillis -> end(run, EndedRun.Ending.LAPSED)
                run.stopsAtMillis?.let { nowMillis >= it } == true -> endStopped(run, nowMillis)
                nowMillis >= run.endsAtMillis + run.delayMillis ->
                    end(
                        run,
                        if (run.fails) EndedRun.Ending.FAILED else EndedRun.Ending.DONE,
                    )
            }
        }
    }

    /** Delays the ends of the runs that neighbours slow down by what they lose in a millisecond. */
    private fun delayRuns(slowdown: (String, String) -> Double) {
        for (run in runs.values) {
            val factor = runs.values.filter { it !== run }.maxOfOrNull { slowdown(run.kind, it.kind) } ?: 1.0
            run.delayMillis += 1 - 1 / factor
        }
    }

    /** Restarts as a new incarnation without any state. */
    fun restart() {
        runs.clear()
        ends.clear()
        endedAttempts.clear()
        nextEnd = 1
        leaseUntilMillis = 0
        returnedEnd = 0
        incarnationStartMillis++
    }

    private fun extendLease(untilMillis: Long) {
        leaseUntilMillis = maxOf(leaseUntilMillis, untilMillis)
    }

    private fun end(
        run: Run,
        ending: EndedRun.Ending,
    ) {
        runs.remove(run.key)
        endedAttempts.merge(run.key, run.attempt, ::maxOf)
        ends.add(EndedRun(nextEnd++, run.key, run.attempt, ending, run.saved))
    }

    internal companion object {
        private const val FOREVER_MILLIS = 1_000_000L

        /** Interval in which a run with checkpoints saves its progress. */
        private const val CHECKPOINT_MILLIS = 100L
        private const val RESTORE_MILLIS = 10L

        /** Number of ended runs that are listed at a time, as by the targets of the platform. */
        private const val MAX_LISTED_ENDS = 500

        private fun checkpoint(
            key: TaskKey,
            attempt: Int,
            progressMillis: Long,
        ) = "$key#$attempt#$progressMillis"

        /** The attempt that saved [checkpoint]. */
        internal fun attemptOf(checkpoint: String): Int = checkpoint.split('#')[1].toInt()

        private fun progressOf(
            key: TaskKey,
            checkpoint: String,
        ): Long {
            check(checkpoint.startsWith("$key#")) { "the checkpoint $checkpoint is not one of $key" }
            return checkpoint.substringAfterLast('#').toLong()
        }
    }
}
