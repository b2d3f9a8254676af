package io.jackdawring.core.shard

/** What a holder knows about the runs that previous holders of its shard started. */
enum class PreviousRuns {
    /** Some may go on, on targets that have not listed their runs or that this holder does not know. */
    UNCERTAIN,

    /** Every target that may have some has listed its runs. */
    LISTED,

    /** Those that are not listed are over, because their leases have ended. */
    LEASES_ENDED,
}
