package io.jackdawring.testing

import io.jackdawring.core.AttemptId
import io.jackdawring.core.Effect
import io.jackdawring.core.EffectSink
import io.jackdawring.core.EntryInstance
import io.jackdawring.core.EntryOptions
import io.jackdawring.core.Event
import io.jackdawring.core.Outcome
import io.jackdawring.core.Owner
import io.jackdawring.core.RequestId
import io.jackdawring.core.SessionClaims

/** A process that runs an entry instance on the fakes; it can be killed, paused and drained. */
class FakeInstance internal constructor(
    val options: EntryOptions,
    factory: EntryInstance.Factory,
    private val cluster: FakeCluster,
) : EffectSink {
    private val instance = factory.create(options)
    private val clock = cluster.clock

    /** Virtual time at which the process started. */
    val startedAtMillis: Long = clock.nowMillis
    private val deferredWhilePaused = ArrayDeque<() -> Unit>()
    private val connections = HashMap<AttemptId, TaskConnection>()
    private val requests = HashMap<RequestId, OpenRequest>()
    private val disconnectedRequests = HashSet<RequestId>()
    private val pendingEffects = ArrayList<Effect>()
    private var lastRequest = 0L
    private var shutdownComplete = false
    private var scheduledTimerMillis = Long.MAX_VALUE

    val owner: Owner get() = options.self

    /** False once the process has been killed or has completed its shutdown. */
    var alive: Boolean = true
        private set
    var paused: Boolean = false
        private set

    /** Whether the process was ever paused. */
    var everPaused: Boolean = false
        private set
    var draining: Boolean = false
        private set

    val openRequests: Int get() = requests.size

    fun snapshot() = instance.snapshot()

    /** Opens a session; [onGranted] gets null if it is refused. */
    fun openSession(
        callerId: io.jackdawring.core.CallerId,
        onGranted: (SessionClaims?) -> Unit,
    ) {
        val requestId = RequestId(++lastRequest)
        requests[requestId] = OpenRequest({ onGranted(null) }, onGranted, { onGranted(null) })
        deliver(Event.OpenSession(requestId, callerId))
    }

    /** Submits a job; exactly one of [onAnswer] and [onDisconnected] is called, unless the process stays paused. */
    fun submit(
        submission: io.jackdawring.core.Submission,
        onAnswer: (Outcome) -> Unit,
        onDisconnected: () -> Unit,
    ): RequestId {
        val requestId = RequestId(++lastRequest)
        requests[requestId] = OpenRequest(onAnswer, {}, onDisconnected)
        deliver(Event.Submit(requestId, submission))
        return requestId
    }

    /** Closes the caller's connection of an open request; its answer is dropped. */
    fun disconnect(requestId: RequestId) {
        val request = requests.remove(requestId) ?: return
        disconnectedRequests.add(requestId)
        request.onDisconnected()
        deliver(Event.CallerDisconnected(requestId))
    }

    fun cancel(submission: io.jackdawring.core.Submission) = deliver(Event.Cancel(submission.id, submission.credential))

    /** Ends the process at once; every open connection breaks. */
    fun kill() {
        if (!alive) return
        alive = false
        breakConnections()
    }

    /** Pauses the process; events that arrive meanwhile are handled when it resumes. */
    fun pause() {
        paused = true
        everPaused = true
    }

    fun resume() {
        paused = false
        while (!paused && deferredWhilePaused.isNotEmpty()) deferredWhilePaused.removeFirst()()
    }

    fun drain() {
        draining = true
        deliver(Event.ShutdownRequested)
    }

    /** Handles [event] now, or when the process resumes; does nothing once it has exited. */
    fun deliver(event: Event) = whenRunning { handle(event) }

    /** Runs [action] now, or when the process resumes; does nothing once it has exited. */
    fun whenRunning(action: () -> Unit) {
        when {
            !alive -> Unit
            paused -> deferredWhilePaused.addLast { if (alive) action() }
            else -> action()
        }
    }

    override fun emit(effect: Effect) {
        pendingEffects.add(effect)
    }

    private fun handle(event: Event) {
        instance.handle(event, clock.nowMillis, this)
        val effects = pendingEffects.toList()
        pendingEffects.clear()
        effects.forEach(::perform)
        scheduleTimer()
        if (shutdownComplete && requests.isEmpty()) exit()
    }

    private fun scheduleTimer() {
        val dueMillis = instance.nextTimerMillis() ?: return
        if (scheduledTimerMillis in clock.nowMillis..dueMillis) return
        scheduledTimerMillis = dueMillis
        clock.schedule(dueMillis - clock.nowMillis) {
            if (scheduledTimerMillis <= clock.nowMillis) scheduledTimerMillis = Long.MAX_VALUE
            deliver(Event.TimerFired)
        }
    }

    private fun perform(effect: Effect) {
        when (effect) {
            is Effect.GrantSession -> requests.remove(effect.requestId)?.onGranted?.invoke(effect.claims)
            is Effect.Answer -> answer(effect)
            is Effect.StartTask -> startTask(effect)
            is Effect.CancelTask -> connections.remove(effect.attemptId)?.close()
            is Effect.SendToPeer -> cluster.sendToPeer(this, effect)
            is Effect.CallStore -> cluster.callStore(this, effect)
            is Effect.ReportChange -> cluster.report(this, effect.change)
            Effect.CompleteShutdown -> shutdownComplete = true
        }
    }

    private fun answer(effect: Effect.Answer) {
        val request = requests.remove(effect.requestId)
        when {
            request != null -> request.onAnswer(effect.outcome)
            !disconnectedRequests.remove(effect.requestId) ->
                cluster.oracle.answeredTwice("request ${effect.requestId.value} at ${owner.instanceId.value}")
        }
    }

    private fun startTask(effect: Effect.StartTask) {
        val connection = TaskConnection()
        connections[effect.attemptId] = connection
        cluster.startTask(this, effect, connection) { answer ->
            if (connections.remove(effect.attemptId, connection)) deliver(Event.TaskAnswered(effect.attemptId, answer))
        }
    }

    private fun exit() {
        alive = false
        breakConnections()
        cluster.onInstanceExited()
    }

    private fun breakConnections() {
        connections.values.forEach { it.close() }
        connections.clear()
        val open = requests.values.toList()
        requests.clear()
        open.forEach { it.onDisconnected() }
    }

    private class OpenRequest(
        val onAnswer: (Outcome) -> Unit,
        val onGranted: (SessionClaims?) -> Unit,
        val onDisconnected: () -> Unit,
    )
}

/** A connection from an entry instance to a target for one task. */
class TaskConnection {
    private var onClose: (() -> Unit)? = null
    var closed: Boolean = false
        private set

    fun close() {
        closed = true
        onClose?.invoke()
    }

    fun onClose(action: () -> Unit) {
        onClose = action
        if (closed) action()
    }
}
