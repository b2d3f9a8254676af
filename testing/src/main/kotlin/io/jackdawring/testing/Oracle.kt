package io.jackdawring.testing

import io.jackdawring.core.Outcome
import io.jackdawring.core.RefusalReason
import io.jackdawring.core.TaskReference

/**
 * Test oracle: checks the invariants on what callers and targets observe, the starts of tasks and answers to requests.
 *
 * It does not look into the entry instances.
 */
class Oracle {
    private val submissions = HashMap<String, SubmissionView>()
    private val found = ArrayList<Violation>()

    /** All violations found so far. */
    val violations: List<Violation> get() = found

    /** Number of answers seen, by outcome and reason. */
    val answers = HashMap<String, Int>()

    /** Records that a caller sent a request for the submission named [submission] with [tasks] tasks. */
    fun requested(
        submission: String,
        requestTag: String,
        tasks: Int,
    ) {
        val view = submissions.getOrPut(submission) { SubmissionView(tasks) }
        view.openRequests++
        view.possibleCauses.add(requestTag)
        if (view.started.isNotEmpty()) view.sentAfterStart.add(requestTag)
        view.history.add("requested: $requestTag")
    }

    /** Records that the connection of a request broke before its answer; the submission may still run. */
    fun disconnected(
        submission: String,
        requestTag: String,
    ) {
        val view = view(submission)
        view.mayStillRun = true
        view.history.add("disconnected: $requestTag")
    }

    /** Records that a target started [task]. */
    fun started(task: TaskReference) {
        val name = submissionName(task.scope, task.submissionId.value)
        val view = submissions[name]
        if (view == null) {
            report(Invariant.ACCURATE_REFUSAL, "$task started, but was never submitted")
            return
        }
        if (!view.started.add(task.taskIndex)) report(Invariant.SINGLE_START, "$task started twice; ${view.describe()}")
        view.possibleCauses.singleOrNull()?.let(view.onlyCauses::add)
        if (view.closed) report(Invariant.COMPLETE_ANSWER, "$task started after the final answer ${view.finalAnswer}")
        if (view.openRequests == 0 && !view.mayStillRun) {
            report(Invariant.ACCURATE_REFUSAL, "$task started after 'not run'")
        }
    }

    /** Records the answer to a request. */
    fun answered(
        submission: String,
        requestTag: String,
        outcome: Outcome,
    ) {
        val view = view(submission)
        view.openRequests--
        // A request that was answered as unknown may still start tasks later.
        if (outcome !is Outcome.Unknown) view.possibleCauses.remove(requestTag)
        view.history.add("answered: $requestTag: ${outcome.summary()}")
        answers.merge(outcome.kind(), 1, Int::plus)
        when (outcome) {
            is Outcome.Complete -> checkComplete(submission, requestTag, view, outcome)
            is Outcome.Failed -> checkFailed(submission, view, outcome)
            is Outcome.Refused -> checkRefused(submission, requestTag, view, outcome)
            is Outcome.Unknown -> view.mayStillRun = true
        }
    }

    /** Records a second answer to the same request. */
    fun answeredTwice(requestTag: String) = report(Invariant.MATCHING_ANSWER, "$requestTag was answered twice")

    /** Reports a violation that another check found. */
    fun report(
        invariant: Invariant,
        detail: String,
    ) {
        found.add(Violation(invariant, detail))
    }

    private fun checkComplete(
        submission: String,
        requestTag: String,
        view: SubmissionView,
        outcome: Outcome.Complete,
    ) {
        val expected = (0 until view.tasks).map { "\"$submission/$it\"" }
        val actual = outcome.results.map { it.bytes.decodeToString() }
        if (actual.size != expected.size) {
            report(Invariant.COMPLETE_ANSWER, "$requestTag has ${actual.size} of ${expected.size} results")
        } else if (actual != expected) {
            report(Invariant.MATCHING_ANSWER, "$requestTag got the results $actual")
        }
        close(submission, view, "complete")
    }

    private fun checkFailed(
        submission: String,
        view: SubmissionView,
        outcome: Outcome.Failed,
    ) {
        if (!outcome.mayHaveRun && view.started.isNotEmpty()) {
            report(Invariant.ACCURATE_REFUSAL, "$submission failed as not run, but ran ${view.started}")
        }
        close(submission, view, "failed")
    }

    // Requests for the same submission can overlap: the owner may refuse one and admit another one before the refusal
    // arrives, and that refusal is correct. It is wrong if tasks had started before its request was sent, or started while
    // no other request could have caused the start.
    private fun checkRefused(
        submission: String,
        requestTag: String,
        view: SubmissionView,
        outcome: Outcome.Refused,
    ) {
        // The refused body differs from the first one under this id, which may have run.
        if (outcome.reason == RefusalReason.FINGERPRINT_MISMATCH) return
        if (requestTag !in view.sentAfterStart && requestTag !in view.onlyCauses) return
        val drainingRefusal = outcome.reason == RefusalReason.DRAINING
        val invariant = if (drainingRefusal) Invariant.GRACEFUL_SHUTDOWN else Invariant.ACCURATE_REFUSAL
        report(invariant, "$submission was refused (${outcome.reason}), but ran ${view.describe()}")
    }

    private fun close(
        submission: String,
        view: SubmissionView,
        answer: String,
    ) {
        val earlier = view.finalAnswer
        if (earlier != null && earlier != answer) {
            report(Invariant.COMPLETE_ANSWER, "$submission was answered $earlier and then $answer")
        }
        view.finalAnswer = answer
        view.closed = true
    }

    private fun view(submission: String) = checkNotNull(submissions[submission]) { "$submission was not submitted" }

    private fun Outcome.kind(): String =
        when (this) {
            is Outcome.Complete -> "complete"
            is Outcome.Failed -> "failed: $reason"
            is Outcome.Refused -> "refused: $reason"
            is Outcome.Unknown -> "unknown: $reason"
        }

    private fun Outcome.summary(): String = if (this is Outcome.Complete) "${results.size} results" else toString()

    private class SubmissionView(
        val tasks: Int,
    ) {
        val started = HashSet<Int>()
        val history = ArrayList<String>()
        var openRequests = 0

        /** Requests that can still cause starts. */
        val possibleCauses = LinkedHashSet<String>()

        /** Requests that were the only possible cause of a start. */
        val onlyCauses = HashSet<String>()
        val sentAfterStart = HashSet<String>()
        var mayStillRun = false
        var closed = false
        var finalAnswer: String? = null

        fun describe() = "${started.size} of $tasks tasks; ${history.joinToString()}"
    }

    companion object {
        /** Name of a submission in the oracle; a result of [FakeTarget] is this name with the task index. */
        fun submissionName(
            scope: String,
            submissionId: String,
        ): String = "$scope/$submissionId"
    }
}

/** An invariant that the [Oracle] or another check verifies. */
enum class Invariant {
    SINGLE_START,
    COMPLETE_ANSWER,
    MATCHING_ANSWER,
    ACCURATE_REFUSAL,
    LEAVING_TARGET,
    GRACEFUL_SHUTDOWN,
    CONFIGURATION,
    ANSWER_IN_TIME,
}

/** A broken invariant. */
data class Violation(
    val invariant: Invariant,
    val detail: String,
)
