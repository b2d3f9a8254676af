package io.jackdawring.core.claim

import io.jackdawring.core.EffectEmitter
import io.jackdawring.core.EntryOptions
import io.jackdawring.core.OperationId
import io.jackdawring.core.Owner
import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.StoreCall
import io.jackdawring.core.session.SubmissionKey
import io.jackdawring.core.sha256Hex
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

internal class RealClaimLedger(
    private val options: EntryOptions,
    private val emitter: EffectEmitter,
) : ClaimLedger {
    private val self = options.self
    private val calls = HashMap<OperationId, PendingClaim>()
    private val rate = TokenBucket(options.claimRatePerSecond)

    override var storeReachable: Boolean = true
        private set

    override fun claim(
        key: SubmissionKey,
        nowMillis: Long,
        onDecided: (ClaimDecision, Long) -> Unit,
    ): Long? {
        if (!rate.tryTake(nowMillis)) return rate.millisToNext(nowMillis)
        val storeKey = claimKey(key)
        val call =
            StoreCall.CompareAndSwap(
                key = storeKey,
                value = Json.encodeToString(Owner.serializer(), self),
                expectedRevision = 0,
                leaseMillis = leaseMillis,
            )
        calls[emitter.callStore(call)] = PendingClaim(storeKey, onDecided)
        return null
    }

    override fun onStoreAnswered(
        operationId: OperationId,
        answer: StoreAnswer,
        nowMillis: Long,
    ): Boolean {
        val claim = calls.remove(operationId) ?: return false
        storeReachable = answer !is StoreAnswer.Unavailable
        when (answer) {
            is StoreAnswer.Written -> claim.decide(ClaimDecision.Won, nowMillis)
            is StoreAnswer.Conflict -> claim.decide(decisionOf(answer.value), nowMillis)
            is StoreAnswer.Found -> claim.decide(decisionOf(answer.value), nowMillis)
            is StoreAnswer.Unavailable -> readBackOrGiveUp(claim, answer, nowMillis)
        }
        return true
    }

    // The write may have been applied although its reply was lost, so the key is read once before giving up.
    private fun readBackOrGiveUp(
        claim: PendingClaim,
        answer: StoreAnswer.Unavailable,
        nowMillis: Long,
    ) {
        if (claim.readBack || !answer.mayHaveApplied) {
            claim.decide(ClaimDecision.Undecided, nowMillis)
        } else {
            claim.readBack = true
            calls[emitter.callStore(StoreCall.Get(claim.storeKey))] = claim
        }
    }

    private fun decisionOf(value: String?): ClaimDecision {
        if (value == null) return ClaimDecision.Undecided
        val owner =
            try {
                Json.decodeFromString(Owner.serializer(), value)
            } catch (_: SerializationException) {
                return ClaimDecision.Undecided
            }
        return if (owner == self) ClaimDecision.Won else ClaimDecision.OwnedBy(owner)
    }

    // Each entry instance checks the maximum key age by its own clock, which may differ by the permitted skew from the
    // clocks of other instances and of the caller, so the claim must outlive the maximum age by twice the skew.
    private val leaseMillis get() = options.claimMaxKeyAgeMillis + 2 * options.claimClockSkewMillis

    private fun claimKey(key: SubmissionKey): String =
        CLAIM_PREFIX + sha256Hex("${key.scope}/${key.id.value}").take(CLAIM_KEY_CHARS)

    private class PendingClaim(
        val storeKey: String,
        val decide: (ClaimDecision, Long) -> Unit,
    ) {
        var readBack = false
    }

    companion object {
        val Factory = ClaimLedger.Factory { options, emitter -> RealClaimLedger(options, emitter) }
        private const val CLAIM_PREFIX = "claims/"
        private const val CLAIM_KEY_CHARS = 32
    }
}
