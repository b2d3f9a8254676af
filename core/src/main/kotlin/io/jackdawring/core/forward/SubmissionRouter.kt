package io.jackdawring.core.forward

import io.jackdawring.core.Credential
import io.jackdawring.core.EffectEmitter
import io.jackdawring.core.EntryOptions
import io.jackdawring.core.Outcome
import io.jackdawring.core.Owner
import io.jackdawring.core.RefusalReason
import io.jackdawring.core.ReplyTo
import io.jackdawring.core.Submission
import io.jackdawring.core.SubmissionId
import io.jackdawring.core.UnknownReason
import io.jackdawring.core.claim.ClaimDecision
import io.jackdawring.core.claim.ClaimLedger
import io.jackdawring.core.claim.uuidV7UnixMillis
import io.jackdawring.core.job.JobAdmission
import io.jackdawring.core.job.JobRunner
import io.jackdawring.core.membership.Membership
import io.jackdawring.core.membership.PeerMessage
import io.jackdawring.core.session.HandedOverRecords
import io.jackdawring.core.session.RecordState
import io.jackdawring.core.session.SessionTable
import io.jackdawring.core.session.SubmissionKey
import io.jackdawring.core.session.SubmissionRecord
import java.util.TreeSet

/** Decides whether this incarnation owns a submission, and runs, attaches, forwards or refuses it accordingly. */
internal class SubmissionRouter(
    private val options: EntryOptions,
    private val emitter: EffectEmitter,
    private val sessions: SessionTable,
    private val handedOver: HandedOverRecords,
    private val claims: ClaimLedger,
    private val forwarder: Forwarder,
    private val membership: Membership,
    private val admission: JobAdmission,
    private val runner: JobRunner,
) {
    private val self = options.self
    private val pendingClaims =
        TreeSet<PendingClaim>(compareBy({ it.deadlineAtMillis }, { it.record.key.scope }, { it.record.key.id.value }))

    /** Number of submissions whose ownership the store has not decided yet. */
    val pendingClaimCount: Int get() = pendingClaims.size

    /** Handles a submission that a caller sent to this instance. */
    fun submit(
        submission: Submission,
        replyTo: ReplyTo.Caller,
        nowMillis: Long,
    ) {
        when (val credential = submission.credential) {
            is Credential.Session -> submitInSession(credential.claims.owner, submission, replyTo, nowMillis)
            is Credential.IdempotencyKey -> submitWithKey(submission, replyTo, nowMillis)
        }
    }

    /** Handles a submission that another entry instance forwarded; it is never forwarded again. */
    fun submitForwarded(
        message: PeerMessage.ForwardSubmission,
        nowMillis: Long,
    ) {
        val submission = message.toSubmission()
        val replyTo = ReplyTo.Peer(message.sender, message.correlation)
        val credential = submission.credential
        val isOwned = credential !is Credential.Session || credential.claims.owner == self
        if (isOwned && !isHandedOver(submission)) {
            submitOwned(submission, replyTo, nowMillis)
        } else {
            emitter.reply(replyTo, handedOver.outcome(submission.key, submission.fingerprint, nowMillis))
        }
    }

    /** Cancels a submission here or at its owner. */
    fun cancel(
        id: SubmissionId,
        credential: Credential,
        nowMillis: Long,
    ) {
        val state = sessions.find(SubmissionKey(credential.scope, id))?.state
        if (state is RecordState.Running) {
            runner.cancel(state.job, nowMillis)
        } else if (credential is Credential.Session) {
            val owner = credential.claims.owner
            if (owner != self && membership.isReachable(owner)) {
                emitter.send(owner, PeerMessage.ForwardCancel(self, id, credential))
            }
        }
    }

    /** Cancels a submission for another entry instance; it is never forwarded again. */
    fun cancelForwarded(
        message: PeerMessage.ForwardCancel,
        nowMillis: Long,
    ) {
        val state = sessions.find(SubmissionKey(message.credential.scope, message.id))?.state
        if (state is RecordState.Running) runner.cancel(state.job, nowMillis)
    }

    private fun submitInSession(
        owner: Owner,
        submission: Submission,
        replyTo: ReplyTo.Caller,
        nowMillis: Long,
    ) = if (owner == self) {
        submitOwned(submission, replyTo, nowMillis)
    } else {
        route(owner, submission, replyTo, nowMillis)
    }

    // A peer forwards a key whose claim in the store names this incarnation or one that handed over its records to it.
    private fun isHandedOver(submission: Submission): Boolean =
        submission.credential is Credential.IdempotencyKey &&
            sessions.find(submission.key) == null &&
            handedOver.contains(submission.key)

    private fun submitOwned(
        submission: Submission,
        replyTo: ReplyTo,
        nowMillis: Long,
    ) {
        val record = sessions.find(submission.key)
        when {
            record != null -> attach(record, submission, replyTo)
            !sessions.isOpen(submission.credential, nowMillis) ->
                emitter.reply(replyTo, Outcome.Unknown(UnknownReason.SESSION_ENDED))
            else -> {
                val rejection = checkKeyAge(submission, nowMillis)
                if (rejection == null) admit(submission, replyTo, nowMillis) else emitter.reply(replyTo, rejection)
            }
        }
    }

    private fun attach(
        record: SubmissionRecord,
        submission: Submission,
        replyTo: ReplyTo,
    ) {
        if (record.fingerprint != submission.fingerprint) {
            return emitter.reply(replyTo, Outcome.Refused(RefusalReason.FINGERPRINT_MISMATCH, null))
        }
        when (val state = record.state) {
            RecordState.Claiming, is RecordState.Running -> {
                record.onlyAttempt = record.onlyAttempt && submission.firstAttempt
                record.addWaiter(replyTo)
            }
            is RecordState.Finished -> emitter.reply(replyTo, state.outcome)
            RecordState.Discarded -> emitter.reply(replyTo, Outcome.Unknown(UnknownReason.ANSWER_DISCARDED))
        }
    }

    private fun admit(
        submission: Submission,
        replyTo: ReplyTo,
        nowMillis: Long,
    ) {
        val refusal = admission.check(submission)
        if (refusal != null) return emitter.reply(replyTo, refusal)
        val record = sessions.create(submission.key, submission.fingerprint, nowMillis)
        if (record == null) return emitter.reply(replyTo, RECORDS_EXHAUSTED)
        record.addWaiter(replyTo)
        run(record, submission, nowMillis + submission.deadlineMillis)
    }

    private fun run(
        record: SubmissionRecord,
        submission: Submission,
        deadlineAtMillis: Long,
    ) {
        val kind =
            checkNotNull(admission.kind(submission)) { "${submission.service}/${submission.kind} is not configured" }
        runner.start(record, submission, kind.service, kind.kind, deadlineAtMillis)
    }

    private fun route(
        owner: Owner,
        submission: Submission,
        replyTo: ReplyTo.Caller,
        nowMillis: Long,
    ) {
        // An owner that named a successor has handed over all records and may shut down before it is suspected.
        val destination = membership.successorOf(owner) ?: owner.takeIf { membership.isReachable(it) }
        when {
            destination == null -> emitter.reply(replyTo, OWNER_UNREACHABLE)
            destination == self ->
                emitter.reply(
                    replyTo,
                    handedOver.outcome(submission.key, submission.fingerprint, nowMillis),
                )
            !membership.isKnownAddress(destination.peerAddress) -> emitter.reply(replyTo, OWNER_UNREACHABLE)
            else -> forwarder.forward(destination, submission, replyTo.requestId, nowMillis)
        }
    }

    private fun submitWithKey(
        submission: Submission,
        replyTo: ReplyTo.Caller,
        nowMillis: Long,
    ) {
        val record = sessions.find(submission.key)
        if (record != null) return attach(record, submission, replyTo)
        if (handedOver.contains(submission.key)) {
            return emitter.reply(replyTo, handedOver.outcome(submission.key, submission.fingerprint, nowMillis))
        }
        val rejection = checkKeyAge(submission, nowMillis) ?: refusalBeforeClaim(submission)
        if (rejection != null) return emitter.reply(replyTo, rejection)
        claim(submission, replyTo, nowMillis)
    }

    /**
     * Returns why the age of the key forbids a start without a session, whatever the store answers, or null.
     *
     * The record of a start is kept only until the key is too old, so every start must be preceded by this check.
     */
    private fun checkKeyAge(
        submission: Submission,
        nowMillis: Long,
    ): Outcome? {
        if (submission.credential is Credential.Session) return null
        val issuedAt = uuidV7UnixMillis(submission.id.value) ?: return NOT_A_UUID_V7
        val ageMillis = nowMillis + options.wallClockOffsetMillis - issuedAt
        return when {
            ageMillis > options.claimMaxKeyAgeMillis -> Outcome.Unknown(UnknownReason.KEY_EXPIRED)
            ageMillis < -options.claimClockSkewMillis ->
                Outcome.Refused(RefusalReason.INVALID, null, "the time in the Idempotency-Key is in the future")
            else -> null
        }
    }

    private fun refusalBeforeClaim(submission: Submission): Outcome? =
        admission.check(submission)?.let { refusedOrUnknown(submission.firstAttempt, it) }

    private fun claim(
        submission: Submission,
        replyTo: ReplyTo.Caller,
        nowMillis: Long,
    ) {
        val record = sessions.create(submission.key, submission.fingerprint, nowMillis)
        if (record == null) return emitter.reply(replyTo, refusedOrUnknown(submission.firstAttempt, RECORDS_EXHAUSTED))
        record.onlyAttempt = submission.firstAttempt
        record.addWaiter(replyTo)
        val claim = PendingClaim(record, submission, nowMillis + submission.deadlineMillis)
        val rateLimitMillis =
            claims.claim(record.key, nowMillis) { decision, decidedAtMillis ->
                if (pendingClaims.remove(claim)) onClaimDecided(claim, decision, decidedAtMillis)
            }
        if (rateLimitMillis == null) {
            pendingClaims.add(claim)
        } else {
            val refusal = Outcome.Refused(RefusalReason.CLAIM_RATE_LIMITED, rateLimitMillis)
            discard(record, refusedOrUnknown(record.onlyAttempt, refusal))
        }
    }

    private fun onClaimDecided(
        claim: PendingClaim,
        decision: ClaimDecision,
        nowMillis: Long,
    ) {
        val record = claim.record
        val submission = claim.submission
        when (decision) {
            ClaimDecision.Won -> {
                // The answer may have taken so long that an earlier claim has expired, which the age of the key shows.
                // If the key is young enough, this is the first claim, so nothing has run and a refusal is safe.
                val refusal = checkKeyAge(submission, nowMillis) ?: admission.check(submission)
                if (refusal == null) run(record, submission, claim.deadlineAtMillis) else discard(record, refusal)
            }
            is ClaimDecision.OwnedBy -> {
                sessions.remove(record)
                record.takeWaiters().forEach { routeWaiter(it, decision.owner, submission, nowMillis) }
            }
            ClaimDecision.Undecided -> discard(record, refusedOrUnknown(record.onlyAttempt, STORE_UNAVAILABLE))
        }
    }

    fun nextTimerMillis(): Long? = if (pendingClaims.isEmpty()) null else pendingClaims.first().deadlineAtMillis

    /** Answers submissions whose deadline passed before the store decided; their claims no longer start anything. */
    fun onTimer(nowMillis: Long) {
        while (pendingClaims.isNotEmpty() && pendingClaims.first().deadlineAtMillis <= nowMillis) {
            val claim = pendingClaims.first()
            pendingClaims.remove(claim)
            discard(claim.record, refusedOrUnknown(claim.record.onlyAttempt, STORE_UNAVAILABLE))
        }
    }

    private fun routeWaiter(
        waiter: ReplyTo,
        owner: Owner,
        submission: Submission,
        nowMillis: Long,
    ) = when (waiter) {
        is ReplyTo.Caller -> route(owner, submission, waiter, nowMillis)
        is ReplyTo.Peer -> emitter.reply(waiter, OWNER_UNREACHABLE)
    }

    private fun discard(
        record: SubmissionRecord,
        outcome: Outcome,
    ) {
        sessions.remove(record)
        record.takeWaiters().forEach { emitter.reply(it, outcome) }
    }

    // Without a session, an earlier attempt may have run through another instance. Only if the caller states that this
    // is its first attempt may the outcome be that nothing ran.
    private fun refusedOrUnknown(
        onlyAttempt: Boolean,
        refusal: Outcome.Refused,
    ): Outcome =
        if (onlyAttempt) {
            refusal
        } else {
            Outcome.Unknown(
                UnknownReason.CLAIM_UNDECIDED,
                refusal.retryAfterMillis,
            )
        }

    private val Submission.key get() = SubmissionKey(credential.scope, id)

    private class PendingClaim(
        val record: SubmissionRecord,
        val submission: Submission,
        val deadlineAtMillis: Long,
    )

    private companion object {
        val NOT_A_UUID_V7 =
            Outcome.Refused(RefusalReason.INVALID, null, "without a session the Idempotency-Key must be a UUIDv7")
        val STORE_UNAVAILABLE = Outcome.Refused(RefusalReason.STORE_UNAVAILABLE, retryAfterMillis = 1_000)
        val OWNER_UNREACHABLE = Outcome.Unknown(UnknownReason.OWNER_UNREACHABLE, retryAfterMillis = 1_000)
        val RECORDS_EXHAUSTED =
            Outcome.Refused(RefusalReason.OVERLOADED, 1_000, "the bound on kept records is reached")
    }
}
