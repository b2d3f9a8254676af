package io.jackdawring.core.job

import io.jackdawring.core.AttemptId
import io.jackdawring.core.Effect
import io.jackdawring.core.EffectEmitter
import io.jackdawring.core.FailureReason
import io.jackdawring.core.Outcome
import io.jackdawring.core.RefusalReason
import io.jackdawring.core.Submission
import io.jackdawring.core.TargetAnswer
import io.jackdawring.core.TargetId
import io.jackdawring.core.TaskReference
import io.jackdawring.core.configuration.KindDefinition
import io.jackdawring.core.configuration.ServiceDefinition
import io.jackdawring.core.queue.RetryBudget
import io.jackdawring.core.queue.TaskQueue
import io.jackdawring.core.session.RecordState
import io.jackdawring.core.session.SubmissionRecord
import io.jackdawring.core.target.TargetPool
import io.jackdawring.core.target.TaskRequirements
import java.util.PriorityQueue
import java.util.TreeSet

/** Starts the tasks of admitted jobs and ends every job exactly once. */
internal class JobRunner(
    private val emitter: EffectEmitter,
    private val queue: TaskQueue,
    private val pool: TargetPool,
    private val retryBudget: RetryBudget,
    private val onEnded: (Job, Outcome, Long) -> Unit,
) {
    private val attempts = HashMap<AttemptId, Attempt>()
    private val deadlines = TreeSet(DEADLINE_ORDER)
    private val delayedRetries = PriorityQueue<DelayedRetry>(compareBy { it.retryAtMillis })
    private val servicesWithFreeSlots = HashSet<String>()
    private var lastAttempt = 0L
    private var lastJob = 0L

    /** Number of jobs that have not ended. */
    var runningJobs = 0
        private set

    val tasksInFlight: Int get() = attempts.size

    /** Queues all tasks of an admitted submission; [deadlineAtMillis] is monotonic time. */
    fun start(
        record: SubmissionRecord,
        submission: Submission,
        service: ServiceDefinition,
        kind: KindDefinition,
        deadlineAtMillis: Long,
    ) {
        val job = Job(++lastJob, record, submission, service, kind, deadlineAtMillis)
        record.state = RecordState.Running(job)
        runningJobs++
        deadlines.add(job)
        queue.put(job)
    }

    fun onTaskAnswered(
        attemptId: AttemptId,
        answer: TargetAnswer,
        nowMillis: Long,
    ) {
        // The attempt is unknown if its job ended before the answer arrived.
        val attempt = attempts.remove(attemptId) ?: return
        val job = attempt.job
        releaseSlot(attempt, answer, nowMillis)
        when (answer) {
            is TargetAnswer.Succeeded -> {
                job.succeeded(attemptId, answer.result)
                if (job.isComplete) end(job, Outcome.Complete(job.results()), nowMillis)
            }
            is TargetAnswer.TaskFailed -> fail(attempt, attemptId, FailureReason.TASK_FAILED, answer.detail, nowMillis)
            is TargetAnswer.Lost -> fail(attempt, attemptId, FailureReason.TARGET_LOST, answer.detail, nowMillis)
            is TargetAnswer.NotStarted -> retry(attempt, attemptId, nowMillis)
        }
    }

    /** Ends [job] because its caller cancelled it. */
    fun cancel(
        job: Job,
        nowMillis: Long,
    ) = end(job, Outcome.Failed(FailureReason.CANCELLED, null, job.mayHaveRun), nowMillis)

    /** Starts queued tasks of new jobs and of the services where a slot became free since the last dispatch. */
    fun dispatchChanged(nowMillis: Long) {
        if (queue.size > 0) queue.dispatch(servicesWithFreeSlots) { place(it as Job, nowMillis) }
        servicesWithFreeSlots.clear()
    }

    /** Starts as many queued tasks of all services as slots are available. */
    fun dispatchAll(nowMillis: Long) {
        if (queue.size > 0) queue.dispatch { place(it as Job, nowMillis) }
        servicesWithFreeSlots.clear()
    }

    fun nextTimerMillis(): Long? {
        if (deadlines.isEmpty()) return null
        val deadline = deadlines.first().deadlineAtMillis
        val nextRetryMillis = delayedRetries.peek()?.retryAtMillis ?: return deadline
        return minOf(deadline, nextRetryMillis)
    }

    fun onTimer(nowMillis: Long) {
        while (deadlines.isNotEmpty() && deadlines.first().deadlineAtMillis <= nowMillis) {
            val job = deadlines.first()
            end(job, deadlineOutcome(job), nowMillis)
        }
        while (delayedRetries.isNotEmpty() && delayedRetries.peek().retryAtMillis <= nowMillis) {
            val task = delayedRetries.remove()
            if (!task.job.ended) requeue(task.job, task.taskIndex)
        }
    }

    private fun releaseSlot(
        attempt: Attempt,
        answer: TargetAnswer?,
        nowMillis: Long,
    ) {
        queue.taskEnded(attempt.job.team)
        val elapsedMillis = nowMillis - attempt.startedAtMillis
        servicesWithFreeSlots += pool.complete(attempt.targetId, attempt.requirements, answer, elapsedMillis, nowMillis)
    }

    private fun place(
        job: Job,
        nowMillis: Long,
    ): Boolean {
        val taskIndex = job.nextTask()
        val requirements = job.requirements(taskIndex)
        val target = pool.choose(requirements, nowMillis) ?: return false
        val attemptId = AttemptId(++lastAttempt)
        if (job.isFirstSend(taskIndex)) retryBudget.onFirstSend()
        job.started(attemptId)
        attempts[attemptId] = Attempt(job, taskIndex, target.targetId, requirements, nowMillis)
        emitter.emit(
            Effect.StartTask(
                attemptId = attemptId,
                targetId = target.targetId,
                targetAddress = target.address,
                task = TaskReference(job.record.key.scope, job.record.key.id, taskIndex),
                service = job.service,
                kind = job.kindName,
                payload = job.submission.tasks[taskIndex].payload,
                remainingMillis = job.deadlineAtMillis - nowMillis,
            ),
        )
        return true
    }

    private fun fail(
        attempt: Attempt,
        attemptId: AttemptId,
        reason: FailureReason,
        detail: String,
        nowMillis: Long,
    ) {
        attempt.job.failed(attemptId)
        end(attempt.job, Outcome.Failed(reason, attempt.taskIndex, mayHaveRun = true, detail = detail), nowMillis)
    }

    private fun retry(
        attempt: Attempt,
        attemptId: AttemptId,
        nowMillis: Long,
    ) {
        val job = attempt.job
        when {
            job.notStarted(attemptId) >= MAX_SENDS_PER_TASK -> end(job, retriesExhausted(attempt), nowMillis)
            retryBudget.tryTake(nowMillis) -> requeue(job, attempt.taskIndex)
            else -> delayedRetries.add(DelayedRetry(job, attempt.taskIndex, retryBudget.nextAvailableMillis(nowMillis)))
        }
    }

    private fun requeue(
        job: Job,
        taskIndex: Int,
    ) {
        queue.remove(job)
        job.requeue(taskIndex)
        queue.put(job)
    }

    private fun retriesExhausted(attempt: Attempt): Outcome =
        if (attempt.job.mayHaveRun) {
            Outcome.Failed(FailureReason.RETRIES_EXHAUSTED, attempt.taskIndex, mayHaveRun = true)
        } else {
            Outcome.Refused(RefusalReason.OVERLOADED, RETRY_AFTER_EXHAUSTED_MILLIS)
        }

    private fun deadlineOutcome(job: Job): Outcome =
        if (job.mayHaveRun) {
            Outcome.Failed(FailureReason.DEADLINE_EXCEEDED, null, mayHaveRun = true)
        } else {
            Outcome.Refused(RefusalReason.DEADLINE_UNREACHABLE, RETRY_AFTER_DEADLINE_MILLIS)
        }

    private fun end(
        job: Job,
        outcome: Outcome,
        nowMillis: Long,
    ) {
        check(!job.ended) { "job ${job.record.key} ended twice" }
        job.ended = true
        runningJobs--
        deadlines.remove(job)
        queue.remove(job)
        for (attemptId in job.attempts.keys) cancelAttempt(attemptId, nowMillis)
        onEnded(job, outcome, nowMillis)
    }

    private fun cancelAttempt(
        attemptId: AttemptId,
        nowMillis: Long,
    ) {
        val attempt = attempts.remove(attemptId) ?: return
        releaseSlot(attempt, null, nowMillis)
        emitter.emit(Effect.CancelTask(attemptId))
    }

    private class Attempt(
        val job: Job,
        val taskIndex: Int,
        val targetId: TargetId,
        val requirements: TaskRequirements,
        val startedAtMillis: Long,
    )

    private class DelayedRetry(
        val job: Job,
        val taskIndex: Int,
        val retryAtMillis: Long,
    )

    private companion object {
        // Compares primitive values, because compareBy boxes both operands of each comparison.
        val DEADLINE_ORDER =
            Comparator<Job> { a, b ->
                val byDeadline = a.deadlineAtMillis.compareTo(b.deadlineAtMillis)
                if (byDeadline != 0) byDeadline else a.sequence.compareTo(b.sequence)
            }

        const val MAX_SENDS_PER_TASK = 16
        const val RETRY_AFTER_EXHAUSTED_MILLIS = 1_000L
        const val RETRY_AFTER_DEADLINE_MILLIS = 1_000L
    }
}
