package io.jackdawring.fleet.durable

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.DurableJob
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSnapshot
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.TaskProgress
import io.jackdawring.fleet.ControlLoop
import io.jackdawring.fleet.FleetKeys
import io.jackdawring.fleet.store.CommitResult
import io.jackdawring.fleet.store.KeyValueStore
import io.jackdawring.fleet.store.ListResult
import io.jackdawring.fleet.store.StoreItem
import io.jackdawring.fleet.store.StoreMirror

private val logger = KotlinLogging.logger("io.jackdawring.kept")

/**
 * Stores the durable jobs of a shard that this process holds; confined to the control thread.
 *
 * Every write is conditional on the revision of the shard's key, which is this holder's fencing token, and on that of
 * the job's record. So a holder that has lost the shard cannot write, and a delayed write cannot overwrite a newer one.
 */
internal class DurableJobStore(
    private val holding: ShardHolding,
    private val store: KeyValueStore,
    private val loop: ControlLoop,
    private val unixMillis: () -> Long,
    private val retentionMillis: Long,
    private val listener: Listener,
) {
    /** Is notified of stored jobs and of their changes. */
    interface Listener {
        /** Jobs that this holder did not store itself; the first call has all jobs of earlier holders. */
        fun onFound(jobs: List<DurableJob>)

        fun onAccepted(job: DurableJob)

        fun onSaved(
            id: JobId,
            version: Long,
        )

        /** The job is stored in the shard [target] now, and no longer in this one. */
        fun onMoved(
            id: JobId,
            target: ShardId,
        )

        /** The record of a job whose retention is over was removed. */
        fun onRemoved(id: JobId)

        val parts: PartListener

        /** The store names another holder in [item]. */
        fun onFenced(item: StoreItem)
    }

    private val shardKey = FleetKeys.shard(holding.shardId)
    private val mirror =
        StoreMirror(
            JobKeys.records(holding.shardId),
            store,
            loop,
            MIRROR_BATCH_DELAY_MILLIS,
            MIRROR_WAIT_MILLIS,
            ::onMirrorChanged,
        )
    private val entries = HashMap<JobId, DurableJobEntry>()
    private val accepts = LinkedHashMap<JobId, PendingAccept>()

    /** Jobs whose requests have expired although a write of the job may have been applied, or may still be. */
    private val unresolved = LinkedHashMap<JobId, PendingAccept>()
    private val dirty = LinkedHashMap<JobId, () -> JobSnapshot>()
    private val removals = LinkedHashSet<JobId>()
    private val moves = LinkedHashMap<JobId, PendingMove>()
    private val delegated = DelegatedParts(holding.shardId, listener.parts)
    private val held = HeldParts(holding.shardId, listener.parts, unixMillis)

    /** Jobs that were removed or moved but may still be in the mirror, and the revisions at which that was done. */
    private val removed = HashMap<JobId, Long>()
    private var loaded = false
    private var busy = false
    private var consecutiveFailures = 0
    private var nextWriteMillis = 0L
    private var released = false

    fun start() {
        mirror.start()
        removeExpired()
    }

    fun release() {
        released = true
        mirror.stop()
        accepts.values.toList().forEach { it.resolve(unknownOrRefused(it, "the shard has moved")) }
        accepts.clear()
        unresolved.clear()
    }

    /** Stores [spec] unless it is already stored; [onOutcome] is called once, within [waitMillis]. */
    fun accept(
        spec: JobSpec,
        waitMillis: Long,
        onOutcome: (PersistOutcome) -> Unit,
    ) {
        if (spec.id in entries) {
            onOutcome(PersistOutcome.Persisted)
            return
        }
        val pending =
            accepts.getOrPut(spec.id) {
                unresolved.remove(spec.id)?.repeated() ?: PendingAccept(DurableJobRecord(spec, unixMillis()))
            }
        pending.onOutcomes.add(onOutcome)
        loop.schedule(minOf(REFUSING_STORE_WAIT_MILLIS, waitMillis)) { if (!pending.mayBeStored) expire(pending) }
        loop.schedule(waitMillis) { expire(pending) }
        write()
    }

    /** Answers the requests for a job whose write was not confirmed in time. */
    private fun expire(pending: PendingAccept) {
        if (accepts[pending.id] !== pending) return
        accepts.remove(pending.id)
        if (pending.mayBeStored) addUnresolved(pending)
        pending.resolve(unknownOrRefused(pending, "the store is not available"))
    }

    private fun addUnresolved(pending: PendingAccept) {
        unresolved[pending.id] = pending
        if (unresolved.size > MAX_UNRESOLVED) unresolved.remove(unresolved.keys.first())
    }

    /** Stores the progress of a job; [snapshot] is taken when the write is sent. */
    fun save(
        id: JobId,
        snapshot: () -> JobSnapshot,
    ) {
        dirty[id] = snapshot
        write()
    }

    /**
     * Moves a job to the shard [target], with its progress in [snapshot] as it is when the write is sent.
     *
     * The location of the job and its records in both shards change in one write, and nothing else is written for it
     * until its outcome is known, so that at any time the store names one shard that may run the job.
     */
    fun move(
        id: JobId,
        target: ShardId,
        snapshot: () -> JobSnapshot,
    ) {
        moves[id] = PendingMove(target, snapshot)
        write()
    }

    /** Lets the shard [target] have [task]; the next save of the job stores that. */
    fun delegate(
        id: JobId,
        target: ShardId,
        task: String,
        progress: TaskProgress,
    ) = delegated.delegate(id, target, task, progress)

    /** Returns [task] of a part to the shard of its job; the next save of the part stores that. */
    fun giveBack(
        id: JobId,
        task: String,
        progress: TaskProgress,
    ) = held.giveBack(id, task, progress)

    /** Revisions of the parts in each shard, 0 if not known; with [endingOnly], only of jobs that are to end. */
    fun openParts(endingOnly: Boolean): Map<ShardId, Map<JobId, Long>> = delegated.open(endingOnly)

    /** Number of parts that this shard runs. */
    val heldParts: Int get() = held.size

    /** Reads the part of the job [id] in [target] from the store. */
    fun readPart(
        id: JobId,
        target: ShardId,
    ) = readPart(JobKeys.part(target, id)) { item -> item?.let { delegated.onRead(id, target, it) } }

    /**
     * Whether the shard of the job [id], which knows [revision] of its part here, has something to take back.
     *
     * A part that is not known here at that revision is read from the store.
     */
    fun hasResults(
        id: JobId,
        revision: Long,
    ): Boolean {
        if (held.revision(id) < revision) {
            readPart(JobKeys.part(holding.shardId, id)) { item -> if (mirror.isLoaded) item?.let(held::onItem) }
        }
        return held.hasResults(id)
    }

    private fun readPart(
        key: String,
        onItem: (StoreItem?) -> Unit,
    ) = store.list(key) { result ->
        if (!released && result is ListResult.Listed) onItem(result.items.firstOrNull { it.key == key })
    }

    fun isMoving(id: JobId): Boolean = id in moves

    /** Reads the record of a job that is not known here; [onRead] receives whether the job is known now. */
    fun read(
        id: JobId,
        onRead: (isKnown: Boolean) -> Unit,
    ) {
        val key = JobKeys.record(holding.shardId, id)
        store.list(key) { result ->
            val item = (result as? ListResult.Listed)?.items?.firstOrNull { it.key == key }
            if (item != null && !released) {
                mirror.applyIfNewer(item)
                // The mirror may have had it before, and then reports no change.
                if (loaded) mirror[key]?.let { adopt(listOf(it)) }
            }
            onRead(!released && id in entries)
        }
    }

    private class PendingMove(
        val target: ShardId,
        val snapshot: () -> JobSnapshot,
    )

    private fun onMirrorChanged() {
        if (released || !mirror.isLoaded) return
        held.onMirrorChanged(mirror)
        dirty.keys.retainAll { it in entries || it in held }
        removed.keys.retainAll { mirror[JobKeys.record(holding.shardId, it)] != null }
        adopt(mirror.items)
    }

    /**
     * Takes over the jobs in [items] that are not known here.
     *
     * A record that a write of this holder has created proves that the job is stored, whether or not that write is
     * answered. All others are of earlier holders or of other shards.
     */
    private fun adopt(items: Collection<StoreItem>) {
        val found = items.mapNotNull(::findUnknown)
        if (found.isEmpty() && loaded) return
        val pending = found.mapNotNull { accepts.remove(it.id) ?: unresolved.remove(it.id) }.associateBy { it.id }
        val (own, others) = found.partition { isOwnWrite(it, pending[it.id]) }
        if (!loaded || others.isNotEmpty()) {
            loaded = true
            logger.info { "$shardKey: found ${others.size} durable jobs in the store" }
            listener.onFound(others.map { it.record.toDurableJob(unixMillis(), attemptBase(it.revision)) })
        }
        for (entry in own) {
            logger.info { "$shardKey: job ${entry.id.value} is stored, its write was not answered" }
            listener.onAccepted(entry.record.toDurableJob(unixMillis()))
        }
        pending.values.forEach { it.resolve(PersistOutcome.Persisted) }
    }

    /** Whether a write of [pending] by this holder has created [entry]; earlier holders wrote before it had the shard. */
    private fun isOwnWrite(
        entry: DurableJobEntry,
        pending: PendingAccept?,
    ): Boolean = entry.revision > holding.revision && entry.record == pending?.record

    /** The record of a job that is not known here, or null. */
    private fun findUnknown(item: StoreItem): DurableJobEntry? {
        if (JobKeys.isPart(holding.shardId, item.key)) return null
        val id = JobId(item.key.removePrefix(JobKeys.records(holding.shardId)))
        if (id in entries || item.revision <= (removed[id] ?: 0)) return null
        val record = DurableJobRecord.decode(item) ?: return null
        delegated.onFound(id, record)
        return DurableJobEntry(record, item.revision).also { entries[id] = it }
    }

    private fun write() {
        if (busy || released) return
        val now = loop.nowMillis()
        if (now < nextWriteMillis) {
            busy = true
            loop.schedule(nextWriteMillis - now) {
                busy = false
                write()
            }
            return
        }
        val batch = nextBatch() ?: return
        busy = true
        batch.accepts.forEach { it.isInFlight = true }
        batch.saves.forEach { dirty.remove(it.id) }
        batch.partSaves.forEach { dirty.remove(it.id) }
        nextWriteMillis = now + WRITE_INTERVAL_MILLIS
        store.commit(batch.change) { result ->
            busy = false
            batch.accepts.forEach { it.isInFlight = false }
            if (!released) onResult(batch, result)
        }
    }

    private fun nextBatch(): DurableJobBatch? {
        val batch = DurableJobBatch(holding)
        for ((id, snapshot) in dirty) {
            if (!batch.hasRoom) break
            if (id in held) held.save(batch, id, snapshot)
            val entry = entries[id]?.takeUnless { id in moves } ?: continue
            val current = snapshot()
            val endedAt = if (current.progress.state.isEnded) entry.record.endedAtUnixMillis ?: unixMillis() else null
            val record = entry.record.copy(progress = current.progress, endedAtUnixMillis = endedAt)
            val plan = delegated.plan(id, record, unixMillis())
            if (batch.hasRoomFor(plan.entries)) batch.save(id, entry, plan, current.version, snapshot)
        }
        for (pending in accepts.values) {
            // While the store does not answer, each write leaves the outcome of at most one job unknown.
            if (!batch.hasRoom || (consecutiveFailures > 0 && batch.accepts.isNotEmpty())) break
            batch.accept(pending)
        }
        addMoves(batch)
        for (id in removals) {
            if (!batch.hasRoom) break
            entries[id]?.let { batch.remove(id, it) }
        }
        return batch.takeUnless { it.isEmpty }
    }

    private fun addMoves(batch: DurableJobBatch) {
        for ((id, move) in moves) {
            if (!batch.hasRoom) break
            val entry = entries[id] ?: continue
            batch.move(id, entry, entry.record.copy(progress = move.snapshot().progress), move.target)
        }
    }

    private fun onResult(
        batch: DurableJobBatch,
        result: CommitResult,
    ) {
        if (result !is CommitResult.Unavailable) consecutiveFailures = 0
        if (result !is CommitResult.Committed) {
            batch.saves.forEach { dirty.putIfAbsent(it.id, it.snapshot) }
            batch.partSaves.forEach { dirty.putIfAbsent(it.id, it.snapshot) }
        }
        when (result) {
            is CommitResult.Committed -> onCommitted(batch, result.revision)
            is CommitResult.Conflict -> onConflict(batch, result.items.associateBy { it.key })
            is CommitResult.LeaseEnded ->
                logger.error {
                    "$shardKey: the store reports an expired lease for a write without a lease"
                }
            is CommitResult.Unavailable -> onUnavailable(batch, result)
        }
        if (!released) write()
    }

    private fun onCommitted(
        batch: DurableJobBatch,
        revision: Long,
    ) {
        for (save in batch.saves) {
            save.entry.record = save.record
            save.entry.revision = revision
        }
        batch.partSaves.forEach { held.onCommitted(it, revision) }
        for (pending in batch.accepts) {
            entries.getOrPut(pending.id) { DurableJobEntry(pending.record, revision) }
        }
        for (id in batch.removals) {
            removals.remove(id)
            entries.remove(id)
            removed[id] = revision
        }
        batch.moves.forEach { forgetMoved(it, revision) }
        // The listener may add writes, so all state is updated before it is called.
        batch.saves.forEach { listener.onSaved(it.id, it.version) }
        batch.partSaves.forEach { listener.onSaved(it.id, it.version) }
        batch.saves.forEach { delegated.onCommitted(it.id, it.plan, revision) }
        batch.accepts.forEach {
            // The job is stored and has to run, even if no caller waits for it any more.
            listener.onAccepted(it.record.toDurableJob(unixMillis()))
            resolvePersisted(it)
        }
        batch.removals.forEach(listener::onRemoved)
        batch.moves.forEach { listener.onMoved(it.id, it.target) }
    }

    private fun onConflict(
        batch: DurableJobBatch,
        present: Map<String, StoreItem>,
    ) {
        val shard = present[shardKey]
        if (shard != null && shard.revision != holding.revision) {
            listener.onFenced(shard)
            return
        }
        nextWriteMillis = loop.nowMillis() + RETRY_MILLIS
        if (shard == null) {
            logger.warn { "$shardKey: the store reports a conflict without the shard's own key" }
            return
        }
        // An earlier write whose answer was lost has been applied.
        batch.saves.forEach { onSaveConflict(it, present) }
        batch.partSaves.forEach { held.onConflict(it.id, present[JobKeys.part(holding.shardId, it.id)]) }
        batch.removals.forEach { id ->
            entries[id]?.revision = present[JobKeys.record(holding.shardId, id)]?.revision ?: 0
        }
        batch.moves.forEach { onMoveConflict(it, present[JobKeys.record(holding.shardId, it.id)]) }
        batch.accepts.forEach { pending ->
            present[JobKeys.location(pending.id)]?.let { onAlreadyPersisted(pending, it) }
        }
    }

    private fun onSaveConflict(
        save: DurableJobBatch.Save,
        present: Map<String, StoreItem>,
    ) {
        val item = present[JobKeys.record(holding.shardId, save.id)]
        save.entry.revision = item?.revision ?: 0
        if (save.id !in delegated || item == null) return
        val record = DurableJobRecord.decode(item) ?: return
        save.entry.record = record
        delegated.onConflict(save.id, save.plan, record) { present[JobKeys.part(it, save.id)] }
    }

    /** Only a write of this holder can have removed the record, so without it the job has been moved. */
    private fun onMoveConflict(
        move: DurableJobBatch.Move,
        record: StoreItem?,
    ) {
        if (record != null) {
            move.entry.revision = record.revision
        } else {
            forgetMoved(move, move.entry.revision)
            listener.onMoved(move.id, move.target)
        }
    }

    private fun forgetMoved(
        move: DurableJobBatch.Move,
        revision: Long,
    ) {
        moves.remove(move.id)
        dirty.remove(move.id)
        entries.remove(move.id)
        removed[move.id] = revision
    }

    /** The job is already stored. If an earlier write of this holder did it, the mirror delivers its record. */
    private fun onAlreadyPersisted(
        pending: PendingAccept,
        item: StoreItem,
    ) {
        val location = JobLocation.decode(item)
        logger.info { "job ${pending.id.value} is already stored in shard ${location?.shardId ?: "unknown"}" }
        if (location?.shardId == holding.shardId) mirror.reload()
        resolvePersisted(pending)
    }

    /** Answers all requests for a stored job, including those that arrived after [pending] had expired. */
    private fun resolvePersisted(pending: PendingAccept) {
        unresolved.remove(pending.id)
        pending.resolve(PersistOutcome.Persisted)
        accepts.remove(pending.id)?.resolve(PersistOutcome.Persisted)
    }

    private fun onUnavailable(
        batch: DurableJobBatch,
        result: CommitResult.Unavailable,
    ) {
        nextWriteMillis = loop.nowMillis() + RETRY_MILLIS
        logger.debug { "$shardKey: write of ${batch.size} jobs failed: ${result.detail}" }
        consecutiveFailures++
        if (result.mayHaveApplied) batch.accepts.forEach { it.isOutcomeUnknown = true }
    }

    private fun unknownOrRefused(
        pending: PendingAccept,
        reason: String,
    ): PersistOutcome =
        if (pending.mayBeStored) PersistOutcome.Unknown(reason) else PersistOutcome.Refused(reason, RETRY_AFTER_MILLIS)

    /** Removes the records of jobs that ended longer than the retention time ago. */
    private fun removeExpired() {
        if (released) return
        val before = unixMillis() - retentionMillis
        entries.forEach { (id, entry) ->
            if ((entry.record.endedAtUnixMillis ?: Long.MAX_VALUE) <
                before
            ) {
                removals.add(id)
            }
        }
        write()
        loop.schedule(REMOVAL_INTERVAL_MILLIS, ::removeExpired)
    }

    private companion object {
        /** Jobs whose writes were delayed are found within this time. */
        const val MIRROR_BATCH_DELAY_MILLIS = 1_000L

        /** May be long, because a broken connection only postpones the detection of delayed writes. */
        const val MIRROR_WAIT_MILLIS = 10_000L

        /** Four holders use 160 of the 400 writes per second that the smallest store accepts from all instances. */
        const val WRITE_INTERVAL_MILLIS = 25L
        const val RETRY_MILLIS = 100L

        /** Time for which writes that the store refused are retried; after it, callers are told to retry themselves. */
        const val REFUSING_STORE_WAIT_MILLIS = 300L

        /** Store outages last seconds. */
        const val RETRY_AFTER_MILLIS = 2_000L
        const val REMOVAL_INTERVAL_MILLIS = 1_000L

        /** Bounds the memory after a long outage; each write that is not answered leaves a few jobs unresolved. */
        const val MAX_UNRESOLVED = 1_000
    }
}
