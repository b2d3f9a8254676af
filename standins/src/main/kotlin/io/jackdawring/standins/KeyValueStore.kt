package io.jackdawring.standins

import kotlinx.serialization.Serializable

/** A stored value; [value] is null if the key does not exist, [revision] is then that of its deletion or 0. */
@Serializable
internal data class KeyValueEntry(
    val value: String? = null,
    val revision: Long,
)

/** A key with its value, as a listing shows it. */
@Serializable
internal data class ListedKey(
    val key: String,
    val value: String,
    val revision: Long,
)

/** Result of a write. */
internal sealed interface WriteResult {
    data class Written(
        val revision: Long,
    ) : WriteResult

    data class Conflict(
        val present: KeyValueEntry,
    ) : WriteResult
}

/** The store's keys with revisions, leases and watches; every method may be called from any thread. */
internal class KeyValueStore(
    private val timers: Timers,
) {
    private class Slot(
        val entry: KeyValueEntry,
        val lease: TimerHandle?,
    )

    private val lock = Any()
    private val slots = HashMap<String, Slot>()
    private val watchers = WatchTable<String, KeyValueEntry>(timers)
    private var lastRevision = 0L

    // Bounded because claims create and expire keys without end; a watch of an older deletion waits for the next change.
    private val deletions =
        object : LinkedHashMap<String, Long>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Long>) = size > MAX_DELETIONS
        }

    val waitingWatches: Int get() = watchers.size

    fun get(key: String): KeyValueEntry = synchronized(lock) { present(key) }

    fun list(prefix: String): List<ListedKey> =
        synchronized(lock) {
            slots
                .filterKeys { it.startsWith(prefix) }
                .map { (key, slot) -> ListedKey(key, slot.entry.value.orEmpty(), slot.entry.revision) }
                .sortedBy { it.key }
        }

    /** Calls [onEntry] once [key] changed after [afterRevision], or with its present state after [waitMillis]. */
    fun watch(
        key: String,
        afterRevision: Long,
        waitMillis: Long,
        onEntry: (KeyValueEntry) -> Unit,
    ): TimerHandle {
        val now =
            synchronized(lock) {
                present(key).takeIf { it.revision > afterRevision }
                    ?: return watchers.add(key, waitMillis, { get(key) }, onEntry)
            }
        onEntry(now)
        return TimerHandle {}
    }

    fun put(
        key: String,
        value: String,
        expectedRevision: Long?,
        leaseMillis: Long?,
    ): WriteResult =
        change(key, expectedRevision) {
            val entry = KeyValueEntry(value, ++lastRevision)
            val lease = leaseMillis?.let { timers.schedule(it) { expire(key, entry.revision) } }
            slots.put(key, Slot(entry, lease))?.lease?.cancel()
            entry
        }

    fun delete(
        key: String,
        expectedRevision: Long?,
    ): WriteResult =
        change(key, expectedRevision) {
            val slot = slots.remove(key) ?: return@change present(key)
            slot.lease?.cancel()
            deletions[key] = ++lastRevision
            present(key)
        }

    private fun expire(
        key: String,
        revision: Long,
    ) {
        delete(key, revision)
    }

    private fun change(
        key: String,
        expectedRevision: Long?,
        apply: () -> KeyValueEntry,
    ): WriteResult {
        val (entry, woken) =
            synchronized(lock) {
                val present = present(key)
                val presentRevision = if (present.value == null) 0 else present.revision
                if (expectedRevision != null &&
                    expectedRevision != presentRevision
                ) {
                    return WriteResult.Conflict(present)
                }
                apply() to watchers.take(key)
            }
        woken.forEach { it(entry) }
        return WriteResult.Written(entry.revision)
    }

    private fun present(key: String): KeyValueEntry = slots[key]?.entry ?: KeyValueEntry(null, deletions[key] ?: 0)

    private companion object {
        const val MAX_DELETIONS = 10_000
    }
}
