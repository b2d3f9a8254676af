package io.jackdawring.core.session

import io.jackdawring.core.Outcome
import io.jackdawring.core.Owner
import io.jackdawring.core.RefusalReason
import io.jackdawring.core.SubmissionId
import io.jackdawring.core.UnknownReason
import io.jackdawring.core.membership.HandedOverRecord
import io.jackdawring.core.membership.PeerMessage

/** Records handed over by instances that shut down; they answer resubmissions and never start anything. */
internal class HandedOverRecords(
    private val maxRecords: Int,
) {
    private val scopes = HashMap<String, Scope>()
    private val transfers = HashMap<Owner, Transfer>()
    private var recordCount = 0

    fun receive(
        message: PeerMessage.HandOver,
        nowMillis: Long,
    ) {
        val transfer = transfers.getOrPut(message.owner) { Transfer(message.batches) }
        transfer.expiresAtMillis = nowMillis + (message.openScopes.values.maxOrNull() ?: 0)
        transfer.received.add(message.batch)
        message.records.forEach { add(it, transfer, nowMillis) }
        message.openScopes.forEach { (scope, keepMillis) ->
            scopes.getOrPut(scope) { Scope(nowMillis + keepMillis) }.transfer = transfer
        }
    }

    /** Returns the outcome of a submission whose owner has shut down. */
    fun outcome(
        key: SubmissionKey,
        fingerprint: String,
        nowMillis: Long,
    ): Outcome {
        val scope = scopes[key.scope]?.takeIf { nowMillis < it.expiresAtMillis }
        val record = scope?.records?.get(key.id)
        return when {
            scope == null -> Outcome.Unknown(UnknownReason.OWNER_UNREACHABLE)
            record == null -> outcomeWithoutRecord(scope)
            record.fingerprint != fingerprint -> Outcome.Refused(RefusalReason.FINGERPRINT_MISMATCH, null)
            else -> record.outcome ?: Outcome.Unknown(UnknownReason.ANSWER_DISCARDED)
        }
    }

    fun contains(key: SubmissionKey): Boolean = scopes[key.scope]?.records?.containsKey(key.id) ?: false

    /** Hand-over messages that transfer the received records of sessions to the successor of this instance. */
    fun messagesForSuccessor(
        sender: Owner,
        nowMillis: Long,
    ): List<PeerMessage.HandOver> =
        transfers.flatMap { (owner, transfer) ->
            val open = scopes.filterValues { it.transfer === transfer && nowMillis < it.expiresAtMillis }
            val records = open.values.flatMap { it.records.values }
            val openScopes =
                if (transfer.isComplete) {
                    open.mapValues {
                        it.value.expiresAtMillis - nowMillis
                    }
                } else {
                    emptyMap()
                }
            handOverBatches(sender, owner, openScopes, records)
        }

    /** Received records whose scopes no transfer lists as open, such as those of submissions without a session. */
    fun recordsWithoutSession(nowMillis: Long): List<HandedOverRecord> =
        scopes.values
            .filter { it.transfer == null && nowMillis < it.expiresAtMillis }
            .flatMap { it.records.values }

    fun onTimer(nowMillis: Long) {
        val ended = scopes.filterValues { it.expiresAtMillis <= nowMillis }
        ended.forEach { (name, scope) ->
            recordCount -= scope.records.size
            scopes.remove(name)
        }
        transfers.values.removeIf { it.expiresAtMillis <= nowMillis }
    }

    // The owner started nothing after it had sent its records, so a submission without a record did not run.
    private fun outcomeWithoutRecord(scope: Scope): Outcome =
        if (scope.transfer?.isComplete == true) {
            Outcome.Refused(RefusalReason.SESSION_CLOSED, retryAfterMillis = 0)
        } else {
            Outcome.Unknown(UnknownReason.OWNER_UNREACHABLE)
        }

    private fun add(
        record: HandedOverRecord,
        transfer: Transfer,
        nowMillis: Long,
    ) {
        val scope = scopes.getOrPut(record.scope) { Scope(nowMillis) }
        scope.expiresAtMillis = maxOf(scope.expiresAtMillis, nowMillis + record.keepMillis)
        if (record.submissionId in scope.records) return
        if (recordCount >= maxRecords) {
            transfer.overflowed = true
            return
        }
        scope.records[record.submissionId] = record
        recordCount++
    }

    private class Scope(
        var expiresAtMillis: Long,
    ) {
        val records = HashMap<SubmissionId, HandedOverRecord>()
        var transfer: Transfer? = null
    }

    private class Transfer(
        val batches: Int,
    ) {
        val received = HashSet<Int>()
        var overflowed = false
        var expiresAtMillis = 0L
        val isComplete get() = !overflowed && received.size == batches
    }
}

/** Splits [records] into hand-over messages of bounded size; there is always at least one message. */
internal fun handOverBatches(
    sender: Owner,
    owner: Owner,
    openScopes: Map<String, Long>,
    records: List<HandedOverRecord>,
): List<PeerMessage.HandOver> {
    val chunks = records.chunked(MAX_RECORDS_PER_HAND_OVER).ifEmpty { listOf(emptyList()) }
    return chunks.mapIndexed { index, chunk ->
        PeerMessage.HandOver(sender, owner, index, chunks.size, openScopes, chunk)
    }
}

private const val MAX_RECORDS_PER_HAND_OVER = 200
