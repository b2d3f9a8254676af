package io.jackdawring.core.claim

import io.jackdawring.core.EffectEmitter
import io.jackdawring.core.EntryOptions
import io.jackdawring.core.OperationId
import io.jackdawring.core.Owner
import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.session.SubmissionKey

/** Decides through the store who owns a submission without a session. */
internal interface ClaimLedger {
    /** Whether the last call to the store was answered. */
    val storeReachable: Boolean

    /**
     * Claims [key] for this incarnation and later calls [onDecided] once.
     *
     * Returns null if the call was sent, or the time in milliseconds after which the rate limit allows another one.
     */
    fun claim(
        key: SubmissionKey,
        nowMillis: Long,
        onDecided: (ClaimDecision, Long) -> Unit,
    ): Long?

    /** Handles the answer to a call of this ledger; returns false if the call was not its own. */
    fun onStoreAnswered(
        operationId: OperationId,
        answer: StoreAnswer,
        nowMillis: Long,
    ): Boolean

    /** Creates claim ledgers. */
    fun interface Factory {
        fun create(
            options: EntryOptions,
            emitter: EffectEmitter,
        ): ClaimLedger
    }
}

/** Who owns a claimed submission. */
internal sealed interface ClaimDecision {
    /** This incarnation owns it and has not started it. */
    data object Won : ClaimDecision

    /** Another incarnation owns it. */
    data class OwnedBy(
        val owner: Owner,
    ) : ClaimDecision

    /** The store did not say; this incarnation must not start it now. */
    data object Undecided : ClaimDecision
}
