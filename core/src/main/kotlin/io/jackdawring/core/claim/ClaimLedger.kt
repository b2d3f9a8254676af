package io.jackdawring.core.claim

import io.jackdawring.core.EffectEmitter
import io.jackdawring.core.EntryOptions
import io.jackdawring.core.OperationId
import io.jackdawring.core.Owner
import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.session.SubmissionKey

/** Claims the ownership of submissions without a session through the store. */
internal interface ClaimLedger {
    /** Whether the store answered the last call. */
    val storeReachable: Boolean

    /**
     * Claims [key] for this incarnation and calls [onDecided] once with the result.
     *
     * Returns null if the store was called, or the milliseconds after which the rate limit permits another claim.
     */
    fun claim(
        key: SubmissionKey,
        nowMillis: Long,
        onDecided: (ClaimDecision, Long) -> Unit,
    ): Long?

    /** Handles the answer to a store call; returns false if the call is not from this ledger. */
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

/** Result of a claim: who owns the submission. */
internal sealed interface ClaimDecision {
    /** This incarnation owns the submission and has not started it. */
    data object Won : ClaimDecision

    /** Another incarnation owns the submission. */
    data class OwnedBy(
        val owner: Owner,
    ) : ClaimDecision

    /** The store gave no usable answer, so this incarnation must not start the submission now. */
    data object Undecided : ClaimDecision
}
