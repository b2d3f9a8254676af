package io.jackdawring.core

/** Why a request was not run; [temporary] tells whether the same request can succeed later. */
enum class RefusalReason(
    val temporary: Boolean,
) {
    /** The request is malformed or outside the documented limits. */
    INVALID(false),

    /** The submission id was used before with another body; this body was not run. */
    FINGERPRINT_MISMATCH(false),

    /** The configuration has no such service or kind. */
    UNKNOWN_SERVICE(false),

    /** No target is large enough for a task. */
    CAN_NEVER_RUN(false),

    /** The team has reached its quota of queued tasks. */
    QUOTA_EXCEEDED(true),

    /** A limit on queued tasks, records or sessions is reached, or a task was not started within its retries. */
    OVERLOADED(true),

    /** The estimated wait plus run time exceeds the deadline, or the deadline passed before any task started. */
    DEADLINE_UNREACHABLE(true),

    /** No target of the service is known to be usable. */
    NO_TARGETS(true),

    /** The instance is shutting down; another instance can take the request at once. */
    DRAINING(true),

    /** The owner of the session has shut down without seeing this submission; a new session is needed. */
    SESSION_CLOSED(true),

    /** The instance has no configuration yet. */
    NOT_READY(true),

    /** The store is unreachable, so the idempotency key cannot be claimed. */
    STORE_UNAVAILABLE(true),

    /** The instance's share of the store's write rate is used up. */
    CLAIM_RATE_LIMITED(true),
}
