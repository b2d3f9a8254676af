package io.jackdawring.core

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * A job as a caller submitted it.
 *
 * [deadlineMillis] is relative to the arrival of the submission. [fingerprint] is a hash of the body; a resubmission
 * with the same id must carry the same fingerprint. [firstAttempt] is the caller's statement that it never submitted
 * this id before, which allows a refusal to say "not run" where the instance itself cannot tell.
 */
class Submission private constructor(
    val id: SubmissionId,
    val credential: Credential,
    val service: String,
    val kind: String,
    val deadlineMillis: Long,
    val fingerprint: String,
    val firstAttempt: Boolean,
    val tasks: ImmutableList<TaskSpec>,
) {
    /** A copy of this submission with [change] applied to its builder. */
    fun copy(change: Builder.() -> Unit): Submission =
        submission(id, credential) {
            service = this@Submission.service
            kind = this@Submission.kind
            deadlineMillis = this@Submission.deadlineMillis
            fingerprint = this@Submission.fingerprint
            firstAttempt = this@Submission.firstAttempt
            tasks(this@Submission.tasks)
            change()
        }

    /** Builds a [Submission]. */
    class Builder(
        private val id: SubmissionId,
        private val credential: Credential,
    ) {
        var service: String = ""
        var kind: String = ""
        var deadlineMillis: Long = DEFAULT_DEADLINE_MILLIS
        var fingerprint: String = ""
        var firstAttempt: Boolean = false
        private val tasks = persistentListOf<TaskSpec>().builder()

        /** Appends [task]. */
        fun task(task: TaskSpec) {
            tasks.add(task)
        }

        /** Appends all [specs] in order. */
        fun tasks(specs: Iterable<TaskSpec>) {
            tasks.addAll(specs)
        }

        fun build(): Submission =
            Submission(id, credential, service, kind, deadlineMillis, fingerprint, firstAttempt, tasks.build())
    }

    companion object {
        const val DEFAULT_DEADLINE_MILLIS: Long = 10_000
        const val MAX_DEADLINE_MILLIS: Long = 60_000
        const val MAX_TASKS: Int = 1_200
    }
}

/** Builds a [Submission] from [block]. */
fun submission(
    id: SubmissionId,
    credential: Credential,
    block: Submission.Builder.() -> Unit,
): Submission = Submission.Builder(id, credential).apply(block).build()
