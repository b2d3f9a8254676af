package io.jackdawring.standins

import kotlinx.serialization.Serializable

/** A stored value; [value] is null if the key does not exist, [revision] is then that of its deletion or 0. */
@Serializable
internal data class KeyValueEntry(
    val value: String? = null,
    val revision: Long,
)

/** A key with its value in a listing. */
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
        val current: KeyValueEntry,
    ) : WriteResult
}

/** The store's keys with revisions, leases and watches; every method may be called from any thread. */
internal class KeyValueStore(
    private val timers: Timers,
) {
    private class StoredKey(
        val entry: KeyValueEntry,
        val lease: TimerHandle?,
    )

    private val lock = Any()
    private val storedKeys = HashMap<String, StoredKey>()
    private val watches = WatchTable<String, KeyValueEntry>(timers)
    private var lastRevision = 0L

    // Bounded because claims keep creating and expiring keys; a watch of an older deletion waits for the next change.
    private val deletions =
        object : LinkedHashMap<String, Long>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Long>) = size > MAX_DELETIONS
        }

    val waitingWatches: Int get() = watches.size

    fun get(key: String): KeyValueEntry = synchronized(lock) { current(key) }

    fun list(prefix: String): List<ListedKey> =
        synchronized(lock) {
            storedKeys
                .filterKeys { it.startsWith(prefix) }
                .map { (key, stored) -> ListedKey(key, stored.entry.value.orEmpty(), stored.entry.revision) }
                .sortedBy { it.key }
        }

    /** Calls [onEntry] once [key] changed after [afterRevision], or with its current state after [waitMillis]. */
    fun watch(
        key: String,
        afterRevision: Long,
        waitMillis: Long,
        onEntry: (KeyValueEntry) -> Unit,
    ): TimerHandle {
        val entry =
            synchronized(lock) {
                current(key).takeIf { it.revision > afterRevision }
                    ?: return watches.add(key, waitMillis, { get(key) }, onEntry)
            }
        onEntry(entry)
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
            storedKeys.put(key, StoredKey(entry, lease))?.lease?.cancel()
            entry
        }

    fun delete(
        key: String,
        expectedRevision: Long?,
    ): WriteResult =
        change(key, expectedRevision) {
            val stored = storedKeys.remove(key) ?: return@change current(key)
            stored.lease?.cancel()
            deletions[key] = ++lastRevision
            current(key)
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
                val current = current(key)
                val currentRevision = if (current.value == null) 0 else current.revision
                if (expectedRevision != null &&
                    expectedRevision != currentRevision
                ) {
                    return WriteResult.Conflict(current)
                }
                apply() to watches.take(key)
            }
        woken.forEach { it(entry) }
        return WriteResult.Written(entry.revision)
    }

    private fun current(key: String): KeyValueEntry = storedKeys[key]?.entry ?: KeyValueEntry(null, deletions[key] ?: 0)

    private companion object {
        const val MAX_DELETIONS = 10_000
    }
}
