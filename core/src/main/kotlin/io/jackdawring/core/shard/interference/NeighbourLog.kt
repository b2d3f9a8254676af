package io.jackdawring.core.shard.interference

/**
 * Time during which runs of each kind have been present on a target.
 *
 * A run remembers the sums at its start, so the time that each kind was beside it follows from the sums at its end.
 */
internal class NeighbourLog {
    private val runs = IntArray(KindTable.SIZE)

    /** Time with at least one run of each kind. */
    private val presentMillis = LongArray(KindTable.SIZE)

    /** Time with at least two runs of each kind, so that one of them is a neighbour of the other. */
    private val pairedMillis = LongArray(KindTable.SIZE)
    private var updatedAtMillis = 0L

    /** Kinds below this number have had runs here. */
    private var kinds = 0
    private val present = ArrayList<RunNeighbours>()

    /** Adds a run of [kind] that starts now, and returns what is recorded of it. */
    fun add(
        kind: Int,
        expectedMillis: Long,
        isMeasured: Boolean,
        nowMillis: Long,
    ): RunNeighbours {
        update(nowMillis)
        runs[kind]++
        kinds = maxOf(kinds, kind + 1)
        val earlyUntilMillis = nowMillis + expectedMillis / EARLY_DIVISOR
        val run = RunNeighbours(kind, isMeasured, nowMillis, earlyUntilMillis, sums(kind, nowMillis))
        present.add(run)
        return run
    }

    /** Removes a run that has ended; returns whether it was present. */
    fun remove(
        run: RunNeighbours,
        nowMillis: Long,
    ): Boolean {
        update(nowMillis)
        if (!present.remove(run)) return false
        runs[run.kind]--
        run.end(sums(run.kind, nowMillis), nowMillis)
        return true
    }

    /** Whether a run of a kind that matches [predicate] is present. */
    inline fun hasKind(predicate: (Int) -> Boolean): Boolean = (0 until kinds).any { runs[it] > 0 && predicate(it) }

    private fun update(nowMillis: Long) {
        for (run in present) {
            if (run.isEarly && run.earlyUntilMillis <= nowMillis) {
                run.endEarly(sums(run.kind, run.earlyUntilMillis), run.earlyUntilMillis)
            }
        }
        val passedMillis = nowMillis - updatedAtMillis
        for (kind in 0 until kinds) {
            if (runs[kind] >= 1) presentMillis[kind] += passedMillis
            if (runs[kind] >= 2) pairedMillis[kind] += passedMillis
        }
        updatedAtMillis = nowMillis
    }

    /** Time up to [atMillis] during which each kind was beside a run of [ownKind]. */
    private fun sums(
        ownKind: Int,
        atMillis: Long,
    ) = LongArray(kinds) { kind ->
        val sum = if (kind == ownKind) pairedMillis[kind] else presentMillis[kind]
        val isPresent = runs[kind] >= if (kind == ownKind) 2 else 1
        if (isPresent) sum + atMillis - updatedAtMillis else sum
    }

    private companion object {
        /** Part of the expected duration that nearly all runs reach, whatever their actual duration. */
        const val EARLY_DIVISOR = 2
    }
}
