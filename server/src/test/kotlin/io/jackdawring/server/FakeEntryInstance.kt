package io.jackdawring.server

import io.jackdawring.core.AttemptId
import io.jackdawring.core.Credential
import io.jackdawring.core.Effect
import io.jackdawring.core.EffectSink
import io.jackdawring.core.EntryInstance
import io.jackdawring.core.EntryOptions
import io.jackdawring.core.Event
import io.jackdawring.core.FailureReason
import io.jackdawring.core.InstanceSnapshot
import io.jackdawring.core.Outcome
import io.jackdawring.core.Payload
import io.jackdawring.core.RequestId
import io.jackdawring.core.SessionClaims
import io.jackdawring.core.SessionId
import io.jackdawring.core.TargetAnswer
import io.jackdawring.core.TargetId
import io.jackdawring.core.TaskReference
import kotlinx.collections.immutable.persistentListOf
import java.util.concurrent.CopyOnWriteArrayList

/** Starts every task at once on the first listed target and answers a job when all its tasks succeed or one fails. */
class FakeEntryInstance(
    private val options: EntryOptions,
) : EntryInstance {
    /** All events other than submissions and task answers, for assertions on other threads. */
    val events = CopyOnWriteArrayList<Event>()

    /** Emitted after the next event. */
    val extraEffects = CopyOnWriteArrayList<Effect>()

    private class Job(
        val requestId: RequestId,
        size: Int,
    ) {
        val results = arrayOfNulls<Payload>(size)
        var openTasks = size
    }

    private val attempts = HashMap<Long, Pair<Job, Int>>()
    private var nextAttempt = 1L
    private var targetAddress = ""
    private var draining = false

    override fun handle(
        event: Event,
        nowMillis: Long,
        effects: EffectSink,
    ) {
        when (event) {
            is Event.Submit -> submit(event, effects)
            is Event.TaskAnswered -> answered(event, effects)
            else -> events.add(event)
        }
        when (event) {
            is Event.OpenSession -> {
                val claims = SessionClaims(SessionId("s${event.requestId.value}"), event.callerId, options.self)
                effects.emit(Effect.GrantSession(event.requestId, claims, 600_000))
            }

            is Event.InstancesListed -> {
                targetAddress = event.list.instances
                    .firstOrNull { it.services.isNotEmpty() }
                    ?.address ?: ""
            }

            is Event.ShutdownRequested -> {
                draining = true
                effects.emit(Effect.CompleteShutdown)
            }

            else -> {
                Unit
            }
        }
        extraEffects.forEach(effects::emit)
        extraEffects.clear()
    }

    private fun submit(
        event: Event.Submit,
        effects: EffectSink,
    ) {
        val submission = event.submission
        val job = Job(event.requestId, submission.tasks.size)
        val scope =
            when (val credential = submission.credential) {
                is Credential.Session -> credential.claims.sessionId.value
                is Credential.IdempotencyKey -> credential.callerId.value
            }
        submission.tasks.forEachIndexed { index, task ->
            val attempt = nextAttempt++
            attempts[attempt] = job to index
            effects.emit(
                Effect.StartTask(
                    AttemptId(attempt),
                    TargetId("t1"),
                    targetAddress,
                    TaskReference(scope, submission.id, index),
                    submission.service,
                    submission.kind,
                    task.payload,
                    submission.deadlineMillis,
                ),
            )
        }
    }

    private fun answered(
        event: Event.TaskAnswered,
        effects: EffectSink,
    ) {
        val (job, index) = attempts.remove(event.attemptId.value) ?: return
        val answer = event.answer
        if (answer is TargetAnswer.Succeeded) {
            job.results[index] = answer.result
            if (--job.openTasks == 0) {
                effects.emit(Effect.Answer(job.requestId, Outcome.Complete(job.results.map { it!! })))
            }
        } else {
            val failed = Outcome.Failed(FailureReason.TASK_FAILED, index, mayHaveRun = true, detail = "$answer")
            effects.emit(Effect.Answer(job.requestId, failed))
        }
    }

    override fun nextTimerMillis(): Long? = null

    override fun snapshot(): InstanceSnapshot =
        InstanceSnapshot(
            self = options.self,
            ready = true,
            draining = draining,
            configurationVersion = 7,
            sessions = 0,
            records = 0,
            runningJobs = 0,
            queuedTasks = 0,
            tasksInFlight = attempts.size,
            storeReachable = true,
            members = persistentListOf(),
            targets = persistentListOf(),
        )
}
