package io.jackdawring.load.bench

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.TargetId
import io.jackdawring.core.shard.EndedRun
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobSnapshot
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.PollRequest
import io.jackdawring.core.shard.PollResult
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.RunningRun
import io.jackdawring.core.shard.ShardDecision
import io.jackdawring.core.shard.ShardEffects
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.core.shard.StartRequest
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.core.shard.WaiterId
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableList

/** Targets of a shard that accept every start at once and whose runs end in the order of their starts. */
internal class ScriptedTargets(
    count: Int,
) : ShardEffects {
    /** A run whose start was requested. */
    class Run(
        val target: ShardTarget,
        val request: StartRequest,
    )

    private val running = HashMap<TargetId, LinkedHashMap<TaskKey, Int>>()
    private val lastEndSequences = HashMap<TargetId, Long>()
    private val openPolls = HashMap<TargetId, PollRequest>()
    val targets = List(count, ::target)

    /** Requested starts that are not accepted yet. */
    val requested = ArrayDeque<Run>()

    /** Accepted runs, oldest first. */
    val started = ArrayDeque<Run>()
    var answers = 0L
        private set

    private fun target(index: Int) =
        ShardTarget(
            TargetId("t$index"),
            SERVICE,
            "10.0.0.1:1",
            FailureDomainId("a"),
            Resources(CAPACITY_CPU_MILLIS, CAPACITY_MB),
            persistentSetOf(),
            draining = false,
        )

    override fun start(
        target: ShardTarget,
        request: StartRequest,
    ) {
        running.getOrPut(target.id, ::LinkedHashMap)[request.task] = request.attempt
        requested.addLast(Run(target, request))
    }

    /** The open poll of [id] and its result, which contains the end of [ended] if given; null if no poll is open. */
    fun answerPoll(
        id: TargetId,
        ended: Run?,
        nowMillis: Long,
    ): Pair<PollRequest, PollResult>? {
        val poll = openPolls.remove(id) ?: return null
        val runs = running.getOrPut(id, ::LinkedHashMap)
        val end =
            ended?.let {
                runs.remove(it.request.task)
                val sequence = lastEndSequences.merge(id, 1L, Long::plus)!!
                EndedRun(sequence, it.request.task, it.request.attempt, EndedRun.Ending.DONE)
            }
        val listed = runs.map { (task, attempt) -> RunningRun(task, attempt, null) }.toImmutableList()
        return poll to
            PollResult.Snapshot(
                nowMillis,
                STARTED_MILLIS,
                listed,
                end?.let { persistentListOf(it) } ?: persistentListOf(),
                mayHaveMoreEnds = false,
            )
    }

    override fun poll(
        target: ShardTarget,
        request: PollRequest,
    ) {
        openPolls[target.id] = request
    }

    override fun answer(
        waiter: WaiterId,
        outcome: JobOutcome,
    ) {
        answers++
    }

    override fun stop(
        target: ShardTarget,
        task: TaskKey,
        attempt: Int,
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

    companion object {
        const val SERVICE = "orders"
        const val CAPACITY_CPU_MILLIS = 32_000
        private const val CAPACITY_MB = 65_536
        private const val STARTED_MILLIS = 1L
    }
}
