package io.jackdawring.core.shard

/**
 * Tells single runs that took far longer than expected from a lasting change.
 *
 * A few tasks in a hundred take several times as long as declared, which says nothing about the target or the queue.
 */
internal class LongRunFilter {
    private var longInRow = 0

    /** Classifies a run that took [ratio] times as long as expected. */
    fun classify(ratio: Double): Verdict {
        longInRow = if (ratio > LONG_RATIO) longInRow + 1 else 0
        return when {
            longInRow == 0 -> Verdict.USUAL
            longInRow < LASTING_RUNS -> Verdict.SINGLE
            else -> Verdict.LASTING
        }
    }

    fun reset() {
        longInRow = 0
    }

    enum class Verdict {
        /** Within the usual spread of durations. */
        USUAL,

        /** A long run among usual ones; it does not count. */
        SINGLE,

        /** The last of several long runs in a row. */
        LASTING,
    }

    private companion object {
        /** Above the usual spread of durations, which is about twofold; below the long tasks, which take seven times. */
        const val LONG_RATIO = 3.0

        /** With 3 long tasks in 100, that many in a row are chance in 27 of a million runs. */
        const val LASTING_RUNS = 3
    }
}
