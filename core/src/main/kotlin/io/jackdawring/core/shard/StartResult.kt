package io.jackdawring.core.shard

/** What became of a [StartRequest]. */
sealed interface StartResult {
    /** The run is there; [clockMillis] is the target's clock. */
    data class Accepted(
        val clockMillis: Long,
    ) : StartResult

    /** The target did not start the run. */
    data class Rejected(
        val reason: Reason,
        val clockMillis: Long?,
    ) : StartResult

    /** No byte of the order was sent. */
    data class NotSent(
        val detail: String,
    ) : StartResult

    /** The order was sent and not answered; the target may carry it out now or later. */
    data class Unknown(
        val detail: String,
    ) : StartResult

    /** Why a target did not start a run. */
    enum class Reason {
        /** A newer holder has given orders. */
        FENCED,

        /** The same or a later attempt was stopped or has ended there. */
        OLD_ATTEMPT,

        /** The lease was over when the order arrived. */
        LATE,

        /** Not enough capacity. */
        NO_ROOM,

        /** The target is unhealthy or overloaded. */
        UNHEALTHY,

        /** Another incarnation of the target has this address. */
        OTHER_INCARNATION,

        /** The order is invalid. */
        INVALID,
    }
}
