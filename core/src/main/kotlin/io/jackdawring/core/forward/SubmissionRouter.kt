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

/** Decides for each submission whether this incarnation owns it, and runs, attaches, forwards or refuses it. */
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

    /** Submissions that wait for the store's decision. */
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

    // A forwarder reads in the store that a key is claimed by this incarnation, or by one that handed over to it.
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
                val rejection = rejectionByAge(submission, nowMillis)
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
        val kind = checkNotNull(admission.kind(submission)) { "${submission.service}/${submission.kind} was admitted" }
        runner.start(record, submission, kind.service, kind.kind, deadlineAtMillis)
    }

    private fun route(
        owner: Owner,
        submission: Submission,
        replyTo: ReplyTo.Caller,
        nowMillis: Long,
    ) {
        // An owner that named a successor has handed over all records and may end before it becomes suspect.
        val holder = membership.successorOf(owner) ?: owner.takeIf { membership.isReachable(it) }
        when {
            holder == null -> emitter.reply(replyTo, OWNER_UNREACHABLE)
            holder == self ->
                emitter.reply(
                    replyTo,
                    handedOver.outcome(submission.key, submission.fingerprint, nowMillis),
                )
            !membership.isKnownAddress(holder.peerAddress) -> emitter.reply(replyTo, OWNER_UNREACHABLE)
            else -> forwarder.forward(holder, submission, replyTo.requestId, nowMillis)
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
        val rejection = rejectionByAge(submission, nowMillis) ?: refusalBeforeClaim(submission)
        if (rejection != null) return emitter.reply(replyTo, rejection)
        claim(submission, replyTo, nowMillis)
    }

    /**
     * Why a submission without a session must not be started at this time, whatever the store says.
     *
     * The record of a start is kept until the key is too old, so every start must be preceded by this check.
     */
    private fun rejectionByAge(
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
        val limitedMillis =
            claims.claim(record.key, nowMillis) { decision, decidedAtMillis ->
                if (pendingClaims.remove(claim)) onClaimDecided(claim, decision, decidedAtMillis)
            }
        if (limitedMillis == null) {
            pendingClaims.add(claim)
        } else {
            val refusal = Outcome.Refused(RefusalReason.CLAIM_RATE_LIMITED, limitedMillis)
            forget(record, refusedOrUnknown(record.onlyAttempt, refusal))
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
                // The reply may have taken so long that a claim before this one has ended; the age tells. With a young
                // key this is the first claim, so a refusal is certain.
                val refusal = rejectionByAge(submission, nowMillis) ?: admission.check(submission)
                if (refusal == null) run(record, submission, claim.deadlineAtMillis) else forget(record, refusal)
            }
            is ClaimDecision.OwnedBy -> {
                sessions.remove(record)
                record.takeWaiters().forEach { routeWaiter(it, decision.owner, submission, nowMillis) }
            }
            ClaimDecision.Undecided -> forget(record, refusedOrUnknown(record.onlyAttempt, STORE_UNAVAILABLE))
        }
    }

    fun nextTimerMillis(): Long? = if (pendingClaims.isEmpty()) null else pendingClaims.first().deadlineAtMillis

    /** Answers submissions whose deadline passed before the store decided; their claims start nothing any more. */
    fun onTimer(nowMillis: Long) {
        while (pendingClaims.isNotEmpty() && pendingClaims.first().deadlineAtMillis <= nowMillis) {
            val claim = pendingClaims.first()
            pendingClaims.remove(claim)
            forget(claim.record, refusedOrUnknown(claim.record.onlyAttempt, STORE_UNAVAILABLE))
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

    private fun forget(
        record: SubmissionRecord,
        outcome: Outcome,
    ) {
        sessions.remove(record)
        record.takeWaiters().forEach { emitter.reply(it, outcome) }
    }

    // Without a session an earlier attempt may have run through another instance. Only the caller's statement that
    // there was none allows "not run".
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
        val RECORDS_EXHAUSTED = Outcome.Refused(RefusalReason.OVERLOADED, 1_000, "the bound on kept records is reached")
    }
}
