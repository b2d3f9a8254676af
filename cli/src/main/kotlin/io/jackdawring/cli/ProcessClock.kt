package io.jackdawring.cli

/** Time of a subcommand; virtual in tests. */
interface ProcessClock {
    /** Monotonic time in milliseconds. */
    fun nowMillis(): Long

    fun sleep(millis: Long)
}

internal object RealProcessClock : ProcessClock {
    override fun nowMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    override fun sleep(millis: Long) = Thread.sleep(millis)

    private const val NANOS_PER_MILLI = 1_000_000
}
