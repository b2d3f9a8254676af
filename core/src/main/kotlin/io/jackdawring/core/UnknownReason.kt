package io.jackdawring.core

/** Why an instance cannot tell whether a submission ran. */
enum class UnknownReason {
    /** The owner of the submission is dead, paused or cut off. */
    OWNER_UNREACHABLE,

    /** The session has ended or belongs to an earlier incarnation. */
    SESSION_ENDED,

    /** The submission ran, but its answer is no longer kept. */
    ANSWER_DISCARDED,

    /** The idempotency key is older than claims are kept. */
    KEY_EXPIRED,

    /** The store did not say who owns the idempotency key. */
    CLAIM_UNDECIDED,
}
