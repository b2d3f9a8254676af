package io.jackdawring.fleet.durable

import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobPart
import io.jackdawring.core.shard.ShardDecision
import io.jackdawring.core.shard.ShardDecision.TasksChangedShard.Change
import io.jackdawring.core.shard.ShardDispatcher
import io.jackdawring.core.shard.StalledTask
import io.jackdawring.core.shard.TaskProgress
import io.jackdawring.fleet.ControlLoop
import io.jackdawring.fleet.FleetKeys
import io.jackdawring.fleet.repeatEvery

/**
 * Delegates tasks that cannot run in a held shard to others, and returns those of its parts; confined to the control
 * thread.
 */
internal class HostedParts(
    private val shardId: ShardId,
    private val dispatcher: ShardDispatcher,
    private val loop: ControlLoop,
    private val client: PartClient,
    private val report: (ShardDecision) -> Unit,
    private val store: () -> DurableJobStore,
) : PartListener {
    private val parts = dispatcher.parts
    private val asking = HashSet<ShardId>()
    private var isAskingForRoom = false
    private var round = 0L

    /** Position of the stalled task that is next in turn. */
    private var nextIndex = 0
    private var stopped = false

    fun start() = loop.repeatEvery(ENDING_INTERVAL_MILLIS, ::runRound)

    fun stop() {
        stopped = true
    }

    private fun runRound(): Boolean {
        if (stopped) return false
        val isFull = round++ % ROUNDS_PER_INTERVAL == 0L
        if (isFull) moveStalledTasks()
        ask(endingOnly = !isFull)
        return true
    }

    private fun moveStalledTasks() {
        val now = loop.nowMillis()
        parts.endCancelled(now)
        val stalled = parts.stalledTasks(now).filter { needsOtherShard(it, now) }
        stalled.filter { it.isPart }.forEach(::giveBack)
        val own = nextOf(stalled.filterNot { it.isPart })
        if (own.isEmpty() || isAskingForRoom) return
        isAskingForRoom = true
        client.queryRoom(shardId, own.map { it.needs }) { rooms ->
            isAskingForRoom = false
            if (!stopped) own.forEachIndexed { index, task -> delegate(task, rooms.filterValues { it[index] }.keys) }
        }
    }

    private fun needsOtherShard(
        task: StalledTask,
        nowMillis: Long,
    ): Boolean = dispatcher.delayMillis(task.needs, nowMillis)?.let { it >= MIN_GAIN_MILLIS } ?: true

    /** Up to [MAX_TASKS] of [all], in turn, so that tasks that no shard can run do not keep the others from moving. */
    private fun nextOf(all: List<StalledTask>): List<StalledTask> {
        val first = if (nextIndex < all.size) nextIndex else 0
        nextIndex = first + MAX_TASKS
        return all.drop(first).take(MAX_TASKS)
    }

    private fun giveBack(task: StalledTask) {
        val progress = parts.hold(task, loop.nowMillis()) ?: return
        store().giveBack(task.jobId, task.task, progress)
        parts.save(task.jobId)
    }

    private fun delegate(
        task: StalledTask,
        targets: Set<ShardId>,
    ) {
        if (targets.isEmpty()) return
        val progress = parts.hold(task, loop.nowMillis()) ?: return
        val sorted = targets.sortedBy { it.toString() }
        val target = sorted[Math.floorMod((task.jobId.value + task.task).hashCode(), sorted.size)]
        store().delegate(task.jobId, target, task.task, progress)
        parts.save(task.jobId)
    }

    /** Asks the holders of parts for results, and reads the parts of those that do not answer. */
    private fun ask(endingOnly: Boolean) {
        for ((target, revisions) in store().openParts(endingOnly)) {
            if (!asking.add(target)) continue
            client.queryParts(target, revisions) { withResults ->
                asking.remove(target)
                val read = withResults ?: revisions.keys.takeUnless { endingOnly }.orEmpty()
                if (!stopped) read.forEach { store().readPart(it, target) }
            }
        }
    }

    private fun report(
        id: JobId,
        change: Change,
        tasks: Collection<String>,
        other: ShardId? = null,
    ) = report(ShardDecision.TasksChangedShard(id, change, tasks.sorted(), other?.let(FleetKeys::shard)))

    override fun onDelegated(
        id: JobId,
        target: ShardId,
        tasks: Set<String>,
    ) {
        report(id, Change.DELEGATED, tasks, target)
        ask(endingOnly = false)
    }

    override fun onReturned(
        id: JobId,
        tasks: Map<String, TaskProgress>,
    ) {
        report(id, Change.RETURNED, tasks.keys)
        parts.restore(id, tasks, loop.nowMillis())
    }

    override fun onFailed(id: JobId) = parts.fail(id, loop.nowMillis())

    override fun onEnding(id: JobId) = ask(endingOnly = true)

    override fun onWriteNeeded(id: JobId) = parts.save(id)

    override fun onPart(part: JobPart) {
        val added = parts.run(part, loop.nowMillis())
        if (added.isNotEmpty()) report(part.spec.id, Change.TAKEN, added)
    }

    override fun onPartCancelled(id: JobId) {
        report(id, Change.CANCELLED, emptyList())
        parts.cancel(id, loop.nowMillis())
    }

    override fun onPartRemoved(id: JobId) = parts.drop(id, loop.nowMillis())

    private companion object {
        /** Time between two questions about jobs that are to end, whose callers wait for the answer. */
        const val ENDING_INTERVAL_MILLIS = 100L

        /** All other questions are asked every 500 ms. */
        const val ROUNDS_PER_INTERVAL = 5L

        /** Limits the tasks of one round, so that the answers of the next one include them. */
        const val MAX_TASKS = 32

        /** About the time that it takes until the task can start in the other shard. */
        const val MIN_GAIN_MILLIS = 1_000L
    }
}
