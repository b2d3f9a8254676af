package io.jackdawring.core.shard

/** Keeps values for [retentionMillis] after they were put. */
internal class RecentMap<Key, Value>(
    private val retentionMillis: Long,
) {
    private class Entry<Value>(
        val value: Value,
        val putAtMillis: Long,
    )

    /** In the order of their times, so that old entries are found at the front. */
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

    /** Removes the value of [key], whatever its age. */
    fun remove(key: Key): Value? = entries.remove(key)?.value

    fun forgetOld(nowMillis: Long) {
        val iterator = entries.values.iterator()
        while (iterator.hasNext() && nowMillis - iterator.next().putAtMillis >= retentionMillis) iterator.remove()
    }
}
