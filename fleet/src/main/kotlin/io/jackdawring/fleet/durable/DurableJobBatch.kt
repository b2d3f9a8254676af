package io.jackdawring.fleet.durable

import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSnapshot
import io.jackdawring.fleet.FleetKeys
import io.jackdawring.fleet.store.StoreChange
import kotlinx.collections.immutable.toImmutableList

/** Writes for jobs of one shard that are applied atomically, provided that [holding] is still current. */
internal class DurableJobBatch(
    private val holding: ShardHolding,
) {
    /** A record to be written with [version] of its progress; [snapshot] returns the current progress for a retry. */
    class Save(
        val id: JobId,
        val entry: DurableJobEntry,
        val record: DurableJobRecord,
        val version: Long,
        val snapshot: () -> JobSnapshot,
        val plan: DelegatedParts.Plan,
    )

    /** The record of a part, last known at [revision], to be written with [version] of its progress. */
    class PartSave(
        val id: JobId,
        val record: PartRecord,
        val revision: Long,
        val version: Long,
        val snapshot: () -> JobSnapshot,
    )

    /** A job to be moved to the shard [target]. */
    class Move(
        val id: JobId,
        val entry: DurableJobEntry,
        val target: ShardId,
    )

    val saves = ArrayList<Save>()
    val partSaves = ArrayList<PartSave>()
    val accepts = ArrayList<PendingAccept>()
    val removals = ArrayList<JobId>()
    val moves = ArrayList<Move>()
    private val conditions =
        arrayListOf(StoreChange.Condition(FleetKeys.shard(holding.shardId), holding.revision))
    private val writes = ArrayList<StoreChange.Write>()
    private val removedKeys = ArrayList<String>()

    val size: Int get() = saves.size + partSaves.size + accepts.size + removals.size + moves.size
    val isEmpty: Boolean get() = size == 0
    val hasRoom: Boolean get() = hasRoomFor(MAX_ENTRIES_PER_JOB)
    val change: StoreChange
        get() = StoreChange(conditions.toImmutableList(), writes.toImmutableList(), removedKeys.toImmutableList())

    fun hasRoomFor(entries: Int): Boolean = conditions.size + writes.size + removedKeys.size + entries <= MAX_ENTRIES

    /** Stores the record in [plan] in place of [entry], and changes the parts of the job. */
    fun save(
        id: JobId,
        entry: DurableJobEntry,
        plan: DelegatedParts.Plan,
        version: Long,
        snapshot: () -> JobSnapshot,
    ) {
        val key = JobKeys.record(holding.shardId, id)
        conditions.add(StoreChange.Condition(key, entry.revision))
        writes.add(StoreChange.Write(key, plan.record.encode()))
        for (change in plan.changes) {
            val partKey = JobKeys.part(change.shardId, id)
            conditions.add(StoreChange.Condition(partKey, change.revision))
            val part = change.record
            if (part != null) writes.add(StoreChange.Write(partKey, part.encode())) else removedKeys.add(partKey)
        }
        saves.add(Save(id, entry, plan.record, version, snapshot, plan))
    }

    fun savePart(save: PartSave) {
        val key = JobKeys.part(holding.shardId, save.id)
        conditions.add(StoreChange.Condition(key, save.revision))
        writes.add(StoreChange.Write(key, save.record.encode()))
        partSaves.add(save)
    }

    fun accept(pending: PendingAccept) {
        conditions.add(StoreChange.Condition(JobKeys.location(pending.id), 0))
        writes.add(StoreChange.Write(JobKeys.location(pending.id), JobLocation(holding.shardId).encode()))
        writes.add(StoreChange.Write(JobKeys.record(holding.shardId, pending.id), pending.record.encode()))
        accepts.add(pending)
    }

    fun remove(
        id: JobId,
        entry: DurableJobEntry,
    ) {
        val key = JobKeys.record(holding.shardId, id)
        conditions.add(StoreChange.Condition(key, entry.revision))
        removedKeys.add(key)
        removedKeys.add(JobKeys.location(id))
        removals.add(id)
    }

    /** Stores [record] in the shard [target] in place of [entry] in this one. */
    fun move(
        id: JobId,
        entry: DurableJobEntry,
        record: DurableJobRecord,
        target: ShardId,
    ) {
        val key = JobKeys.record(holding.shardId, id)
        conditions.add(StoreChange.Condition(key, entry.revision))
        writes.add(StoreChange.Write(JobKeys.location(id), JobLocation(target).encode()))
        writes.add(StoreChange.Write(JobKeys.record(target, id), record.encode()))
        removedKeys.add(key)
        moves.add(Move(id, entry, target))
    }

    private companion object {
        /** Limit of the platform's store for one write. */
        const val MAX_ENTRIES = 32

        /** Entries for a job that is moved, which needs the most. */
        const val MAX_ENTRIES_PER_JOB = 4
    }
}
