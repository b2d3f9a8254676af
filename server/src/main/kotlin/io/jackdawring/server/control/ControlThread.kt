package io.jackdawring.server.control

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.EntryInstance
import io.jackdawring.core.Event
import io.jackdawring.core.InstanceSnapshot
import io.jackdawring.server.control.ControlQueue.Bound
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

private val logger = KotlinLogging.logger {}

/** Runs [instance] on a single thread that delivers queued events and due timers to it. */
internal class ControlThread(
    private val instance: EntryInstance,
    private val clock: MonotonicClock,
    private val effects: ControlEffects,
    queueCapacity: Int,
    private val onFailure: () -> Unit,
) : AutoCloseable {
    private val queue = ControlQueue<ControlItem>(queueCapacity)
    private val thread = Thread(::run, "control").apply { isDaemon = true }

    @Volatile
    private var stopped = false

    /** Whether the thread runs and takes events. */
    val isRunning: Boolean get() = thread.isAlive && !stopped

    val waitingRequests: Int get() = queue.waiting(Bound.CALLER_REQUESTS)

    fun start() = thread.start()

    /** Queues a caller's request; false if the queue is full or the thread has stopped: the request is not run. */
    fun offerRequest(
        event: Event,
        request: OpenRequest?,
    ): Boolean {
        if (stopped) return false
        val item = if (request == null) ControlItem.Apply(event) else ControlItem.ApplyRequest(event, request)
        return queue.offer(item, Bound.CALLER_REQUESTS)
    }

    /** Queues a peer's message; false if the queue is full or the thread has stopped: the sender must see a failure. */
    fun offerPeerMessage(event: Event.PeerMessageReceived): Boolean =
        !stopped && queue.offer(ControlItem.Apply(event), Bound.PEER_MESSAGES)

    /** Queues an event that must not be lost. */
    fun add(event: Event) = queue.add(ControlItem.Apply(event))

    /** Passes a snapshot of the state to [onSnapshot] on the control thread. */
    fun inspect(onSnapshot: (InstanceSnapshot) -> Unit) = queue.add(ControlItem.Inspect(onSnapshot))

    /** Waits for a snapshot of the state; null if the thread does not provide it within [timeoutMillis]. */
    fun snapshot(timeoutMillis: Long): InstanceSnapshot? {
        val result = CompletableFuture<InstanceSnapshot>()
        inspect(result::complete)
        return try {
            result.get(timeoutMillis, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            null
        }
    }

    private fun run() {
        try {
            while (!stopped) {
                applyBatch()
                fireDueTimer()
                queue.sleep(sleepNanos())
            }
        } catch (failure: Throwable) {
            // The state may be inconsistent; continuing with it could start a task twice.
            stopped = true
            logger.error(failure) { "the decision logic failed; the instance stops" }
            onFailure()
        }
    }

    private fun applyBatch() {
        for (count in 1..MAX_BATCH) {
            if (stopped) return
            apply(queue.poll() ?: return)
        }
    }

    private fun apply(item: ControlItem) =
        when (item) {
            is ControlItem.Apply -> {
                effects.beforeEvent(item.event)
                instance.handle(item.event, clock.nowMillis(), effects)
            }

            is ControlItem.ApplyRequest -> {
                effects.register(item.request)
                instance.handle(item.event, clock.nowMillis(), effects)
            }

            is ControlItem.Inspect -> {
                item.onSnapshot(instance.snapshot())
            }
        }

    private fun fireDueTimer() {
        val nowMillis = clock.nowMillis()
        val dueMillis = instance.nextTimerMillis() ?: return
        if (dueMillis <= nowMillis) instance.handle(Event.TimerFired, nowMillis, effects)
    }

    private fun sleepNanos(): Long {
        val dueMillis = instance.nextTimerMillis() ?: return TimeUnit.MILLISECONDS.toNanos(MAX_SLEEP_MILLIS)
        val sleepMillis = (dueMillis - clock.nowMillis()).coerceIn(0, MAX_SLEEP_MILLIS)
        return TimeUnit.MILLISECONDS.toNanos(sleepMillis)
    }

    /** Stops before the next event; waiting events are not applied. */
    override fun close() {
        stopped = true
        queue.wake()
        if (Thread.currentThread() !== thread) thread.join(JOIN_LIMIT_MILLIS)
    }

    private companion object {
        /** Items handled between two checks of the timer; bounds the delay of a due timer while the queue is long. */
        const val MAX_BATCH = 256
        const val MAX_SLEEP_MILLIS = 1_000L
        const val JOIN_LIMIT_MILLIS = 2_000L
    }
}
