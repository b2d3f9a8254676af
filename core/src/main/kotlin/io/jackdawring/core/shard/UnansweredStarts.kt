package io.jackdawring.core.shard

/**
 * Starts that a target has not answered and may still carry out, after their tasks were started elsewhere.
 *
 * A stop that the target accepts prevents that, but only for its current incarnation.
 */
internal class UnansweredStarts {
    private class Entry(
        val attempt: Int,
        val addedAtMillis: Long,
    ) {
        var isStopAccepted = false
        var stopSentAtMillis = Long.MIN_VALUE / 2
    }

    private val entries = LinkedHashMap<TaskKey, Entry>()

    /** Whether a start may still be carried out as soon as the target has a lease. */
    val isOpen: Boolean get() = entries.values.any { !it.isStopAccepted }

    val isEmpty: Boolean get() = entries.isEmpty()

    fun add(
        run: TrackedRun,
        nowMillis: Long,
    ) {
        entries[run.key] = Entry(run.attempt, nowMillis).apply { isStopAccepted = run.isStopAccepted }
    }

    /** Forgets starts that are too old to be carried out. */
    fun removeExpired(nowMillis: Long) {
        if (entries.isNotEmpty()) entries.values.removeIf { nowMillis - it.addedAtMillis >= MAX_DELAY_MILLIS }
    }

    /** Calls [stop] for each start whose stop is due. */
    fun forEachDue(
        nowMillis: Long,
        stop: (task: TaskKey, attempt: Int) -> Unit,
    ) {
        for ((task, entry) in entries) {
            if (entry.isStopAccepted || nowMillis - entry.stopSentAtMillis < RunStopper.RETRY_MILLIS) continue
            entry.stopSentAtMillis = nowMillis
            stop(task, entry.attempt)
        }
    }

    /** Records that the target accepted the stop of [attempt]; returns whether it was the last open one. */
    fun onStopAccepted(
        task: TaskKey,
        attempt: Int,
    ): Boolean {
        val entry = entries[task]?.takeIf { it.attempt == attempt && !it.isStopAccepted } ?: return false
        entry.isStopAccepted = true
        return !isOpen
    }

    /** Records that the target has restarted and knows none of the stops. */
    fun onRestarted() =
        entries.values.forEach {
            it.isStopAccepted = false
            it.stopSentAtMillis = Long.MIN_VALUE / 2
        }

    private companion object {
        /** Targets carry out requests up to 12 s late. */
        const val MAX_DELAY_MILLIS = 13_000L
    }
}
