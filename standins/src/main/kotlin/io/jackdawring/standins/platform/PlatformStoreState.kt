package io.jackdawring.standins.platform

/** Keys, leases and history of a [StandInPlatformStore]; single-threaded, times in milliseconds. */
internal class PlatformStoreState(
    private val historyLimit: Int,
) {
    class Item(
        val key: String,
        val value: String,
        val revision: Long,
        val createdAt: Long,
        val lease: Long,
    )

    /** A change of [key]; [item] is null for a removal. */
    class Change(
        val key: String,
        val revision: Long,
        val item: Item?,
    )

    private class Lease(
        val ttlMillis: Long,
        var expiresAtMillis: Long,
    )

    val items = sortedMapOf<String, Item>()
    private val history = ArrayDeque<Change>()
    private val leases = HashMap<Long, Lease>()
    private var nextLease = 1L

    var revision = 1L
        private set

    /** The history contains all changes after this revision. */
    private var historyFrom = 1L

    fun put(
        key: String,
        value: String,
        lease: Long,
    ) = put(++revision, key, value, lease)

    private fun put(
        newRevision: Long,
        key: String,
        value: String,
        lease: Long,
    ) {
        val item = Item(key, value, newRevision, items[key]?.createdAt ?: newRevision, lease)
        items[key] = item
        record(Change(key, newRevision, item))
    }

    fun remove(key: String) {
        if (items.remove(key) != null) record(Change(key, ++revision, null))
    }

    /** Applies all writes and removals at one new revision. */
    fun commit(
        writes: List<Triple<String, String, Long>>,
        removals: List<String>,
    ): Long {
        val newRevision = ++revision
        writes.forEach { (key, value, lease) -> put(newRevision, key, value, lease) }
        removals.filter { items.remove(it) != null }.forEach { record(Change(it, newRevision, null)) }
        return newRevision
    }

    private fun record(change: Change) {
        history.addLast(change)
        while (history.size > historyLimit) historyFrom = history.removeFirst().revision
    }

    fun clearHistory() {
        history.clear()
        historyFrom = revision
    }

    /** Changes of keys with [prefix] after revision [after], or null if the history does not reach back so far. */
    fun changesAfter(
        after: Long,
        prefix: String,
    ): List<Change>? =
        if (after <
            historyFrom
        ) {
            null
        } else {
            history.filter { it.revision > after && it.key.startsWith(prefix) }
        }

    fun grantLease(
        ttlMillis: Long,
        nowMillis: Long,
    ): Long = nextLease++.also { leases[it] = Lease(ttlMillis, nowMillis + ttlMillis) }

    /** Renews a lease and returns its TTL, or null if it has ended. */
    fun renewLease(
        id: Long,
        nowMillis: Long,
    ): Long? = leases[id]?.also { it.expiresAtMillis = nowMillis + it.ttlMillis }?.ttlMillis

    fun hasLease(id: Long): Boolean = id == 0L || id in leases

    fun endLease(id: Long) {
        if (leases.remove(id) == null) return
        items.values
            .filter { it.lease == id }
            .map { it.key }
            .forEach(::remove)
    }

    fun expireLeases(nowMillis: Long) = leases.filterValues { it.expiresAtMillis <= nowMillis }.keys.forEach(::endLease)
}
