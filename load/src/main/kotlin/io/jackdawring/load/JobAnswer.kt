package io.jackdawring.load

/** Result of one request from the caller's point of view. */
enum class JobAnswer {
    /** Every task succeeded and each result belongs to its own task. */
    COMPLETE,

    /** The job failed. */
    FAILED,

    /** The job was not run. */
    REFUSED,

    /** The entry instance cannot tell whether the job ran. */
    UNKNOWN,

    /** No byte of the request was sent. */
    NOT_SENT,

    /** The connection closed or the request timed out before a complete answer arrived. */
    NO_ANSWER,

    /** The answer does not follow the protocol, is partial, or has a result of another task. */
    WRONG,
}
