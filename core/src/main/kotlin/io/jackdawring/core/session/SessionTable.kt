package io.jackdawring.core.session

import io.jackdawring.core.CallerId
import io.jackdawring.core.Credential
import io.jackdawring.core.EntryOptions
import io.jackdawring.core.Outcome
import io.jackdawring.core.Owner
import io.jackdawring.core.SessionClaims
import io.jackdawring.core.membership.HandedOverRecord

/** Bounded table of the sessions of this incarnation and of the records of all submissions that it owns. */
internal interface SessionTable {
    val sessionCount: Int
    val recordCount: Int

    /** Opens a session, or returns null if the maximum number of sessions is reached. */
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

    /** Stores [outcome] for resubmissions for as long as the retention time and size allow. */
    fun finish(
        record: SubmissionRecord,
        outcome: Outcome,
        nowMillis: Long,
    )

    /** Removes the record of a submission of which nothing was started. */
    fun remove(record: SubmissionRecord)

    fun nextTimerMillis(): Long?

    fun onTimer(nowMillis: Long)

    /** All finished records, for the hand-over to a successor. */
    fun finishedRecords(nowMillis: Long): List<HandedOverRecord>

    /** Scopes of the open sessions with their remaining lifetimes in milliseconds. */
    fun openScopes(nowMillis: Long): Map<String, Long>

    /** Creates session tables. */
    fun interface Factory {
        fun create(
            options: EntryOptions,
            self: Owner,
        ): SessionTable
    }
}
