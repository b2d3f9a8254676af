package io.jackdawring.core

import io.jackdawring.core.membership.PeerMessage

/** An action that the driver of an [EntryInstance] performs. */
sealed interface Effect {
    /** Answer [Event.OpenSession] with a signed token of [claims]. */
    data class GrantSession(
        val requestId: RequestId,
        val claims: SessionClaims,
        val expiresInMillis: Long,
    ) : Effect

    /** Answer an open request with its final [outcome]. */
    data class Answer(
        val requestId: RequestId,
        val outcome: Outcome,
    ) : Effect

    /** Send one task to a target; exactly one [Event.TaskAnswered] must follow. */
    data class StartTask(
        val attemptId: AttemptId,
        val targetId: TargetId,
        val targetAddress: String,
        val task: TaskReference,
        val service: String,
        val kind: String,
        val payload: Payload,
        val remainingMillis: Long,
    ) : Effect

    /** Close the connection of a running attempt; [Event.TaskAnswered] may or may not follow. */
    data class CancelTask(
        val attemptId: AttemptId,
    ) : Effect

    /** Send a one-way message; [Event.PeerSendAcknowledged] or, within 1 s, [Event.PeerSendFailed] must follow. */
    data class SendToPeer(
        val peerAddress: String,
        val message: PeerMessage,
    ) : Effect

    /** Call the platform's store; exactly one [Event.StoreAnswered] must follow. */
    data class CallStore(
        val operationId: OperationId,
        val call: StoreCall,
    ) : Effect

    /** Log [change] and count it in the metrics. */
    data class ReportChange(
        val change: StateChange,
    ) : Effect

    /** The graceful shutdown is complete; the process exits once every open request is answered. */
    data object CompleteShutdown : Effect
}
