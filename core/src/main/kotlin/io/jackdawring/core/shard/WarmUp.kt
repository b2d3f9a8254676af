package io.jackdawring.core.shard

/**
 * The time after a target's failure domain has returned to service, in which the target may be cold.
 *
 * The target's speed in this time is learned from the runs that start in it, and says nothing about the time after it.
 */
internal class WarmUp {
    private var startedAtMillis = Long.MAX_VALUE
    private var endsAtMillis = Long.MIN_VALUE
    private var isEndPending = false

    /** Starts the warm-up of a target that says that it is cold for [coldMillis]. */
    fun start(
        coldMillis: Long,
        nowMillis: Long,
    ) {
        startedAtMillis = nowMillis
        endsAtMillis = nowMillis + coldMillis.coerceIn(MIN_MILLIS, MAX_MILLIS)
        isEndPending = true
    }

    /** Whether [atMillis] lies in the last warm-up. */
    fun includes(atMillis: Long): Boolean = atMillis in startedAtMillis until endsAtMillis

    /** Whether the warm-up has ended since the last call. */
    fun takeEnd(nowMillis: Long): Boolean {
        val hasEnded = isEndPending && nowMillis >= endsAtMillis
        if (hasEnded) isEndPending = false
        return hasEnded
    }

    companion object {
        /** Chosen, not measured: a target that does not say for how long it is cold may be so for some runs. */
        private const val MIN_MILLIS = 3_000L

        /** Bounds the effect of a target that always says that it is cold. */
        const val MAX_MILLIS = 30_000L
    }
}
