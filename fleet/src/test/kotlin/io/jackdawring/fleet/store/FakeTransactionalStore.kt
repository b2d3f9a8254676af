package io.jackdawring.fleet.store

import io.jackdawring.fleet.FakeControlLoop
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

/** A store on virtual time that checks conditions and injects faults. */
internal class FakeTransactionalStore(
    private val loop: FakeControlLoop,
) : KeyValueStore by FakeKeyValueStore() {
    enum class Mode {
        HEALTHY,

        /** Refuses commits without applying them. */
        REFUSES,

        /** Applies commits and does not answer. */
        ANSWERS_LOST,

        /** Reports conflicts that name no item, and applies nothing. */
        EMPTY_CONFLICTS,

        /** Does not answer, and applies commits seconds later. */
        LATE,
    }

    var mode = Mode.HEALTHY
    var latencyMillis = 4L

    /** Whether watches report changes; if not, they are like one whose connection is broken. */
    var reportsChanges = false
    private val watches = ArrayList<Watch>()

    private class Watch(
        val prefix: String,
        val onResult: (WatchResult) -> Unit,
    )

    val items = LinkedHashMap<String, StoreItem>()

    /** Number of entries of each commit. */
    val writeSizes = ArrayList<Int>()
    private var revision = 0L

    fun put(
        key: String,
        value: ByteArray = ByteArray(0),
    ): Long {
        items[key] = StoreItem(key, value, ++revision)
        return revision
    }

    override fun list(
        prefix: String,
        onResult: (ListResult) -> Unit,
    ) = loop.schedule(latencyMillis) {
        val found = items.values.filter { it.key.startsWith(prefix) }.toImmutableList()
        onResult(ListResult.Listed(found, revision))
    }

    override fun watch(
        prefix: String,
        afterRevision: Long,
        waitMillis: Long,
        onResult: (WatchResult) -> Unit,
    ) {
        watches.add(Watch(prefix, onResult))
    }

    private fun report(change: StoreChange) {
        for (watch in watches.toList()) {
            val written = change.writes.filter { it.key.startsWith(watch.prefix) }.mapNotNull { items[it.key] }
            val removed = change.removals.filter { it.startsWith(watch.prefix) }
            val events = written.map { StoreEvent.Written(it) } + removed.map { StoreEvent.Removed(it, revision) }
            if (events.isEmpty()) continue
            watches.remove(watch)
            watch.onResult(WatchResult.Changed(events.toImmutableList(), revision))
        }
    }

    override fun commit(
        change: StoreChange,
        onResult: (CommitResult) -> Unit,
    ) {
        writeSizes.add(change.conditions.size + change.writes.size + change.removals.size)
        when (mode) {
            Mode.HEALTHY -> loop.schedule(latencyMillis) { onResult(apply(change)) }
            Mode.REFUSES ->
                loop.schedule(latencyMillis) { onResult(CommitResult.Unavailable("503", mayHaveApplied = false)) }
            Mode.EMPTY_CONFLICTS ->
                loop.schedule(latencyMillis) { onResult(CommitResult.Conflict(persistentListOf())) }
            Mode.ANSWERS_LOST -> {
                loop.schedule(latencyMillis) { apply(change) }
                loop.schedule(TIMEOUT_MILLIS) { onResult(CommitResult.Unavailable("timed out")) }
            }
            Mode.LATE -> {
                loop.schedule(LATE_MILLIS) { apply(change) }
                loop.schedule(TIMEOUT_MILLIS) { onResult(CommitResult.Unavailable("timed out")) }
            }
        }
    }

    private fun apply(change: StoreChange): CommitResult {
        if (change.conditions.any { (items[it.key]?.revision ?: 0) != it.revision }) {
            return CommitResult.Conflict(change.conditions.mapNotNull { items[it.key] }.toImmutableList())
        }
        revision++
        change.writes.forEach { items[it.key] = StoreItem(it.key, it.value, revision, it.leaseId) }
        change.removals.forEach(items::remove)
        if (reportsChanges) report(change)
        return CommitResult.Committed(revision)
    }

    companion object {
        const val TIMEOUT_MILLIS = 200L
        const val LATE_MILLIS = 3_000L
    }
}
