package io.jackdawring.core

/**
 * Decision logic of one entry instance.
 *
 * A driver delivers events and performs the emitted effects. The implementation has no threads, clocks, I/O or
 * random sources of its own, so it is deterministic: the same events at the same times give the same effects. It is not
 * thread-safe.
 */
interface EntryInstance {
    /**
     * Applies [event] at [nowMillis] and emits its effects in order.
     *
     * [nowMillis] is monotonic time in milliseconds and never decreases between calls.
     */
    fun handle(
        event: Event,
        nowMillis: Long,
        effects: EffectSink,
    )

    /** Monotonic time in milliseconds at which [Event.TimerFired] is due next, or null when no timer is set. */
    fun nextTimerMillis(): Long?

    /** Current state for status pages, metrics and tests. */
    fun snapshot(): InstanceSnapshot

    /** Creates entry instances. */
    fun interface Factory {
        /** Creates an entry instance that has received no events. */
        fun create(options: EntryOptions): EntryInstance
    }

    companion object {
        /** Factory of the production implementation. */
        val Default: Factory = Factory { options -> RealEntryInstance(options) }
    }
}
