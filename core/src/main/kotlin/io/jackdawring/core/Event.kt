package io.jackdawring.core

import io.jackdawring.core.membership.PeerMessage

/** An input of [EntryInstance.handle]. */
sealed interface Event {
    /** A caller requests a session. */
    data class OpenSession(
        val requestId: RequestId,
        val callerId: CallerId,
    ) : Event

    /** A caller submits or resubmits a job and waits for its outcome. */
    data class Submit(
        val requestId: RequestId,
        val submission: Submission,
    ) : Event

    /** A caller cancels a submission; the open requests for it get the outcome. */
    data class Cancel(
        val submissionId: SubmissionId,
        val credential: Credential,
    ) : Event

    /** The connection of an open request closed; its job continues so that a resubmission can attach to it. */
    data class CallerDisconnected(
        val requestId: RequestId,
    ) : Event

    /** A target answered a start, or the start failed. */
    data class TaskAnswered(
        val attemptId: AttemptId,
        val answer: TargetAnswer,
    ) : Event

    /** A message from another entry instance arrived. */
    data class PeerMessageReceived(
        val message: PeerMessage,
    ) : Event

    /** A message to another entry instance was not acknowledged; it may have arrived. */
    data class PeerSendFailed(
        val peerAddress: String,
        val message: PeerMessage,
    ) : Event

    /** A message to another entry instance was acknowledged by its process. */
    data class PeerSendAcknowledged(
        val peerAddress: String,
        val message: PeerMessage,
    ) : Event

    /** The store answered a call, or the call failed. */
    data class StoreAnswered(
        val operationId: OperationId,
        val answer: StoreAnswer,
    ) : Event

    /** The platform's instance list changed; its entries may be stale. */
    data class InstancesListed(
        val list: InstanceList,
    ) : Event

    /** The time of [EntryInstance.nextTimerMillis] has come; early or repeated delivery is harmless. */
    data object TimerFired : Event

    /** The operator requested a graceful shutdown. */
    data object ShutdownRequested : Event
}
