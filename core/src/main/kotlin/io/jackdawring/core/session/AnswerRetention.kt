package io.jackdawring.core.session

import io.jackdawring.core.Outcome

/** Discards kept answers after a time and, oldest first, beyond a total size; the records themselves stay. */
internal class AnswerRetention(
    private val retentionMillis: Long,
    private val maxBytes: Long,
) {
    private val kept = ArrayDeque<KeptAnswer>()
    private var keptBytes = 0L

    fun keep(
        record: SubmissionRecord,
        outcome: Outcome,
        nowMillis: Long,
    ) {
        val bytes = outcome.sizeBytes()
        kept.addLast(KeptAnswer(record, bytes, nowMillis + retentionMillis))
        keptBytes += bytes
        while (keptBytes > maxBytes && kept.isNotEmpty()) discardOldest()
    }

    fun nextExpiryMillis(): Long? = kept.firstOrNull()?.expiresAtMillis

    fun discardExpired(nowMillis: Long) {
        while (kept.isNotEmpty() && kept.first().expiresAtMillis <= nowMillis) discardOldest()
    }

    private fun discardOldest() {
        val oldest = kept.removeFirst()
        keptBytes -= oldest.bytes
        oldest.record.state = RecordState.Discarded
    }

    private fun Outcome.sizeBytes(): Long =
        when (this) {
            is Outcome.Complete -> OUTCOME_OVERHEAD_BYTES + results.sumOf { it.bytes.size + RESULT_OVERHEAD_BYTES }
            is Outcome.Failed, is Outcome.Refused, is Outcome.Unknown -> OUTCOME_OVERHEAD_BYTES
        }

    private class KeptAnswer(
        val record: SubmissionRecord,
        val bytes: Long,
        val expiresAtMillis: Long,
    )

    private companion object {
        // Object headers and references of an outcome and of one result on a 64-bit JVM with compressed references.
        const val OUTCOME_OVERHEAD_BYTES = 64L
        const val RESULT_OVERHEAD_BYTES = 40L
    }
}
