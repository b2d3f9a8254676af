package io.jackdawring.fleet.shard

import io.jackdawring.core.PauseGuard
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.shard.HandOver
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobNeeds
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
import io.jackdawring.fleet.FleetKeys
import io.jackdawring.fleet.FleetStatus
import io.jackdawring.fleet.TargetClient
import io.jackdawring.fleet.durable.DurableJobStore
import io.jackdawring.fleet.durable.HostedDurableJobs
import io.jackdawring.fleet.durable.PartClient
import io.jackdawring.fleet.durable.PersistMessage
import io.jackdawring.fleet.durable.PersistOutcome
import io.jackdawring.fleet.durable.ShardCapacities
import io.jackdawring.fleet.repeatEvery
import kotlinx.collections.immutable.ImmutableCollection

/** Runs the dispatcher of a shard that this process holds; confined to the control thread. */
internal class ShardHost(
    val holding: ShardHolding,
    options: ShardOptions,
    factory: ShardDispatcher.Factory,
    pauses: PauseGuard,
    private val targets: TargetClient,
    private val loop: ControlLoop,
    private val log: DecisionLog,
    private val onLoad: (Map<String, Int>) -> Unit,
    private val onFenced: () -> Unit,
    capacities: ShardCapacities,
    partClient: PartClient,
    /** Whether all earlier holders have lost their ownership; asked until they have. */
    private val haveEarlierHoldersStopped: () -> Boolean,
    /** Time at which the last message of a relay was sent; null if that is not known. */
    private val lastSentMillis: (relay: String) -> Long?,
    private val ownership: DurableOwnership,
    createDurableStore: (DurableJobStore.Listener) -> DurableJobStore,
) : ShardEffects {
    private class Waiter(
        val relay: String,
        val onOutcome: (JobOutcome) -> Unit,
    )

    private val dispatcher = factory.create(options, this, pauses)
    private val durableJobs =
        HostedDurableJobs(holding, dispatcher, loop, onFenced, capacities, partClient, ::report, createDurableStore)
    private val waiters = HashMap<WaiterId, Waiter>()
    private var nextWaiter = 0L
    private var released = false
    private var examinedBefore = 0L
    private var earlierHoldersStopped = false
    private val startedAtMillis = loop.nowMillis()

    fun start() {
        dispatcher.onOwnershipExtended(ownership.validUntilMillis)
        dispatcher.onOwnershipConfirmed(Long.MIN_VALUE)
        durableJobs.start()
        loop.repeatEvery(TICK_MILLIS, ::tick)
    }

    private fun tick(): Boolean {
        if (released) return false
        maintainOwnership()
        dispatcher.tick(loop.nowMillis())
        log.examined(dispatcher.examined - examinedBefore)
        examinedBefore = dispatcher.examined
        log.openParts(durableJobs.openParts)
        onLoad(dispatcher.loadPercents(loop.nowMillis()))
        return true
    }

    private fun maintainOwnership() {
        if (hasDurableJobs) ownership.require() else ownership.maintain()
        dispatcher.onOwnershipExtended(ownership.validUntilMillis)
        if (dispatcher.awaitsConfirmation) ownership.confirm()
        dispatcher.onOwnershipConfirmed(ownership.unclaimedAtMillis ?: Long.MIN_VALUE)
        if (earlierHoldersStopped || !haveEarlierHoldersStopped()) return
        earlierHoldersStopped = true
        holding.cutOffRevision?.let { log.ownershipsEnded(it, loop.nowMillis() - startedAtMillis) }
        dispatcher.onEarlierHoldersStopped(loop.nowMillis())
    }

    val hasDurableJobs: Boolean get() = dispatcher.openDurableJobs > 0

    fun updateTargets(listed: ImmutableCollection<ShardTarget>) = dispatcher.updateTargets(listed, loop.nowMillis())

    /** As [ShardDispatcher.updateEvacuated]. */
    fun updateEvacuated(
        isEvacuated: Boolean?,
        graceMillis: Long,
    ) = dispatcher.updateEvacuated(isEvacuated, loop.nowMillis(), graceMillis)

    /** Adds what the predecessor with [holderToken] knew at [madeAtMillis]. */
    fun inherit(
        holderToken: Long,
        handOver: HandOver,
        madeAtMillis: Long,
    ) = dispatcher.inherit(holderToken, handOver, madeAtMillis, loop.nowMillis())

    /** Records that earlier holders up to [holderToken] may be cut off; with [isPredecessor], there was none since. */
    fun onHoldersCutOff(
        holderToken: Long,
        isPredecessor: Boolean,
    ) = dispatcher.onHoldersCutOff(holderToken, isPredecessor)

    /** Records that the earlier holder with [holderToken] stopped at [stoppedAtMillis], and what it knew then. */
    fun onHolderStopped(
        holderToken: Long,
        handOver: HandOver,
        stoppedAtMillis: Long,
    ) {
        log.holderStopped(holderToken, handOver, loop.nowMillis() - stoppedAtMillis)
        dispatcher.onHolderStopped(holderToken, handOver, stoppedAtMillis, loop.nowMillis())
    }

    /** As [ShardDispatcher.onOthersCutOff]. */
    fun onOthersCutOff() = dispatcher.onOthersCutOff()

    /** As [ShardDispatcher.onPredecessorServed]. */
    fun onPredecessorServed(servedAtMillis: Long) = dispatcher.onPredecessorServed(servedAtMillis)

    /** What a successor has to know; [cancelHandOver] follows if there is none. */
    fun handOver(): HandOver {
        val handOver = dispatcher.handOver(loop.nowMillis())
        return handOver.copy(unservedMillis = maxOf(handOver.unservedMillis, relaysSilentMillis()))
    }

    /** Time for which callers of runs in this shard may have been gone. */
    fun unservedMillis(): Long = maxOf(dispatcher.unservedMillis(loop.nowMillis()), relaysSilentMillis())

    /** Time since the last message of the relay that has been silent for longest, of those that wait for jobs. */
    private fun relaysSilentMillis(): Long {
        val relays = waiters.values.map { it.relay }.toSet()
        return relays.mapNotNull(lastSentMillis).minOrNull()?.let { maxOf(0, loop.nowMillis() - it) } ?: 0
    }

    fun cancelHandOver() = dispatcher.cancelHandOver()

    /** Submits a job on behalf of [relay]; [onOutcome] is called at most once. */
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

    /** As [ShardDispatcher.withdraw]. */
    fun withdraw(
        id: WaiterId,
        hasCallerLeft: Boolean,
    ) {
        if (waiters.remove(id) != null) dispatcher.withdraw(id, hasCallerLeft, loop.nowMillis())
    }

    /** Ends the requests of [relay], which has sent nothing since [sinceMillis]. */
    fun expireAll(
        relay: String,
        sinceMillis: Long,
    ) = waiters
        .filterValues { it.relay == relay }
        .keys
        .toList()
        .forEach { dispatcher.expire(it, sinceMillis, loop.nowMillis()) }

    fun describe() =
        FleetStatus.HeldShard(
            FleetKeys.shard(holding.shardId),
            holding.revision,
            dispatcher.waitingTasks,
            dispatcher.targetViews(loop.nowMillis()),
        )

    /** Number of jobs that have not started, or null while those of earlier holders are not loaded. */
    fun pendingJobs(queue: String): Int? = if (durableJobs.isLoaded) dispatcher.pendingJobs(queue) else null

    /** Estimated time until a durable job with [needs] from another shard can start here; null if it cannot. */
    fun delayMillis(needs: JobNeeds): Long? = durableJobs.delayMillis(needs)

    /** For which of [needs], one task each, there is room now; room counts once. */
    fun hasRoom(needs: List<JobNeeds>): List<Boolean> = durableJobs.hasRoom(needs)

    /** Jobs of [revisions], which their shard knows of the parts here, for which it has something to take back. */
    fun partsWithResults(revisions: Map<JobId, Long>): List<JobId> = durableJobs.partsWithResults(revisions)

    /** Stores a durable job and runs it until it ends; [onOutcome] is called once. */
    fun persist(
        message: PersistMessage,
        onOutcome: (PersistOutcome) -> Unit,
    ) {
        ownership.require()
        durableJobs.persist(message, onOutcome)
    }

    /** Queries the state of a durable job; [onState] receives null if this shard has no such job. */
    fun queryState(
        id: JobId,
        onState: (JobState?) -> Unit,
    ) = durableJobs.queryState(id, onState)

    /** Cancels a durable job; see [HostedDurableJobs.cancel]. */
    fun cancel(
        id: JobId,
        isStored: Boolean,
        onState: (JobState?) -> Unit,
    ) = durableJobs.cancel(id, isStored, onState)

    fun release() {
        released = true
        ownership.release()
        log.openParts(0)
        durableJobs.release()
        dispatcher.release(loop.nowMillis())
    }

    override fun start(
        target: ShardTarget,
        request: StartRequest,
    ) = targets.start(target, request, holding.revision) {
        dispatcher.onStart(target.id, request, it, loop.nowMillis())
    }

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
    ) = durableJobs.save(jobId, snapshot)

    override fun ended(
        jobId: JobId,
        state: JobState,
    ) = durableJobs.ended(jobId, state)

    override fun answer(
        waiter: WaiterId,
        outcome: JobOutcome,
    ) {
        waiters.remove(waiter)?.onOutcome?.invoke(outcome)
    }

    override fun fenced(target: ShardTarget) {
        if (!released) onFenced()
    }

    override fun report(decision: ShardDecision) = log.report(decision) { waiters[it]?.relay }

    private companion object {
        /** Resolution of time limits; short compared with the shortest latency objective. */
        const val TICK_MILLIS = 20L
    }
}
