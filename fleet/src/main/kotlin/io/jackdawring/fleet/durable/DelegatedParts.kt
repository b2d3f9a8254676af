package io.jackdawring.fleet.durable

import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.TaskProgress
import io.jackdawring.core.shard.withTasks
import io.jackdawring.fleet.store.StoreItem

/**
 * The tasks of this shard's jobs that other shards run, and the writes that delegate them, take them back and end them.
 *
 * Every write of a job with such tasks is planned here from the stored records, and changes the record of the job, so
 * that one that takes effect late conflicts with a later one. A task is reported as returned only once the stored record
 * of the job shows it.
 */
internal class DelegatedParts(
    private val owner: ShardId,
    private val listener: PartListener,
) {
    /** A part as it was last read or written; [record] is null if there is none. */
    private class Known(
        val revision: Long,
        val record: PartRecord?,
    )

    private class Delegation(
        val target: ShardId,
        val progress: TaskProgress,
    )

    private class Job {
        /** Tasks whose delegation is not known to be stored. */
        val pending = LinkedHashMap<String, Delegation>()
        val known = HashMap<ShardId, Known>()

        /** Shards that have tasks according to the stored record. */
        var storedShards = emptySet<ShardId>()

        /** Tasks that do not run here. */
        var outside = emptySet<String>()

        /** Progress of the tasks that were, or may have been, taken back. */
        val merged = HashMap<String, TaskProgress>()
        var isEnding = false
    }

    /** A write of a job: its [record], and the [changes] to its parts in the same write. */
    class Plan(
        val record: DurableJobRecord,
        val changes: List<PartChange>,
    ) {
        val entries: Int get() = 2 + 2 * changes.size
    }

    private val jobs = HashMap<JobId, Job>()

    operator fun contains(id: JobId): Boolean = id in jobs

    /** Adds a job of an earlier holder. */
    fun onFound(
        id: JobId,
        record: DurableJobRecord,
    ) {
        if (record.parts.isEmpty()) return
        val job = jobs.getOrPut(id, ::Job)
        job.outside = record.delegatedTasks
        job.storedShards = record.parts.map { it.shardId }.toSet()
        job.isEnding = record.progress.ending != null
    }

    /** Adds a task that does not run here any more; the next write of the job includes it. */
    fun delegate(
        id: JobId,
        target: ShardId,
        task: String,
        progress: TaskProgress,
    ) {
        val job = jobs.getOrPut(id, ::Job)
        job.pending[task] = Delegation(target, progress)
        job.outside += task
    }

    /** Revisions of the parts in each shard, 0 if not known; with [endingOnly], only of jobs that are to end. */
    fun open(endingOnly: Boolean): Map<ShardId, Map<JobId, Long>> {
        val open = HashMap<ShardId, HashMap<JobId, Long>>()
        for ((id, job) in jobs) {
            if (endingOnly && !job.isEnding) continue
            for (shardId in job.storedShards) {
                open.getOrPut(shardId, ::HashMap)[id] = job.known[shardId]?.revision ?: 0
            }
        }
        return open
    }

    /** What a write of the job with [record], which has its present progress, has to contain. */
    fun plan(
        id: JobId,
        record: DurableJobRecord,
        nowUnixMillis: Long,
    ): Plan {
        val job = jobs[id] ?: return Plan(record, emptyList())
        val isEnding = record.progress.ending != null
        val pending = if (isEnding) emptyMap() else job.pending
        val listed = record.parts.associate { it.shardId to it.tasks }
        val changes = ArrayList<PartChange>()
        val parts = ArrayList<DelegatedTasks>()
        val merged = HashMap<String, TaskProgress>()
        for (shardId in listed.keys + pending.values.map { it.target }) {
            val known = job.known[shardId]
            val before = listed[shardId].orEmpty()
            val part = known?.record?.takeIf { before.isNotEmpty() }
            val returned = part?.let { returnedTasks(it, before, isEnding) }.orEmpty()
            val added = pending.filterValues { it.target == shardId }.filterKeys { it !in before || it in returned }
            val left = before - returned + added.keys
            if (left.isNotEmpty()) parts.add(DelegatedTasks(shardId, left))
            returned.forEach { task -> part?.tasks?.get(task)?.let { merged[task] = it.progress } }
            val mustCancel = isEnding && left.isNotEmpty() && part?.cancelled != true
            if (returned.isEmpty() && added.isEmpty() && !mustCancel) continue
            val tasks =
                part?.tasks.orEmpty().filterKeys { it in left } + added.mapValues { PartRecord.Task(it.value.progress) }
            val state = part?.state ?: JobState.RUNNING
            val next = PartRecord(owner, record.spec, record.acceptedAtUnixMillis, tasks, isEnding, state)
            changes.add(PartChange(shardId, known?.revision ?: 0, next.takeIf { left.isNotEmpty() }))
        }
        job.merged += merged
        return Plan(withParts(record, parts, merged, nowUnixMillis), changes)
    }

    /** Those of the delegated tasks [all] that the holder of [part] does not start any more. */
    private fun returnedTasks(
        part: PartRecord,
        all: Set<String>,
        isEnding: Boolean,
    ): Set<String> =
        when {
            // The failure of a task is stored together with the end of the job.
            part.state == JobState.FAILED && !isEnding -> emptySet()
            part.state.isEnded -> all
            else -> all intersect part.tasks.filterValues { it.returned }.keys
        }

    private fun withParts(
        record: DurableJobRecord,
        parts: List<DelegatedTasks>,
        merged: Map<String, TaskProgress>,
        nowUnixMillis: Long,
    ): DurableJobRecord {
        val progress = record.progress.withTasks(merged)
        val ending = progress.ending
        return if (ending == null || parts.isNotEmpty()) {
            record.copy(progress = progress, parts = parts)
        } else {
            val endedAt = record.endedAtUnixMillis ?: nowUnixMillis
            record.copy(progress = progress.copy(state = ending), parts = parts, endedAtUnixMillis = endedAt)
        }
    }

    /** Records that [plan] is stored at [revision]. */
    fun onCommitted(
        id: JobId,
        plan: Plan,
        revision: Long,
    ) {
        val job = jobs[id] ?: return
        for (change in plan.changes) job.known[change.shardId] = Known(revision, change.record)
        onStored(id, job, plan.record)
        if (plan.record.progress.ending != null && plan.changes.any { it.record != null }) listener.onEnding(id)
    }

    /** Records what a conflict shows: the stored [record] of the job, and the parts that [plan] would have changed. */
    fun onConflict(
        id: JobId,
        plan: Plan,
        record: DurableJobRecord,
        partOf: (ShardId) -> StoreItem?,
    ) {
        val job = jobs[id] ?: return
        for (change in plan.changes) {
            val item = partOf(change.shardId)
            job.known[change.shardId] = Known(item?.revision ?: 0, item?.let(PartRecord::decode))
        }
        onStored(id, job, record)
    }

    private fun onStored(
        id: JobId,
        job: Job,
        record: DurableJobRecord,
    ) {
        job.isEnding = record.progress.ending != null
        val stored = record.parts.associate { it.shardId to it.tasks }
        job.storedShards = stored.keys
        job.known.keys.retainAll(stored.keys + job.pending.values.map { it.target })
        val delegated = job.pending.filter { (task, each) -> task in stored[each.target].orEmpty() }
        job.pending -= delegated.keys
        if (job.isEnding) job.pending.clear()
        val before = job.outside
        job.outside = record.delegatedTasks + job.pending.keys
        val returned = before - job.outside
        if (job.outside.isEmpty()) jobs.remove(id)
        for ((target, tasks) in delegated.entries.groupBy({ it.value.target }, { it.key })) {
            listener.onDelegated(id, target, tasks.toSet())
        }
        if (returned.isNotEmpty()) {
            listener.onReturned(id, returned.associateWith { job.merged.remove(it) ?: TaskProgress() })
        }
        reportResults(id, job)
    }

    /** Records the part of the job [id] in [shardId] as it was read from the store. */
    fun onRead(
        id: JobId,
        shardId: ShardId,
        item: StoreItem,
    ) {
        val job = jobs[id] ?: return
        if (item.revision <= (job.known[shardId]?.revision ?: 0)) return
        job.known[shardId] = Known(item.revision, PartRecord.decode(item))
        reportResults(id, job)
    }

    private fun reportResults(
        id: JobId,
        job: Job,
    ) {
        val parts = job.known.values.mapNotNull { it.record }
        if (!job.isEnding && parts.any { it.state == JobState.FAILED }) {
            listener.onFailed(id)
        } else if (parts.any { it.hasResults || job.isEnding && !it.cancelled }) {
            listener.onWriteNeeded(id)
        }
    }
}
