package io.jackdawring.core.shard

/** Result of a [StartRequest]. */
sealed interface StartResult {
    /** The run exists on the target; [clockMillis] is the target's clock. */
    data class Accepted(
        val clockMillis: Long,
    ) : StartResult

    /** The target did not start the run. */
    data class Rejected(
        val reason: Reason,
        val clockMillis: Long?,
    ) : StartResult

    /** No byte of the request was sent. */
    data class NotSent(
        val detail: String,
    ) : StartResult

    /** The request was sent and not answered; the target may execute it now or later. */
    data class Unknown(
        val detail: String,
    ) : StartResult

    /** Why a target did not start a run. */
    enum class Reason {
        /** A newer holder with a higher fencing token has sent requests. */
        FENCED,

        /** The same or a later attempt was stopped or has ended on the target. */
        OLD_ATTEMPT,

        /** The lease had expired when the request arrived. */
        LATE,

        /** The target lacks free capacity. */
        NO_ROOM,

        /** The target is unhealthy or overloaded. */
        UNHEALTHY,

        /** Another incarnation of the target has this address. */
        OTHER_INCARNATION,

        /** The request is invalid. */
        INVALID,
        ;

        /** Whether the target has decided about this start, and not about the holder or its address. */
        internal val isAboutStart: Boolean get() = this != FENCED && this != OTHER_INCARNATION
    }
}
