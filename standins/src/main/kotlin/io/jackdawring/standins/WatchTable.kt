package io.jackdawring.standins

/** Pending watches by key; each action runs once, on a change or at its timeout, unless it is cancelled first. */
internal class WatchTable<K, V>(
    private val timers: Timers,
) {
    private class Watch<V>(
        val action: (V) -> Unit,
    ) {
        var timeout: TimerHandle? = null
    }

    private val lock = Any()
    private val watches = HashMap<K, LinkedHashSet<Watch<V>>>()

    val size: Int get() = synchronized(lock) { watches.values.sumOf { it.size } }

    fun add(
        key: K,
        waitMillis: Long,
        valueAtTimeout: () -> V,
        action: (V) -> Unit,
    ): TimerHandle {
        val watch = Watch(action)
        synchronized(lock) {
            watches.getOrPut(key) { LinkedHashSet() }.add(watch)
            watch.timeout = timers.schedule(waitMillis) { if (remove(key, watch)) action(valueAtTimeout()) }
        }
        return TimerHandle { if (remove(key, watch)) watch.timeout?.cancel() }
    }

    /** Removes the watches of [key] and returns their actions. */
    fun take(key: K): List<(V) -> Unit> =
        synchronized(lock) {
            watches.remove(key).orEmpty().map { watch ->
                watch.timeout?.cancel()
                watch.action
            }
        }

    private fun remove(
        key: K,
        watch: Watch<V>,
    ): Boolean =
        synchronized(lock) {
            val set = watches[key] ?: return false
            set.remove(watch).also { if (set.isEmpty()) watches.remove(key) }
        }
}
