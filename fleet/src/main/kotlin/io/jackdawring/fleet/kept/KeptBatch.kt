package io.jackdawring.fleet.kept

import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSnapshot
import io.jackdawring.fleet.FleetKeys
import io.jackdawring.fleet.store.StoreChange
import kotlinx.collections.immutable.toImmutableList

/** Writes of a shard's jobs that take effect together, as long as the shard has the holder in [holding]. */
internal class KeptBatch(
    private val holding: ShardHolding,
) {
    /** A record to be written with [version] of its progress; [snapshot] gives a newer one if it must be written again. */
    class Save(
        val id: JobId,
        val entry: KeptEntry,
        val record: KeptJobRecord,
        val version: Long,
        val snapshot: () -> JobSnapshot,
    )

    val saves = ArrayList<Save>()
    val accepts = ArrayList<PendingAccept>()
    val removals = ArrayList<JobId>()
    private val conditions =
        arrayListOf(StoreChange.Condition(FleetKeys.shard(holding.shardId), holding.revision))
    private val writes = ArrayList<StoreChange.Write>()
    private val removedKeys = ArrayList<String>()

    val size: Int get() = saves.size + accepts.size + removals.size
    val isEmpty: Boolean get() = size == 0
    val hasRoom: Boolean get() = conditions.size + writes.size + removedKeys.size + LARGEST_ADDITION <= MAX_ENTRIES
    val change: StoreChange
        get() = StoreChange(conditions.toImmutableList(), writes.toImmutableList(), removedKeys.toImmutableList())

    fun save(
        id: JobId,
        entry: KeptEntry,
        record: KeptJobRecord,
        version: Long,
        snapshot: () -> JobSnapshot,
    ) {
        val key = KeptKeys.record(holding.shardId, id)
        conditions.add(StoreChange.Condition(key, entry.revision))
        writes.add(StoreChange.Write(key, record.encode()))
        saves.add(Save(id, entry, record, version, snapshot))
    }

    fun accept(pending: PendingAccept) {
        conditions.add(StoreChange.Condition(KeptKeys.place(pending.id), 0))
        writes.add(StoreChange.Write(KeptKeys.place(pending.id), KeptJobPlace(holding.shardId).encode()))
        writes.add(StoreChange.Write(KeptKeys.record(holding.shardId, pending.id), pending.record.encode()))
        accepts.add(pending)
    }

    fun remove(
        id: JobId,
        entry: KeptEntry,
    ) {
        val key = KeptKeys.record(holding.shardId, id)
        conditions.add(StoreChange.Condition(key, entry.revision))
        removedKeys.add(key)
        removedKeys.add(KeptKeys.place(id))
        removals.add(id)
    }

    private companion object {
        /** Most entries of one write, as the platform's pages say. */
        const val MAX_ENTRIES = 32

        /** Entries of an accepted or removed job. */
        const val LARGEST_ADDITION = 3
    }
}
