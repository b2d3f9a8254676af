package io.jackdawring.core.queue

import io.jackdawring.core.RefusalReason
import io.jackdawring.core.target.Availability
import kotlin.math.max
import kotlin.math.min
import kotlin.math.pow

/** Admits jobs by a queue bound per priority class and by the estimated completion time of the job's last task. */
internal class RealAdmissionControl(
    private val maxQueuedTasks: Int,
    private val queue: TaskQueue,
) : AdmissionControl {
    private var longRunCount = 0

    override fun check(request: AdmissionRequest): AdmissionRefusal? =
        when (request.availability) {
            Availability.NEVER -> AdmissionRefusal(RefusalReason.CAN_NEVER_RUN, null)
            Availability.NO_TARGETS -> AdmissionRefusal(RefusalReason.NO_TARGETS, NO_TARGETS_RETRY_MILLIS)
            Availability.POSSIBLE -> checkBound(request) ?: checkDeadline(request)
        }

    /** Checks the size of the whole queue against a bound that is smaller for lower classes. */
    private fun checkBound(request: AdmissionRequest): AdmissionRefusal? {
        val bound = maxQueuedTasks * CLASS_BOUND_RATIO.pow(max(0, request.priority - 1))
        val excessTasks = queue.size + request.tasks - bound
        if (excessTasks <= 0) return null
        val excess = min(1.0, excessTasks / max(1, queue.size))
        val drainMillis = waitMillis(request, Int.MAX_VALUE) ?: 0.0
        return AdmissionRefusal(RefusalReason.OVERLOADED, retryAfter(drainMillis * excess))
    }

    private fun checkDeadline(request: AdmissionRequest): AdmissionRefusal? {
        val waitMillis = waitMillis(request, request.priority) ?: return null
        val runMillis = request.expectedMillisPerTask * request.capacity.slowness
        val excessMillis = waitMillis + runMillis * waves(request) - request.deadlineMillis
        if (excessMillis <= 0) return null
        if (waitMillis <= 0.0 && ++longRunCount % LONG_RUN_TRIAL_ONE_IN == 0) return null
        return AdmissionRefusal(RefusalReason.DEADLINE_UNREACHABLE, retryAfter(min(excessMillis, waitMillis)))
    }

    /**
     * Number of waves in which the job's own tasks run.
     *
     * An instance can borrow the idle slots of the whole fleet, so only the fleet's slots give a safe lower bound.
     */
    private fun waves(request: AdmissionRequest): Double =
        max(1.0, request.tasks.toDouble() / max(1, request.capacity.fleetSlots))

    /** Time until all queued tasks of [priority] and higher classes have started, null if no slot is usable. */
    private fun waitMillis(
        request: AdmissionRequest,
        priority: Int,
    ): Double? {
        val slots = request.capacity.usableSlots
        if (slots <= 0) return null
        return queue.expectedMillisAhead(priority) * request.capacity.slowness / slots
    }

    private fun retryAfter(millis: Double): Long = millis.toLong().coerceIn(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS)

    companion object {
        val Factory =
            AdmissionControl.Factory { options, queue -> RealAdmissionControl(options.maxQueuedTasks, queue) }

        /** A new target appears in the instance list within about a second. */
        const val NO_TARGETS_RETRY_MILLIS = 1_000L
        const val MIN_RETRY_MILLIS = 100L
        const val MAX_RETRY_MILLIS = 30_000L

        /** Ratio of the queue bound of a class to that of the next higher class. */
        const val CLASS_BOUND_RATIO = 0.8

        /**
         * One in this many jobs whose run time alone exceeds the deadline is admitted.
         *
         * Declared run times can be wrong, and the estimate is corrected only by tasks that run.
         */
        const val LONG_RUN_TRIAL_ONE_IN = 16
    }
}
