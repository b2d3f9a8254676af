package io.jackdawring.core

/** Recipient of the outcome of a submission. */
internal sealed interface ReplyTo {
    /** An open request at this instance. */
    data class Caller(
        val requestId: RequestId,
    ) : ReplyTo

    /** An entry instance that forwarded the request. */
    data class Peer(
        val sender: Owner,
        val correlation: Long,
    ) : ReplyTo
}
