package io.jackdawring.core.session

import io.jackdawring.core.Outcome

/** Discards answers after a retention time and, oldest first, above a total size; their records stay. */
internal class AnswerRetention(
    private val retentionMillis: Long,
    private val maxBytes: Long,
) {
    private val retained = ArrayDeque<RetainedAnswer>()
    private var retainedBytes = 0L

    fun retain(
        record: SubmissionRecord,
        outcome: Outcome,
        nowMillis: Long,
    ) {
        val bytes = outcome.sizeBytes()
        retained.addLast(RetainedAnswer(record, bytes, nowMillis + retentionMillis))
        retainedBytes += bytes
        while (retainedBytes > maxBytes && retained.isNotEmpty()) discardOldest()
    }

    fun nextExpiryMillis(): Long? = retained.firstOrNull()?.expiresAtMillis

    fun discardExpired(nowMillis: Long) {
        while (retained.isNotEmpty() && retained.first().expiresAtMillis <= nowMillis) discardOldest()
    }

    private fun discardOldest() {
        val oldest = retained.removeFirst()
        retainedBytes -= oldest.bytes
        oldest.record.state = RecordState.Discarded
    }

    private fun Outcome.sizeBytes(): Long =
        when (this) {
            is Outcome.Complete -> OUTCOME_OVERHEAD_BYTES + results.sumOf { it.bytes.size + RESULT_OVERHEAD_BYTES }
            is Outcome.Failed, is Outcome.Refused, is Outcome.Unknown -> OUTCOME_OVERHEAD_BYTES
        }

    private class RetainedAnswer(
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
