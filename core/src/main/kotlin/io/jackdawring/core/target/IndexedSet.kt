package io.jackdawring.core.target

import kotlin.random.Random

/** Set with constant-time insertion, removal and random access, used for sampling. */
internal class IndexedSet<T : Any> : AbstractCollection<T>() {
    /** An item with its index in [entries]; sampling moves entries often, and a move needs no hash operation. */
    private class Entry<T>(
        val item: T,
        var position: Int,
    )

    private val entries = ArrayList<Entry<T>>()
    private val byItem = HashMap<T, Entry<T>>()

    override val size: Int get() = entries.size

    override fun contains(element: T): Boolean = element in byItem

    override fun iterator(): Iterator<T> = entries.asSequence().map { it.item }.iterator()

    operator fun get(index: Int): T = entries[index].item

    fun set(
        item: T,
        member: Boolean,
    ) {
        if (member) add(item) else remove(item)
    }

    /**
     * Moves up to [count] distinct random items to the front and returns their number.
     *
     * A set of at most [count] items keeps its order.
     */
    fun shuffleFront(
        count: Int,
        random: Random,
    ): Int {
        val sampled = minOf(count, entries.size)
        if (sampled == entries.size) return sampled
        for (index in 0 until sampled) swap(index, random.nextInt(index, entries.size))
        return sampled
    }

    private fun add(item: T) {
        if (item in byItem) return
        val entry = Entry(item, entries.size)
        byItem[item] = entry
        entries += entry
    }

    private fun remove(item: T) {
        val entry = byItem.remove(item) ?: return
        val last = entries.removeAt(entries.lastIndex)
        if (last !== entry) put(last, entry.position)
    }

    private fun swap(
        left: Int,
        right: Int,
    ) {
        if (left == right) return
        val moved = entries[left]
        put(entries[right], left)
        put(moved, right)
    }

    private fun put(
        entry: Entry<T>,
        position: Int,
    ) {
        entries[position] = entry
        entry.position = position
    }
}
