package io.jackdawring.load

import io.jackdawring.standins.TargetCounts
import kotlinx.serialization.Serializable

/**
 * Messages that did not contribute to an answer.
 *
 * [refusals]: starts that a target refused as busy, leaving or over its connection limit. [repeatedSends]: submissions
 * that a caller sent again. [forwards]: requests sent to an entry instance that does not own their session.
 * [cancelled]: tasks that ended because their connection closed. [discarded]: tasks that succeeded without being part of
 * a complete answer.
 */
@Serializable
data class WastedMessages(
    val refusals: Long,
    val repeatedSends: Long,
    val forwards: Long,
    val cancelled: Long,
    val discarded: Long,
) {
    val total: Long get() = refusals + repeatedSends + forwards + cancelled + discarded

    /** [total] over [tasks], the tasks of all distinct submissions; 0 without tasks. */
    fun perTask(tasks: Long): Double = if (tasks == 0L) 0.0 else total.toDouble() / tasks

    companion object {
        private fun refusals(counts: TargetCounts): Long =
            counts.refusedBusy + counts.refusedLeaving + counts.refusedConnections

        /**
         * Wasted messages between two readings of the targets' counts, plus those seen by the callers.
         *
         * [deliveredTasks] are the tasks of complete answers.
         */
        fun between(
            before: TargetCounts,
            after: TargetCounts,
            repeatedSends: Long,
            forwards: Long,
            deliveredTasks: Long,
        ): WastedMessages =
            WastedMessages(
                refusals = refusals(after) - refusals(before),
                repeatedSends = repeatedSends,
                forwards = forwards,
                cancelled = after.cancelled - before.cancelled,
                discarded = (after.succeeded - before.succeeded - deliveredTasks).coerceAtLeast(0),
            )
    }
}
