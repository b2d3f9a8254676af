package io.jackdawring.server.control

/** Milliseconds since the creation of the clock; never decreases. */
internal class MonotonicClock {
    private val originNanos = System.nanoTime()

    fun nowMillis(): Long = (System.nanoTime() - originNanos) / NANOS_PER_MILLI

    /** Unix time at the origin of the clock in milliseconds. */
    fun wallClockOffsetMillis(): Long = System.currentTimeMillis() - nowMillis()

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000
    }
}
