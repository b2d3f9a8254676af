package io.jackdawring.core.shard

/** Map whose entries expire [retentionMillis] after they were put. */
internal class ExpiringMap<Key, Value>(
    private val retentionMillis: Long,
) {
    private class Entry<Value>(
        val value: Value,
        val putAtMillis: Long,
    )

    /** In insertion order, so that expired entries are at the front. */
    private val entries = LinkedHashMap<Key, Entry<Value>>()

    fun put(
        key: Key,
        value: Value,
        nowMillis: Long,
    ) {
        entries.remove(key)
        entries[key] = Entry(value, nowMillis)
    }

    fun find(
        key: Key,
        nowMillis: Long,
    ): Value? = entries[key]?.takeIf { nowMillis - it.putAtMillis < retentionMillis }?.value

    /** Removes and returns the value of [key], even if it has expired. */
    fun remove(key: Key): Value? = entries.remove(key)?.value

    fun removeExpired(nowMillis: Long) {
        val iterator = entries.values.iterator()
        while (iterator.hasNext() && nowMillis - iterator.next().putAtMillis >= retentionMillis) iterator.remove()
    }
}
