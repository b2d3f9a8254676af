package io.jackdawring.core.queue

import io.jackdawring.core.RefusalReason
import io.jackdawring.core.target.Availability

/** Admission by queue bounds per class and by the estimated wait of the class. */
internal class RealAdmissionControl(
    private val maxQueuedTasks: Int,
    private val queue: TaskQueue,
) : AdmissionControl {
    override fun check(request: AdmissionRequest): AdmissionRefusal? {
        val waitMillis = waitMillis(request)
        val runMillis = request.expectedMillisPerTask * request.capacity.slowness
        return when {
            request.availability == Availability.NEVER -> AdmissionRefusal(RefusalReason.CAN_NEVER_RUN, null)
            request.availability == Availability.NO_TARGETS ->
                AdmissionRefusal(RefusalReason.NO_TARGETS, NO_TARGETS_RETRY_MILLIS)
            queue.size + request.tasks > maxQueuedTasks ->
                AdmissionRefusal(RefusalReason.OVERLOADED, retryAfter(waitMillis))
            waitMillis + runMillis > request.deadlineMillis ->
                AdmissionRefusal(RefusalReason.DEADLINE_UNREACHABLE, retryAfter(waitMillis))
            else -> null
        }
    }

    private fun waitMillis(request: AdmissionRequest): Double {
        val slots = request.capacity.usableSlots
        if (slots == 0) return 0.0
        return queue.expectedMillisAhead(request.priority) * request.capacity.slowness / slots
    }

    private fun retryAfter(waitMillis: Double): Long = waitMillis.toLong().coerceIn(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS)

    companion object {
        val Factory = AdmissionControl.Factory { options, queue -> RealAdmissionControl(options.maxQueuedTasks, queue) }

        /** A new target is listed and known within about a second. */
        const val NO_TARGETS_RETRY_MILLIS = 1_000L
        const val MIN_RETRY_MILLIS = 100L
        const val MAX_RETRY_MILLIS = 30_000L
    }
}
