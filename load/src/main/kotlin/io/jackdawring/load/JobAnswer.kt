package io.jackdawring.load

/** What became of one request, as its caller sees it. */
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

    /** The connection closed, or the time ran out, before a whole answer arrived. */
    NO_ANSWER,

    /** The answer does not follow the protocol, is partial, or has a result of another task. */
    WRONG,
}
