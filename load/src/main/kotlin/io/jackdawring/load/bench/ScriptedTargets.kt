package io.jackdawring.load.bench

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.TargetId
import io.jackdawring.core.shard.EndedRun
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobSnapshot
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.LookOrder
import io.jackdawring.core.shard.LookResult
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.RunningRun
import io.jackdawring.core.shard.ShardDecision
import io.jackdawring.core.shard.ShardOutlet
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.core.shard.StartOrder
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.core.shard.WaiterId
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableList

/** Targets of a shard that accept every order at once and whose runs end in the order of their starts. */
internal class ScriptedTargets(
    count: Int,
) : ShardOutlet {
    /** A run that was ordered. */
    class Started(
        val target: ShardTarget,
        val order: StartOrder,
    )

    private val running = HashMap<TargetId, LinkedHashMap<TaskKey, Int>>()
    private val ends = HashMap<TargetId, Long>()
    private val looks = HashMap<TargetId, LookOrder>()
    val facts = List(count, ::target)

    /** Starts whose answer is owed. */
    val ordered = ArrayDeque<Started>()

    /** Accepted runs, the oldest first. */
    val started = ArrayDeque<Started>()
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
        order: StartOrder,
    ) {
        running.getOrPut(target.id, ::LinkedHashMap)[order.task] = order.attempt
        ordered.addLast(Started(target, order))
    }

    /** The look that is open at [id] and its answer, with the end of [ended] if it is given. */
    fun answerLook(
        id: TargetId,
        ended: Started?,
        nowMillis: Long,
    ): Pair<LookOrder, LookResult>? {
        val look = looks.remove(id) ?: return null
        val runs = running.getOrPut(id, ::LinkedHashMap)
        val end =
            ended?.let {
                runs.remove(it.order.task)
                val sequence = ends.merge(id, 1L, Long::plus)!!
                EndedRun(sequence, it.order.task, it.order.attempt, EndedRun.Ending.DONE)
            }
        val listed = runs.map { (task, attempt) -> RunningRun(task, attempt, null) }.toImmutableList()
        return look to
            LookResult.Seen(nowMillis, BORN_MILLIS, listed, end?.let { persistentListOf(it) } ?: persistentListOf())
    }

    override fun look(
        target: ShardTarget,
        order: LookOrder,
    ) {
        looks[target.id] = order
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
        private const val BORN_MILLIS = 1L
    }
}
