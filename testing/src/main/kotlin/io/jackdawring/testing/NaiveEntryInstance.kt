package io.jackdawring.testing

import io.jackdawring.core.AttemptId
import io.jackdawring.core.Effect
import io.jackdawring.core.EffectSink
import io.jackdawring.core.EntryInstance
import io.jackdawring.core.EntryOptions
import io.jackdawring.core.Event
import io.jackdawring.core.InstanceRole
import io.jackdawring.core.InstanceSnapshot
import io.jackdawring.core.ListedInstance
import io.jackdawring.core.OperationId
import io.jackdawring.core.Outcome
import io.jackdawring.core.Payload
import io.jackdawring.core.RefusalReason
import io.jackdawring.core.RequestId
import io.jackdawring.core.SessionClaims
import io.jackdawring.core.SessionId
import io.jackdawring.core.StateChange
import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.StoreCall
import io.jackdawring.core.Submission
import io.jackdawring.core.TargetAnswer
import io.jackdawring.core.TargetId
import io.jackdawring.core.TaskReference
import io.jackdawring.core.configuration.ConfigurationCodec
import kotlinx.collections.immutable.persistentListOf

/**
 * A minimal dispatcher: starts every task on the targets of the first list it receives, retries failed and lost tasks,
 * and ignores other instances.
 *
 * It is correct only as the single instance and without failures. It is the reference for differential tests, and under
 * faults its violations show that the [Oracle] detects them and that each mechanism it lacks is needed.
 */
class NaiveEntryInstance(
    private val options: EntryOptions,
) : EntryInstance {
    private val jobs = HashMap<String, NaiveJob>()
    private val attempts = HashMap<AttemptId, Pair<NaiveJob, Int>>()
    private var targets: List<ListedInstance> = emptyList()
    private var configurationVersion = 0L
    private var lastSession = 0
    private var lastAttempt = 0L
    private var lastOperation = 0L
    private var nextPollMillis = 0L

    override fun handle(
        event: Event,
        nowMillis: Long,
        effects: EffectSink,
    ) {
        when (event) {
            is Event.OpenSession -> openSession(event, effects)
            is Event.Submit -> submit(event, nowMillis, effects)
            is Event.TaskAnswered -> onAnswer(event, effects)
            is Event.InstancesListed -> onList(event, effects)
            is Event.StoreAnswered -> onStoreAnswered(event, effects)
            Event.ShutdownRequested -> shutDown(effects)
            is Event.Cancel, is Event.CallerDisconnected, is Event.PeerMessageReceived, is Event.PeerSendAcknowledged,
            is Event.PeerSendFailed, Event.TimerFired,
            -> Unit
        }
        expire(nowMillis, effects)
        poll(nowMillis, effects)
    }

    override fun nextTimerMillis(): Long? =
        (jobs.values.filterNot { it.ended }.map { it.deadlineAtMillis } + nextPollMillis).min()

    override fun snapshot(): InstanceSnapshot =
        InstanceSnapshot(
            self = options.self,
            ready = true,
            draining = false,
            configurationVersion = configurationVersion,
            sessions = lastSession,
            records = jobs.size,
            runningJobs = jobs.values.count { !it.ended },
            queuedTasks = 0,
            tasksInFlight = attempts.size,
            storeReachable = true,
            members = persistentListOf(),
            targets = persistentListOf(),
        )

    private fun openSession(
        event: Event.OpenSession,
        effects: EffectSink,
    ) {
        val claims = SessionClaims(SessionId("${++lastSession}"), event.callerId, options.self)
        effects.emit(Effect.GrantSession(event.requestId, claims, options.sessionLifetimeMillis))
    }

    private fun submit(
        event: Event.Submit,
        nowMillis: Long,
        effects: EffectSink,
    ) {
        val submission = event.submission
        val name = Oracle.submissionName(submission.credential.scope, submission.id.value)
        val job =
            jobs.getOrPut(name) { NaiveJob(submission, nowMillis + submission.deadlineMillis) }
        val outcome = job.outcome
        when {
            job.submission.fingerprint != submission.fingerprint ->
                effects.emit(Effect.Answer(event.requestId, Outcome.Refused(RefusalReason.FINGERPRINT_MISMATCH, null)))
            outcome != null -> effects.emit(Effect.Answer(event.requestId, outcome))
            else -> {
                job.waiters.add(event.requestId)
                if (job.waiters.size == 1) {
                    job.submission.tasks.indices
                        .forEach { start(job, it, effects) }
                }
            }
        }
    }

    private fun start(
        job: NaiveJob,
        taskIndex: Int,
        effects: EffectSink,
    ) {
        if (targets.isEmpty()) {
            job.unstarted.add(taskIndex)
            return
        }
        val attemptId = AttemptId(++lastAttempt)
        val target = targets[(lastAttempt % targets.size).toInt()]
        attempts[attemptId] = job to taskIndex
        effects.emit(
            Effect.StartTask(
                attemptId = attemptId,
                targetId = TargetId(target.id),
                targetAddress = target.address,
                task = TaskReference(job.submission.credential.scope, job.submission.id, taskIndex),
                service = job.submission.service,
                kind = job.submission.kind,
                payload = job.submission.tasks[taskIndex].payload,
                remainingMillis = job.submission.deadlineMillis,
            ),
        )
    }

    private fun onAnswer(
        event: Event.TaskAnswered,
        effects: EffectSink,
    ) {
        val (job, taskIndex) = attempts.remove(event.attemptId) ?: return
        if (job.ended) return
        when (val answer = event.answer) {
            is TargetAnswer.Succeeded -> {
                job.results[taskIndex] = answer.result
                if (job.results.size == job.submission.tasks.size) end(job, effects)
            }
            is TargetAnswer.TaskFailed, is TargetAnswer.Lost -> start(job, taskIndex, effects)
            is TargetAnswer.NotStarted -> job.unstarted.add(taskIndex)
        }
    }

    private fun onList(
        event: Event.InstancesListed,
        effects: EffectSink,
    ) {
        if (targets.isEmpty()) targets = event.list.instances.filter { it.role == InstanceRole.TARGET }
        startPending(effects)
    }

    private fun startPending(effects: EffectSink) {
        for (job in jobs.values.filterNot { it.ended }) {
            val unstarted = job.unstarted.toList()
            job.unstarted.clear()
            unstarted.forEach { start(job, it, effects) }
        }
    }

    private fun expire(
        nowMillis: Long,
        effects: EffectSink,
    ) {
        val expired = jobs.values.filter { !it.ended && it.deadlineAtMillis <= nowMillis }
        for (job in expired) {
            if (job.results.isEmpty()) {
                end(job, Outcome.Refused(RefusalReason.DEADLINE_UNREACHABLE, 0), effects)
            } else {
                end(job, effects)
            }
        }
    }

    private fun end(
        job: NaiveJob,
        effects: EffectSink,
    ) = end(
        job,
        Outcome.Complete(
            job.results
                .toSortedMap()
                .values
                .toList(),
        ),
        effects,
    )

    private fun end(
        job: NaiveJob,
        outcome: Outcome,
        effects: EffectSink,
    ) {
        job.outcome = outcome
        job.waiters.forEach { effects.emit(Effect.Answer(it, outcome)) }
    }

    private fun poll(
        nowMillis: Long,
        effects: EffectSink,
    ) {
        if (nowMillis < nextPollMillis) return
        nextPollMillis = nowMillis + POLL_MILLIS
        startPending(effects)
        val call = StoreCall.Get(ConfigurationCodec.HEAD_KEY)
        effects.emit(Effect.CallStore(OperationId(++lastOperation), call))
    }

    private fun onStoreAnswered(
        event: Event.StoreAnswered,
        effects: EffectSink,
    ) {
        val answer = event.answer as? StoreAnswer.Found ?: return
        val version = answer.value?.let(ConfigurationCodec::decodeHead)?.version ?: return
        // Accepts any version from the store, also a lower one.
        if (version != configurationVersion) {
            configurationVersion = version
            effects.emit(Effect.ReportChange(StateChange.ConfigurationApplied(version)))
        }
    }

    private fun shutDown(effects: EffectSink) {
        jobs.values.filterNot { it.ended }.forEach { end(it, Outcome.Refused(RefusalReason.DRAINING, 0), effects) }
        effects.emit(Effect.CompleteShutdown)
    }

    private class NaiveJob(
        val submission: Submission,
        val deadlineAtMillis: Long,
    ) {
        val waiters = ArrayList<RequestId>()
        val results = HashMap<Int, Payload>()
        val unstarted = ArrayList<Int>()
        var outcome: Outcome? = null
        val ended get() = outcome != null
    }

    private companion object {
        const val POLL_MILLIS = 500L
    }
}
