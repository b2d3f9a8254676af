package io.jackdawring.fleet.kept

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.shard.DurableJob
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSnapshot
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.fleet.ControlLoop
import io.jackdawring.fleet.FleetKeys
import io.jackdawring.fleet.store.CommitResult
import io.jackdawring.fleet.store.KeyValueStore
import io.jackdawring.fleet.store.StoreItem
import io.jackdawring.fleet.store.StoreMirror

private val logger = KotlinLogging.logger("io.jackdawring.kept")

/**
 * The stored jobs of a shard that this process holds; belongs to the control thread.
 *
 * Every write requires that the shard's key still has this holder's fence and that the record is as this holder knows
 * it. So a holder that has lost the shard cannot write, and a write that takes effect late cannot undo a newer one.
 */
internal class KeptJobStore(
    private val holding: ShardHolding,
    private val store: KeyValueStore,
    private val loop: ControlLoop,
    private val unixMillis: () -> Long,
    private val retentionMillis: Long,
    private val listener: Listener,
) {
    /** Learns what is stored. */
    interface Listener {
        /** Jobs that this holder did not store itself; called with all of an earlier holder's jobs first. */
        fun onFound(jobs: List<DurableJob>)

        fun onAccepted(job: DurableJob)

        fun onSaved(
            id: JobId,
            version: Long,
        )

        /** The record of a job that ended long ago is gone. */
        fun onForgotten(id: JobId)

        /** The store names another holder in [item]. */
        fun onFenced(item: StoreItem)
    }

    private val shardKey = FleetKeys.shard(holding.shardId)
    private val mirror =
        StoreMirror(
            KeptKeys.records(holding.shardId),
            store,
            loop,
            MIRROR_GATHER_MILLIS,
            MIRROR_WAIT_MILLIS,
            ::onMirrorChanged,
        )
    private val entries = HashMap<JobId, KeptEntry>()
    private val accepts = LinkedHashMap<JobId, PendingAccept>()
    private val dirty = LinkedHashMap<JobId, () -> JobSnapshot>()
    private val removals = LinkedHashSet<JobId>()

    /** Removed jobs that the mirror may still show. */
    private val removed = HashSet<JobId>()
    private var loaded = false
    private var busy = false
    private var failuresInRow = 0
    private var nextWriteMillis = 0L
    private var released = false

    fun start() {
        mirror.start()
        removeOld()
    }

    fun release() {
        released = true
        mirror.stop()
        accepts.values.toList().forEach { it.resolve(unsureOrRefused(it, "the shard has moved")) }
        accepts.clear()
    }

    /** Stores [spec] unless it is stored already; [onOutcome] is called once, at the latest after [waitMillis]. */
    fun accept(
        spec: JobSpec,
        waitMillis: Long,
        onOutcome: (KeepOutcome) -> Unit,
    ) {
        if (spec.id in entries) {
            onOutcome(KeepOutcome.Kept)
            return
        }
        val pending = accepts.getOrPut(spec.id) { PendingAccept(KeptJobRecord(spec, unixMillis())) }
        pending.onOutcomes.add(onOutcome)
        loop.schedule(minOf(PATIENCE_MILLIS, waitMillis)) { if (!pending.mayBeStored) expire(pending) }
        loop.schedule(waitMillis) { expire(pending) }
        write()
    }

    /** Answers the requests for a job that the store did not confirm in time. */
    private fun expire(pending: PendingAccept) {
        if (accepts[pending.id] !== pending) return
        accepts.remove(pending.id)
        pending.resolve(unsureOrRefused(pending, "the store is not available"))
    }

    /** Stores the progress of a job, as [snapshot] gives it when the write is sent. */
    fun save(
        id: JobId,
        snapshot: () -> JobSnapshot,
    ) {
        dirty[id] = snapshot
        write()
    }

    private fun onMirrorChanged() {
        if (released || !mirror.isLoaded) return
        removed.retainAll { mirror[KeptKeys.record(holding.shardId, it)] != null }
        val found = mirror.items.mapNotNull(::findUnknown)
        if (found.isEmpty() && loaded) return
        loaded = true
        logger.info { "$shardKey: found ${found.size} stored jobs" }
        listener.onFound(found.map { it.toDurableJob(unixMillis()) })
    }

    /** The record of a job that is not known here: one of an earlier holder, or one whose write took effect late. */
    private fun findUnknown(item: StoreItem): KeptJobRecord? {
        val id = JobId(item.key.removePrefix(KeptKeys.records(holding.shardId)))
        if (id in entries || id in removed || id in accepts) return null
        val record = KeptJobRecord.decode(item) ?: return null
        entries[id] = KeptEntry(record, item.revision)
        return record
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
        nextWriteMillis = now + WRITE_INTERVAL_MILLIS
        store.commit(batch.change) { result ->
            busy = false
            batch.accepts.forEach { it.isInFlight = false }
            if (!released) onResult(batch, result)
        }
    }

    private fun nextBatch(): KeptBatch? {
        val batch = KeptBatch(holding)
        for ((id, snapshot) in dirty) {
            if (!batch.hasRoom) break
            val entry = entries[id] ?: continue
            val current = snapshot()
            val endedAt = if (current.progress.state.isEnded) entry.record.endedAtUnixMillis ?: unixMillis() else null
            val record = entry.record.copy(progress = current.progress, endedAtUnixMillis = endedAt)
            batch.save(id, entry, record, current.version, snapshot)
        }
        for (pending in accepts.values) {
            // While the store does not answer, only one job is put in doubt by each write.
            if (!batch.hasRoom || (failuresInRow > 0 && batch.accepts.isNotEmpty())) break
            batch.accept(pending)
        }
        for (id in removals) {
            if (!batch.hasRoom) break
            entries[id]?.let { batch.remove(id, it) }
        }
        return batch.takeUnless { it.isEmpty }
    }

    private fun onResult(
        batch: KeptBatch,
        result: CommitResult,
    ) {
        if (result !is CommitResult.Unavailable) failuresInRow = 0
        if (result !is CommitResult.Committed) batch.saves.forEach { dirty.putIfAbsent(it.id, it.snapshot) }
        when (result) {
            is CommitResult.Committed -> onCommitted(batch, result.revision)
            is CommitResult.Conflict -> onConflict(batch, result.items.associateBy { it.key })
            is CommitResult.LeaseEnded ->
                logger.error {
                    "$shardKey: a write without a lease was told that its lease ended"
                }
            is CommitResult.Unavailable -> onUnavailable(batch, result)
        }
        if (!released) write()
    }

    private fun onCommitted(
        batch: KeptBatch,
        revision: Long,
    ) {
        for (save in batch.saves) {
            save.entry.record = save.record
            save.entry.revision = revision
        }
        for (pending in batch.accepts) {
            entries[pending.id] = KeptEntry(pending.record, revision)
        }
        for (id in batch.removals) {
            removals.remove(id)
            entries.remove(id)
            removed.add(id)
        }
        // The listener may add new writes, so everything is noted before it is called.
        batch.saves.forEach { listener.onSaved(it.id, it.version) }
        batch.accepts.forEach {
            // Also without a caller that still waits, the job is stored and has to run.
            listener.onAccepted(it.record.toDurableJob(unixMillis()))
            settle(it)
        }
        batch.removals.forEach(listener::onForgotten)
    }

    private fun onConflict(
        batch: KeptBatch,
        present: Map<String, StoreItem>,
    ) {
        val shard = present[shardKey]
        if (shard != null && shard.revision != holding.revision) {
            listener.onFenced(shard)
            return
        }
        nextWriteMillis = loop.nowMillis() + RETRY_MILLIS
        // An earlier write without an answer has taken effect.
        batch.saves.forEach { it.entry.revision = present[KeptKeys.record(holding.shardId, it.id)]?.revision ?: 0 }
        batch.removals.forEach { id ->
            entries[id]?.revision = present[KeptKeys.record(holding.shardId, id)]?.revision ?: 0
        }
        batch.accepts.forEach { pending -> present[KeptKeys.place(pending.id)]?.let { onAlreadyPlaced(pending, it) } }
    }

    /** The job is stored, perhaps by an earlier write of this holder; its record arrives with the mirror then. */
    private fun onAlreadyPlaced(
        pending: PendingAccept,
        item: StoreItem,
    ) {
        val place = KeptJobPlace.decode(item)
        logger.info { "job ${pending.id.value} is already stored in shard ${place?.shardId ?: "unknown"}" }
        if (place?.shardId == holding.shardId) mirror.reload()
        settle(pending)
    }

    /** Tells that a job is stored to the requests that wait for it, also to those that came after others had given up. */
    private fun settle(pending: PendingAccept) {
        pending.resolve(KeepOutcome.Kept)
        accepts.remove(pending.id)?.resolve(KeepOutcome.Kept)
    }

    private fun onUnavailable(
        batch: KeptBatch,
        result: CommitResult.Unavailable,
    ) {
        nextWriteMillis = loop.nowMillis() + RETRY_MILLIS
        logger.debug { "$shardKey: write of ${batch.size} jobs is not answered: ${result.detail}" }
        failuresInRow++
        if (result.mayHaveApplied) batch.accepts.forEach { it.isUnsure = true }
    }

    private fun unsureOrRefused(
        pending: PendingAccept,
        reason: String,
    ): KeepOutcome =
        if (pending.mayBeStored) KeepOutcome.Unsure(reason) else KeepOutcome.Refused(reason, STORE_RETRY_AFTER_MILLIS)

    /** Removes the records of jobs whose state nobody may ask for any more. */
    private fun removeOld() {
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
        loop.schedule(REMOVAL_INTERVAL_MILLIS, ::removeOld)
    }

    private companion object {
        /** Jobs whose writes took effect late are found within this time. */
        const val MIRROR_GATHER_MILLIS = 1_000L

        /** Only late writes are learned this way, so that a connection that has gone silent may hide them for longer. */
        const val MIRROR_WAIT_MILLIS = 10_000L

        /** Four holders use 160 of the 400 writes a second that the smallest store takes from all instances. */
        const val WRITE_INTERVAL_MILLIS = 25L
        const val RETRY_MILLIS = 100L

        /** Time for which a store that has done nothing is asked again; callers are better served by a retry. */
        const val PATIENCE_MILLIS = 300L

        /** Outages of the store last seconds. */
        const val STORE_RETRY_AFTER_MILLIS = 2_000L
        const val REMOVAL_INTERVAL_MILLIS = 1_000L
    }
}
