package io.jackdawring.core.shard

/** Whether a waiting job can still meet its latency objective; tasks are placed in the order of these values. */
internal enum class Timeliness {
    /** All tasks can end within the objective. */
    ON_TIME,

    /** The job misses its objective, but can end within [LATE_FACTOR] times the objective. */
    LATE,

    /** The result will be of little use to the caller. */
    OVERDUE,
    ;

    companion object {
        /** Multiple of the objective after which a result is worth little, per the platform's documentation. */
        const val LATE_FACTOR = 3
    }
}
