package io.jackdawring.server.burn

/** The last [capacity] samples of two increasing counters, at least [intervalMillis] apart. */
internal class SampleRing(
    private val capacity: Int,
    private val intervalMillis: Long,
) {
    private val times = LongArray(capacity)
    private val good = LongArray(capacity)
    private val total = LongArray(capacity)
    private var first = 0

    var size = 0
        private set

    class Sample(
        val atMillis: Long,
        val good: Long,
        val total: Long,
    )

    fun add(sample: Sample) {
        if (size > 0 && sample.atMillis - get(size - 1).atMillis < intervalMillis) return
        val index = (first + size) % capacity
        times[index] = sample.atMillis
        good[index] = sample.good
        total[index] = sample.total
        if (size < capacity) size++ else first = (first + 1) % capacity
    }

    /** Sample number [position], oldest first. */
    operator fun get(position: Int): Sample {
        val index = (first + position) % capacity
        return Sample(times[index], good[index], total[index])
    }

    /** The latest sample at or before [atMillis], or the oldest one if there is none. */
    fun before(atMillis: Long): Sample? {
        if (size == 0) return null
        var low = 0
        var high = size - 1
        while (low < high) {
            val middle = (low + high + 1) / 2
            if (get(middle).atMillis <= atMillis) low = middle else high = middle - 1
        }
        return get(low)
    }
}
