package io.jackdawring.core.session

import io.jackdawring.core.CallerId
import io.jackdawring.core.Credential
import io.jackdawring.core.EntryOptions
import io.jackdawring.core.Outcome
import io.jackdawring.core.Owner
import io.jackdawring.core.SessionClaims
import io.jackdawring.core.membership.HandedOverRecord

/** Holds the sessions of this incarnation and the records of all submissions that it owns, within fixed bounds. */
internal interface SessionTable {
    val sessionCount: Int
    val recordCount: Int

    /** Opens a session, or returns null if the bound is reached. */
    fun open(
        callerId: CallerId,
        nowMillis: Long,
    ): SessionClaims?

    /** Whether submissions with [credential] can still be recorded; false for an ended session. */
    fun isOpen(
        credential: Credential,
        nowMillis: Long,
    ): Boolean

    fun find(key: SubmissionKey): SubmissionRecord?

    /** Creates the record of a submission, or returns null if a bound is reached. */
    fun create(
        key: SubmissionKey,
        fingerprint: String,
        nowMillis: Long,
    ): SubmissionRecord?

    /** Keeps [outcome] for resubmissions for as long as the bounds allow. */
    fun finish(
        record: SubmissionRecord,
        outcome: Outcome,
        nowMillis: Long,
    )

    /** Forgets a submission of which nothing was started. */
    fun remove(record: SubmissionRecord)

    fun nextTimerMillis(): Long?

    fun onTimer(nowMillis: Long)

    /** All finished records, for a hand-over. */
    fun finishedRecords(nowMillis: Long): List<HandedOverRecord>

    /** Open sessions' scopes with their remaining lifetime in milliseconds. */
    fun openScopes(nowMillis: Long): Map<String, Long>

    /** Creates session tables. */
    fun interface Factory {
        fun create(
            options: EntryOptions,
            self: Owner,
        ): SessionTable
    }
}
