package io.jackdawring.core

/** Why an instance cannot tell whether a submission ran. */
enum class UnknownReason {
    /** The owner of the submission has crashed, is paused or cannot be reached over the network. */
    OWNER_UNREACHABLE,

    /** The session has ended or belongs to an earlier incarnation. */
    SESSION_ENDED,

    /** The submission ran, but its answer is no longer retained. */
    ANSWER_DISCARDED,

    /** The idempotency key is older than the retention time of claims. */
    KEY_EXPIRED,

    /** The store did not tell which instance owns the idempotency key. */
    CLAIM_UNDECIDED,
}
