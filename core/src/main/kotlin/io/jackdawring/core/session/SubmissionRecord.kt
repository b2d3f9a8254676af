package io.jackdawring.core.session

import io.jackdawring.core.Outcome
import io.jackdawring.core.ReplyTo
import io.jackdawring.core.SubmissionId
import io.jackdawring.core.job.Job

/** Scope and id of a submission; unique in the fleet. */
internal data class SubmissionKey(
    val scope: String,
    val id: SubmissionId,
)

/** State of a submission that this incarnation owns; as long as it exists, the submission is not started again. */
internal class SubmissionRecord(
    val key: SubmissionKey,
    val fingerprint: String,
) {
    var state: RecordState = RecordState.Claiming

    /** Whether every request so far stated that it is the caller's first attempt. */
    var onlyAttempt: Boolean = true
    private var waiters: ArrayList<ReplyTo>? = null

    fun addWaiter(replyTo: ReplyTo) {
        val list = waiters ?: ArrayList<ReplyTo>(1).also { waiters = it }
        list.add(replyTo)
    }

    /** Returns the waiters and removes them from the record. */
    fun takeWaiters(): List<ReplyTo> = waiters.orEmpty().also { waiters = null }
}

/** Life cycle of a [SubmissionRecord]. */
internal sealed interface RecordState {
    /** The store has not yet decided who owns the submission; nothing was started. */
    data object Claiming : RecordState

    /** The job runs; resubmissions attach to it. */
    class Running(
        val job: Job,
    ) : RecordState

    /** The job ended and its outcome is stored. */
    class Finished(
        val outcome: Outcome,
    ) : RecordState

    /** The job ended and its outcome is no longer stored. */
    data object Discarded : RecordState
}
