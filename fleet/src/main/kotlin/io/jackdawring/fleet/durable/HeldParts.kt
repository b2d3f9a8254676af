package io.jackdawring.fleet.durable

import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSnapshot
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.TaskProgress
import io.jackdawring.core.shard.ofTask
import io.jackdawring.fleet.store.StoreItem
import io.jackdawring.fleet.store.StoreMirror

/** The parts of jobs of other shards that this shard runs, as the store has them. */
internal class HeldParts(
    private val shardId: ShardId,
    private val listener: PartListener,
    private val unixMillis: () -> Long,
) {
    private class Entry(
        var record: PartRecord,
        var revision: Long,
    ) {
        /** Tasks that are held back, whose return is not known to be stored. */
        val returning = LinkedHashMap<String, TaskProgress>()
    }

    private val entries = HashMap<JobId, Entry>()

    /** Parts that were removed but may still be in the mirror, and the revisions at which that was known. */
    private val removed = HashMap<JobId, Long>()

    val size: Int get() = entries.size

    operator fun contains(id: JobId): Boolean = id in entries

    /** Revision of the part of the job [id], or 0 if there is none here. */
    fun revision(id: JobId): Long = entries[id]?.revision ?: 0

    /** Whether the shard of the job [id] has something to take back. */
    fun hasResults(id: JobId): Boolean = entries[id]?.record?.hasResults == true

    fun onMirrorChanged(mirror: StoreMirror) {
        val items = mirror.items.filter { JobKeys.isPart(shardId, it.key) }.associateBy { idOf(it) }
        removed.keys.retainAll(items.keys)
        entries
            .filter { (id, entry) -> id !in items && mirror.revision >= entry.revision }
            .keys
            .forEach { onAbsent(it, mirror.revision) }
        items.values.forEach(::onItem)
    }

    private fun idOf(item: StoreItem) = JobId(item.key.removePrefix(JobKeys.parts(shardId)))

    /** Applies the record in [item] unless a newer one is known. */
    fun onItem(item: StoreItem) {
        val id = idOf(item)
        val known = entries[id]
        if (item.revision <= maxOf(known?.revision ?: 0, removed[id] ?: 0)) return
        val record = PartRecord.decode(item) ?: return
        val entry = known ?: Entry(record, item.revision).also { entries[id] = it }
        entry.record = record
        entry.revision = item.revision
        entry.returning.keys.retainAll { record.tasks[it]?.returned == false }
        if (record.state.isEnded) return
        listener.onPart(record.toJobPart(entry.returning.keys, unixMillis(), attemptBase(item.revision)))
        if (record.cancelled) listener.onPartCancelled(id)
    }

    /** Records that the store had no part of the job [id] at [revision]. */
    fun onAbsent(
        id: JobId,
        revision: Long,
    ) {
        val entry = entries[id] ?: return
        entries.remove(id)
        removed[id] = maxOf(revision, entry.revision)
        listener.onPartRemoved(id)
    }

    /** Returns a task that does not run here any more; the next write of the part includes it. */
    fun giveBack(
        id: JobId,
        task: String,
        progress: TaskProgress,
    ) {
        entries[id]?.returning?.set(task, progress)
    }

    /** Adds a write of the part of the job [id] to [batch]; [snapshot] returns its present progress. */
    fun save(
        batch: DurableJobBatch,
        id: JobId,
        snapshot: () -> JobSnapshot,
    ) {
        val entry = entries[id] ?: return
        val current = snapshot()
        val tasks =
            entry.record.tasks.mapValues { (key, task) ->
                val returned = entry.returning[key]
                when {
                    returned != null -> PartRecord.Task(returned, returned = true)
                    task.returned -> task
                    else -> PartRecord.Task(current.progress.ofTask(key, task.progress.lastAttempt))
                }
            }
        val state = current.progress.state.takeIf { it.isEnded } ?: JobState.RUNNING
        val record = entry.record.copy(tasks = tasks, state = state)
        batch.savePart(DurableJobBatch.PartSave(id, record, entry.revision, current.version, snapshot))
    }

    fun onCommitted(
        save: DurableJobBatch.PartSave,
        revision: Long,
    ) {
        val entry = entries[save.id] ?: return
        entry.record = save.record
        entry.revision = revision
        entry.returning.keys.retainAll { save.record.tasks[it]?.returned == false }
    }

    /** Applies the part that a conflict shows in [item], or its absence. */
    fun onConflict(
        id: JobId,
        item: StoreItem?,
    ) {
        if (item == null) onAbsent(id, revision(id)) else onItem(item)
    }
}
