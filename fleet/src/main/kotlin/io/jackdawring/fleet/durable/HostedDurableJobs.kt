package io.jackdawring.fleet.durable

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.DurableJob
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobNeeds
import io.jackdawring.core.shard.JobSnapshot
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.ShardDecision
import io.jackdawring.core.shard.ShardDispatcher
import io.jackdawring.fleet.ControlLoop
import io.jackdawring.fleet.FleetKeys
import io.jackdawring.fleet.store.StoreItem
import kotlinx.collections.immutable.toImmutableList

private val logger = KotlinLogging.logger("io.jackdawring.kept")

/** Connects the dispatcher of a held shard with the store of its durable jobs; confined to the control thread. */
internal class HostedDurableJobs(
    private val holding: ShardHolding,
    private val dispatcher: ShardDispatcher,
    private val loop: ControlLoop,
    private val onFenced: () -> Unit,
    capacities: ShardCapacities,
    partClient: PartClient,
    report: (ShardDecision) -> Unit,
    createStore: (DurableJobStore.Listener) -> DurableJobStore,
) : DurableJobStore.Listener {
    override val parts: HostedParts =
        HostedParts(holding.shardId, dispatcher, loop, partClient, report) { store }
    private val store: DurableJobStore = createStore(this)

    /** Requests to answer once the end of their job is stored. */
    private val awaitingEnd = HashMap<JobId, MutableList<(JobState?) -> Unit>>()

    /** Higher than all attempts of earlier holders, because fencing tokens increase. */
    private val attemptBase = attemptBase(holding.revision)

    /** Whether the jobs of earlier holders are loaded. */
    var isLoaded = false
        private set

    private val mover =
        StalledJobMover(holding.shardId, dispatcher, loop, capacities) { id, target, snapshot ->
            store.move(id, target, snapshot)
        }

    fun start() {
        store.start()
        mover.start()
        parts.start()
    }

    fun release() {
        mover.stop()
        parts.stop()
        store.release()
        awaitingEnd.values.flatten().forEach { it(null) }
        awaitingEnd.clear()
    }

    fun persist(
        message: PersistMessage,
        onOutcome: (PersistOutcome) -> Unit,
    ) {
        val job = message.job
        val refusal = if (dispatcher.durableJobState(job.id) == null) refusal(message) else null
        when {
            dispatcher.durableJobState(job.id) != null -> onOutcome(PersistOutcome.Persisted)
            refusal != null -> onOutcome(refusal)
            else -> store.accept(job, message.waitMillis, onOutcome)
        }
    }

    private fun refusal(message: PersistMessage): PersistOutcome.Refused? {
        val waiting = dispatcher.waitingTasks
        if (waiting + message.job.steps.sumOf { it.count } > MAX_WAITING_TASKS) {
            return PersistOutcome.Refused("$waiting tasks wait already", FULL_RETRY_AFTER_MILLIS)
        }
        val delayMillis = dispatcher.delayMillis(JobNeeds(message.job.service, message.job.steps), loop.nowMillis())
        if (message.despiteBacklog || delayMillis != null && delayMillis <= MAX_BACKLOG_MILLIS) return null
        val reason = if (delayMillis == null) "no target can run it now" else "a backlog of $delayMillis ms"
        return PersistOutcome.Refused(reason, FULL_RETRY_AFTER_MILLIS, delayMillis ?: Long.MAX_VALUE)
    }

    /** Estimated time until a job with [needs] from another shard can start here; null if it cannot. */
    fun delayMillis(needs: JobNeeds): Long? {
        if (!isLoaded || dispatcher.waitingTasks > MAX_WAITING_TASKS) return null
        return dispatcher.delayMillis(needs, loop.nowMillis())
    }

    /** For which of [needs], one task each, this shard has room now; room counts once. */
    fun hasRoom(needs: List<JobNeeds>): List<Boolean> {
        if (!isLoaded || dispatcher.waitingTasks > MAX_WAITING_TASKS) return needs.map { false }
        return dispatcher.parts.hasRoom(needs, loop.nowMillis())
    }

    /** Jobs of [revisions], which their shard knows of the parts here, for which it has something to take back. */
    fun partsWithResults(revisions: Map<JobId, Long>): List<JobId> =
        revisions.filter { (id, revision) -> store.hasResults(id, revision) }.keys.toList()

    /** Number of parts of jobs of other shards. */
    val openParts: Int get() = store.heldParts

    /**
     * Queries the state of a job; [onState] receives null if the job is not known here.
     *
     * If the job's end is being stored, the answer waits for that, because callers poll only at intervals.
     */
    fun queryState(
        id: JobId,
        onState: (JobState?) -> Unit,
    ) {
        if (!dispatcher.isEndUnsaved(id)) {
            onState(dispatcher.durableJobState(id))
            return
        }
        awaitEnd(id, onState)
        loop.schedule(END_WAIT_MILLIS) {
            if (awaitingEnd[id]?.remove(onState) == true) onState(dispatcher.durableJobState(id))
        }
    }

    private fun awaitEnd(
        id: JobId,
        onState: (JobState?) -> Unit,
    ) {
        awaitingEnd.getOrPut(id) { ArrayList(1) }.add(onState)
    }

    /**
     * Cancels a job; [onState] receives its state once that is stored, or null if the job is not known here.
     *
     * If the job is being moved, that is known only after the move. With [isStored], its record is in this shard, but
     * the mirror may not have delivered it yet.
     */
    fun cancel(
        id: JobId,
        isStored: Boolean,
        onState: (JobState?) -> Unit,
    ) {
        val state = dispatcher.durableJobState(id)
        when {
            state == null && isStored && isLoaded ->
                store.read(id) { isKnown -> if (isKnown) cancel(id, isStored = false, onState) else onState(null) }
            state == null || state.isEnded -> onState(state)
            else -> {
                awaitEnd(id, onState)
                if (!store.isMoving(id)) dispatcher.cancel(id, loop.nowMillis())
            }
        }
    }

    fun save(
        id: JobId,
        snapshot: () -> JobSnapshot,
    ) = store.save(id, snapshot)

    /** Answers the requests that wait until the end of a job is stored. */
    fun ended(
        id: JobId,
        state: JobState,
    ) {
        awaitingEnd.remove(id)?.forEach { it(state) }
    }

    override fun onFound(jobs: List<DurableJob>) {
        isLoaded = true
        dispatcher.recover(jobs.toImmutableList(), attemptBase, loop.nowMillis())
    }

    override fun onAccepted(job: DurableJob) = dispatcher.submitDurable(job, loop.nowMillis())

    override fun onSaved(
        id: JobId,
        version: Long,
    ) = dispatcher.onSaved(id, version, loop.nowMillis())

    override fun onMoved(
        id: JobId,
        target: ShardId,
    ) {
        logger.info { "${FleetKeys.shard(holding.shardId)}: job ${id.value} has moved to ${FleetKeys.shard(target)}" }
        dispatcher.onMoved(id, loop.nowMillis())
        awaitingEnd.remove(id)?.forEach { it(null) }
    }

    override fun onRemoved(id: JobId) = dispatcher.forget(id)

    override fun onFenced(item: StoreItem) = onFenced()

    private companion object {
        /** Bounds the memory of the backlog to about 10 MB. */
        const val MAX_WAITING_TASKS = 20_000

        /** With a longer backlog, a job goes to another failure domain, which costs a few milliseconds. */
        const val MAX_BACKLOG_MILLIS = 100L

        /** About the time in which a full backlog shrinks noticeably. */
        const val FULL_RETRY_AFTER_MILLIS = 5_000L

        /** Covers several writes to a healthy store; if they fail, the caller soon gets the previous state. */
        const val END_WAIT_MILLIS = 150L
    }
}

/** Number above which the attempts of a job are numbered that was found at the store's [revision]. */
internal fun attemptBase(revision: Long): Int = (revision % MAX_ATTEMPT_BASE).toInt()

private const val MAX_ATTEMPT_BASE = 1_000_000_000L
