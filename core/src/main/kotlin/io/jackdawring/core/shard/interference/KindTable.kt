package io.jackdawring.core.shard.interference

/** Numbers the kinds of task from 1 to [SIZE] - 1; all others share [SHARED]. */
internal class KindTable(
    private val onReused: (Int) -> Unit,
) {
    private class Entry(
        val kind: TaskKind,
        var usedAtMillis: Long,
    ) {
        var runs = 0
    }

    private val numbers = HashMap<TaskKind, Int>()
    private val entries = arrayOfNulls<Entry>(SIZE)

    /** The number of [kind], or [SHARED] if it has none. */
    fun find(kind: TaskKind): Int = numbers[kind] ?: SHARED

    fun label(number: Int): String = entries[number]?.kind?.label ?: "others"

    /** Counts a run of [kind] that starts, and returns the number of the kind; a new one if there is one left. */
    fun onStarted(
        kind: TaskKind,
        nowMillis: Long,
    ): Int {
        val number = numbers[kind] ?: assign(kind, nowMillis)
        val entry = entries[number] ?: return SHARED
        entry.runs++
        entry.usedAtMillis = nowMillis
        return number
    }

    /** Counts the end of a run of the kind [number]. */
    fun onEnded(
        number: Int,
        nowMillis: Long,
    ) {
        val entry = entries[number] ?: return
        entry.runs--
        entry.usedAtMillis = nowMillis
    }

    private fun assign(
        kind: TaskKind,
        nowMillis: Long,
    ): Int {
        val number = (1 until SIZE).firstOrNull { entries[it] == null } ?: release(nowMillis) ?: return SHARED
        numbers[kind] = number
        entries[number] = Entry(kind, nowMillis)
        return number
    }

    /** Releases the number of the kind that has had no run for the longest time, or returns null if none is old enough. */
    private fun release(nowMillis: Long): Int? {
        val number = (1 until SIZE).filter { entries[it]?.runs == 0 }.minByOrNull { usedAtMillis(it) } ?: return null
        val entry = entries[number] ?: return null
        if (nowMillis - entry.usedAtMillis < MIN_IDLE_MILLIS) return null
        onReused(number)
        numbers.remove(entry.kind)
        return number
    }

    private fun usedAtMillis(number: Int) = entries[number]?.usedAtMillis ?: Long.MAX_VALUE

    companion object {
        /** Number of all kinds without one of their own, and of runs whose kind is not known. */
        const val SHARED = 0

        /** Limits the memory for pairs of kinds and the time to examine the kinds on a target. */
        const val SIZE = 64

        /** Idle time after which a number is reused; what was learned has lost its weight by then. */
        const val MIN_IDLE_MILLIS = 300_000L
    }
}
