package io.jackdawring.core.target

import kotlin.random.Random

/** Set with constant-time insertion, removal and random access, for sampling. */
internal class IndexedSet<T : Any> : AbstractCollection<T>() {
    private val items = ArrayList<T>()
    private val positions = HashMap<T, Int>()

    override val size: Int get() = items.size

    override fun contains(element: T): Boolean = element in positions

    override fun iterator(): Iterator<T> = items.iterator()

    operator fun get(index: Int): T = items[index]

    fun set(
        item: T,
        member: Boolean,
    ) {
        if (member) add(item) else remove(item)
    }

    /**
     * Moves up to [count] random items to the front and returns how many there are.
     *
     * The items are distinct, so a small set is seen as a whole.
     */
    fun shuffleFront(
        count: Int,
        random: Random,
    ): Int {
        val sampled = minOf(count, items.size)
        if (sampled == items.size) return sampled
        for (index in 0 until sampled) swap(index, random.nextInt(index, items.size))
        return sampled
    }

    private fun add(item: T) {
        if (positions.putIfAbsent(item, items.size) == null) items += item
    }

    private fun remove(item: T) {
        val position = positions.remove(item) ?: return
        val last = items.removeAt(items.lastIndex)
        if (position < items.size) {
            items[position] = last
            positions[last] = position
        }
    }

    private fun swap(
        left: Int,
        right: Int,
    ) {
        if (left == right) return
        val moved = items[left]
        items[left] = items[right]
        items[right] = moved
        positions[items[left]] = left
        positions[moved] = right
    }
}
