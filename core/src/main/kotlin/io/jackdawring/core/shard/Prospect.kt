package io.jackdawring.core.shard

/** What a waiting job can still reach; in this order jobs are served. */
internal enum class Prospect {
    /** All tasks can end within the objective. */
    IN_TIME,

    /** The job misses its objective, but can end within [LATE_FACTOR] times the objective. */
    LATE,

    /** The job is of little use to its caller when it ends. */
    OVERDUE,
    ;

    companion object {
        /** Times the objective after which the result of a job is worth little; the platform's pages state it. */
        const val LATE_FACTOR = 3
    }
}
