package io.jackdawring.fleet.shard

import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobRequest
import io.jackdawring.core.shard.JobSnapshot
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.PollRequest
import io.jackdawring.core.shard.ShardDecision
import io.jackdawring.core.shard.ShardDispatcher
import io.jackdawring.core.shard.ShardEffects
import io.jackdawring.core.shard.ShardOptions
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.core.shard.StartRequest
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.core.shard.WaiterId
import io.jackdawring.fleet.ControlLoop
import io.jackdawring.fleet.FleetBeliefs
import io.jackdawring.fleet.FleetKeys
import io.jackdawring.fleet.TargetClient
import io.jackdawring.fleet.kept.HostedKeptJobs
import io.jackdawring.fleet.kept.KeepMessage
import io.jackdawring.fleet.kept.KeepOutcome
import io.jackdawring.fleet.kept.KeptJobStore
import io.jackdawring.fleet.repeatEvery
import kotlinx.collections.immutable.ImmutableCollection

/** Runs the dispatcher of a shard that this process holds; belongs to the control thread. */
internal class ShardHost(
    val holding: ShardHolding,
    options: ShardOptions,
    factory: ShardDispatcher.Factory,
    private val targets: TargetClient,
    private val loop: ControlLoop,
    private val log: DecisionLog,
    private val onLoad: (Map<String, Int>) -> Unit,
    private val onFenced: () -> Unit,
    createKeptStore: (KeptJobStore.Listener) -> KeptJobStore,
) : ShardEffects {
    private class Waiter(
        val relay: String,
        val onOutcome: (JobOutcome) -> Unit,
    )

    private val dispatcher = factory.create(options, this)
    private val keptJobs = HostedKeptJobs(holding, dispatcher, loop, onFenced, createKeptStore)
    private val waiters = HashMap<WaiterId, Waiter>()
    private var nextWaiter = 0L
    private var released = false
    private var examinedBefore = 0L

    /** Starts to work. */
    fun start() {
        keptJobs.start()
        loop.repeatEvery(TICK_MILLIS, ::tick)
    }

    private fun tick(): Boolean {
        if (released) return false
        dispatcher.tick(loop.nowMillis())
        log.examined(dispatcher.examined - examinedBefore)
        examinedBefore = dispatcher.examined
        onLoad(dispatcher.loadPercents(loop.nowMillis()))
        return true
    }

    fun updateTargets(listed: ImmutableCollection<ShardTarget>) = dispatcher.updateTargets(listed, loop.nowMillis())

    /** Adds the targets that the holder before knew. */
    fun inherit(targets: ImmutableCollection<ShardTarget>) = dispatcher.inherit(targets, loop.nowMillis())

    fun knownTargets(): List<ShardTarget> = dispatcher.knownTargets()

    /** Adds a request for a job on behalf of [relay]; [onOutcome] is called at most once. */
    fun submit(
        relay: String,
        request: JobRequest,
        onOutcome: (JobOutcome) -> Unit,
    ): WaiterId {
        val id = WaiterId(nextWaiter++)
        waiters[id] = Waiter(relay, onOutcome)
        dispatcher.submit(request, id, loop.nowMillis())
        return id
    }

    fun withdraw(id: WaiterId) {
        if (waiters.remove(id) != null) dispatcher.withdraw(id, loop.nowMillis())
    }

    /** Ends the requests of a relay that has fallen silent. */
    fun dismissAll(relay: String) =
        waiters
            .filterValues { it.relay == relay }
            .keys
            .toList()
            .forEach { dispatcher.expire(it, loop.nowMillis()) }

    fun describe() =
        FleetBeliefs.HeldShard(
            FleetKeys.shard(holding.shardId),
            holding.revision,
            dispatcher.waitingTasks,
            dispatcher.targetViews(loop.nowMillis()),
        )

    /** Number of jobs that have not begun, or null while those of earlier holders are not known. */
    fun pendingJobs(queue: String): Int? = if (keptJobs.isLoaded) dispatcher.pendingJobs(queue) else null

    /** Stores a job and runs it until it ends; [onOutcome] is called once. */
    fun submitDurable(
        message: KeepMessage,
        onOutcome: (KeepOutcome) -> Unit,
    ) = keptJobs.submitDurable(message, onOutcome)

    /** Tells the state of a kept job, or null if there is no such job here. */
    fun askState(
        id: JobId,
        onState: (JobState?) -> Unit,
    ) = keptJobs.ask(id, onState)

    /** Cancels a kept job; [onState] gets its state once that is stored, or null if there is no such job here. */
    fun cancel(
        id: JobId,
        onState: (JobState?) -> Unit,
    ) = keptJobs.cancel(id, onState)

    fun release() {
        released = true
        keptJobs.release()
        dispatcher.release(loop.nowMillis())
    }

    override fun start(
        target: ShardTarget,
        request: StartRequest,
    ) = targets.start(
        target,
        request,
        holding.revision,
    ) { dispatcher.onStart(target.id, request, it, loop.nowMillis()) }

    override fun stop(
        target: ShardTarget,
        task: TaskKey,
        attempt: Int,
    ) = targets.stop(target, task, attempt, holding.revision) {
        dispatcher.onStop(target.id, task, attempt, it, loop.nowMillis())
    }

    override fun poll(
        target: ShardTarget,
        request: PollRequest,
    ) = targets.poll(target, request, holding.revision) { dispatcher.onPoll(target.id, request, it, loop.nowMillis()) }

    override fun save(
        jobId: JobId,
        snapshot: () -> JobSnapshot,
    ) = keptJobs.save(jobId, snapshot)

    override fun ended(
        jobId: JobId,
        state: JobState,
    ) = keptJobs.ended(jobId, state)

    override fun answer(
        waiter: WaiterId,
        outcome: JobOutcome,
    ) {
        waiters.remove(waiter)?.onOutcome?.invoke(outcome)
    }

    override fun fenced(target: ShardTarget) {
        if (!released) onFenced()
    }

    override fun report(decision: ShardDecision) = log.report(decision)

    private companion object {
        /** Resolution of time limits; short against the shortest latency objective. */
        const val TICK_MILLIS = 20L
    }
}
