package io.jackdawring.core.session

import io.jackdawring.core.CallerId
import io.jackdawring.core.Credential
import io.jackdawring.core.EntryOptions
import io.jackdawring.core.Outcome
import io.jackdawring.core.Owner
import io.jackdawring.core.SessionClaims
import io.jackdawring.core.SessionId
import io.jackdawring.core.membership.HandedOverRecord
import io.jackdawring.core.sessionScope

internal class RealSessionTable(
    private val options: EntryOptions,
    private val self: Owner,
) : SessionTable {
    private val sessions = HashMap<String, Session>()

    // All sessions have the same lifetime, so they expire in the order in which they were opened.
    private val sessionsByExpiry = ArrayDeque<Session>()
    private val keyRecords = HashMap<SubmissionKey, SubmissionRecord>()
    private val keyRecordsByExpiry = ArrayDeque<KeyRecordExpiry>()
    private val answers = AnswerRetention(options.answerRetentionMillis, options.answerRetentionBytes)
    private var lastSession = 0L
    private var sessionRecordCount = 0

    override val sessionCount: Int get() = sessions.size
    override val recordCount: Int get() = sessionRecordCount + keyRecords.size

    override fun open(
        callerId: CallerId,
        nowMillis: Long,
    ): SessionClaims? {
        if (sessions.size >= options.maxSessions) return null
        val id = SessionId((++lastSession).toString(SESSION_ID_RADIX))
        val claims = SessionClaims(id, callerId, self)
        val session = Session(id, nowMillis + options.sessionLifetimeMillis)
        sessions[Credential.Session(claims).scope] = session
        sessionsByExpiry.addLast(session)
        return claims
    }

    override fun isOpen(
        credential: Credential,
        nowMillis: Long,
    ): Boolean =
        when (credential) {
            is Credential.IdempotencyKey -> true
            is Credential.Session -> sessions[credential.scope]?.let { nowMillis < it.expiresAtMillis } ?: false
        }

    override fun find(key: SubmissionKey): SubmissionRecord? =
        sessions[key.scope]?.records?.get(key.id) ?: keyRecords[key]

    override fun create(
        key: SubmissionKey,
        fingerprint: String,
        nowMillis: Long,
    ): SubmissionRecord? {
        if (recordCount >= options.maxRecords) return null
        val record = SubmissionRecord(key, fingerprint)
        val session = sessions[key.scope]
        if (session == null) {
            keyRecords[key] = record
            keyRecordsByExpiry.addLast(KeyRecordExpiry(record, nowMillis + keyRecordLifetimeMillis))
        } else {
            if (session.records.size >= options.maxSubmissionsPerSession) return null
            session.records[key.id] = record
            sessionRecordCount++
        }
        return record
    }

    override fun finish(
        record: SubmissionRecord,
        outcome: Outcome,
        nowMillis: Long,
    ) {
        record.state = RecordState.Finished(outcome)
        answers.retain(record, outcome, nowMillis)
    }

    override fun remove(record: SubmissionRecord) {
        val session = sessions[record.key.scope]
        if (session != null) {
            if (session.records.remove(record.key.id, record)) sessionRecordCount--
        } else {
            keyRecords.remove(record.key, record)
        }
    }

    override fun nextTimerMillis(): Long? {
        val firstMillis =
            minOf(
                sessionsByExpiry.firstOrNull()?.expiresAtMillis ?: Long.MAX_VALUE,
                keyRecordsByExpiry.firstOrNull()?.expiresAtMillis ?: Long.MAX_VALUE,
                answers.nextExpiryMillis() ?: Long.MAX_VALUE,
            )
        return if (firstMillis == Long.MAX_VALUE) null else firstMillis + CLEAN_UP_DELAY_MILLIS
    }

    override fun onTimer(nowMillis: Long) {
        answers.discardExpired(nowMillis)
        while (sessionsByExpiry.isNotEmpty() && sessionsByExpiry.first().expiresAtMillis <= nowMillis) {
            end(sessionsByExpiry.removeFirst())
        }
        while (keyRecordsByExpiry.isNotEmpty() && keyRecordsByExpiry.first().expiresAtMillis <= nowMillis) {
            val record = keyRecordsByExpiry.removeFirst().record
            keyRecords.remove(record.key, record)
        }
    }

    override fun finishedRecords(nowMillis: Long): List<HandedOverRecord> {
        val fromSessions = sessions.values.flatMap { it.handedOver(it.expiresAtMillis - nowMillis) }
        val fromKeys =
            keyRecordsByExpiry.mapNotNull { expiry ->
                expiry.record.takeIf { keyRecords[it.key] === it }?.handedOver(expiry.expiresAtMillis - nowMillis)
            }
        return fromSessions + fromKeys
    }

    override fun openScopes(nowMillis: Long): Map<String, Long> =
        sessions.mapValues { (_, session) -> session.expiresAtMillis - nowMillis }.filterValues { it > 0 }

    private fun end(session: Session) {
        sessions.remove(sessionScope(self, session.id))
        sessionRecordCount -= session.records.size
    }

    private fun Session.handedOver(keepMillis: Long): List<HandedOverRecord> =
        if (keepMillis <= 0) emptyList() else records.values.mapNotNull { it.handedOver(keepMillis) }

    private fun SubmissionRecord.handedOver(keepMillis: Long): HandedOverRecord? {
        val outcome =
            when (val current = state) {
                is RecordState.Finished -> current.outcome
                RecordState.Discarded -> null
                RecordState.Claiming, is RecordState.Running -> return null
            }
        return HandedOverRecord(key.scope, key.id, fingerprint, outcome, keepMillis)
    }

    // Keys above the maximum age are rejected, so their records are not needed any longer.
    private val keyRecordLifetimeMillis get() = options.claimMaxKeyAgeMillis + 2 * options.claimClockSkewMillis

    private class KeyRecordExpiry(
        val record: SubmissionRecord,
        val expiresAtMillis: Long,
    )

    companion object {
        val Factory = SessionTable.Factory { options, self -> RealSessionTable(options, self) }
        private const val SESSION_ID_RADIX = 36

        // Cleans up in batches; a timer per answer would fire thousands of times a second under peak load.
        private const val CLEAN_UP_DELAY_MILLIS = 1_000L
    }
}
