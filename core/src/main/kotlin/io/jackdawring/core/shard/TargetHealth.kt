package io.jackdawring.core.shard

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.min

/**
 * Learned speed and recent faults of a target.
 *
 * A target is suspended after faults of several steps without a successful run in between, or at once if it rejects a
 * start as unhealthy; each further suspension without a successful run in between lasts twice as long. Faults that turn
 * out to be those of the tasks are withdrawn.
 */
internal class TargetHealth {
    /** A run of [task] that failed or hung; it [isConfirmed] if the tasks of its step succeed elsewhere. */
    private class Fault(
        val task: TaskKey,
        val isConfirmed: Boolean,
    )

    private var logSpeed = 0.0
    private var samples = 0
    private var faults = emptyList<Fault>()
    private var suspensions = 0
    private var suspendedUntilMillis = Long.MIN_VALUE

    /** Whether the last suspension ends if its faults are withdrawn. */
    private var isDueToRuns = false

    /** Time of the last suspension. */
    var suspendedAtMillis = Long.MIN_VALUE
        private set

    /** Speed relative to the declared durations; 1.0 before the first run. */
    val speed: Double get() = exp(logSpeed)

    /** Whether a run has shown the speed. */
    val hasSpeed: Boolean get() = samples > 0

    fun isSuspended(nowMillis: Long): Boolean = nowMillis < suspendedUntilMillis

    /** Whether only one new run at a time is allowed, because no run has succeeded since the last suspension. */
    val isOnProbation: Boolean get() = suspensions > 0

    /**
     * Number of faults that speak against the target.
     *
     * The tasks of a step are alike, so they count once until some have succeeded on another target.
     */
    private val weight: Int
        get() {
            val (confirmed, others) = faults.partition { it.isConfirmed }
            return confirmed.size + others.distinctBy { it.task.jobId to it.task.step }.size
        }

    fun onDone(
        expectedAtUnitSpeedMillis: Double,
        observedMillis: Long,
    ) {
        clearFaults()
        val ratio = ln((expectedAtUnitSpeedMillis / observedMillis.coerceAtLeast(1)).coerceIn(MIN_SPEED, MAX_SPEED))
        samples++
        logSpeed += maxOf(1.0 / samples, SPEED_WEIGHT) * (ratio - logSpeed)
    }

    /** Records a run that has succeeded, and whose duration says nothing about the speed. */
    fun clearFaults() {
        faults = emptyList()
        suspensions = 0
    }

    /** Forgets the speed, which no longer applies. */
    fun forgetSpeed() {
        logSpeed = 0.0
        samples = 0
    }

    /**
     * Records that a run of [task] failed or hung; returns whether that suspends the target, for which [maySuspend] is
     * asked.
     */
    fun onRunFault(
        task: TaskKey,
        isConfirmed: Boolean,
        nowMillis: Long,
        maySuspend: () -> Boolean,
    ): Boolean {
        faults = (faults + Fault(task, isConfirmed)).takeLast(MAX_FAULTS)
        return suspendIfDue(nowMillis, maySuspend)
    }

    /** Records that tasks of the step of [task] succeed on other targets; returns as [onRunFault]. */
    fun confirmFaults(
        task: TaskKey,
        nowMillis: Long,
        maySuspend: () -> Boolean,
    ): Boolean {
        val (concerned, others) = faults.partition { it.task.jobId == task.jobId && it.task.step == task.step }
        if (concerned.all { it.isConfirmed }) return false
        faults = others + concerned.map { Fault(it.task, isConfirmed = true) }
        return suspendIfDue(nowMillis, maySuspend)
    }

    /** Withdraws the faults of tasks that are at fault themselves; returns whether that ends a suspension. */
    fun withdrawFaults(
        nowMillis: Long,
        isOfTask: (TaskKey) -> Boolean,
    ): Boolean {
        val left = faults.filterNot { isOfTask(it.task) }
        if (left.size == faults.size) return false
        faults = left
        if (!isDueToRuns || weight >= FAULTS_TO_SUSPEND) return false
        val wasSuspended = isSuspended(nowMillis)
        suspensions = maxOf(0, suspensions - 1)
        suspendedUntilMillis = minOf(suspendedUntilMillis, nowMillis)
        isDueToRuns = false
        return wasSuspended
    }

    /** Records that the target calls itself unhealthy, which suspends it; returns whether it was not suspended before. */
    fun onUnhealthy(nowMillis: Long): Boolean {
        if (isSuspended(nowMillis)) return false
        suspend(nowMillis, isDueToRuns = false)
        return true
    }

    private fun suspendIfDue(
        nowMillis: Long,
        maySuspend: () -> Boolean,
    ): Boolean {
        // Several runs that fail together are one sign; only a fault after the suspension doubles the next one.
        if (isSuspended(nowMillis)) return false
        if (weight < FAULTS_TO_SUSPEND && suspensions == 0 || !maySuspend()) return false
        suspend(nowMillis, isDueToRuns = true)
        return true
    }

    private fun suspend(
        nowMillis: Long,
        isDueToRuns: Boolean,
    ) {
        val lengthMillis = min(MAX_SUSPENSION_MILLIS, FIRST_SUSPENSION_MILLIS shl min(suspensions, MAX_DOUBLINGS))
        suspensions++
        suspendedAtMillis = nowMillis
        suspendedUntilMillis = nowMillis + lengthMillis
        this.isDueToRuns = isDueToRuns
    }

    /** Clears the record for a new incarnation of the target. */
    fun reset() {
        forgetSpeed()
        clearFaults()
        suspendedUntilMillis = Long.MIN_VALUE
    }

    private companion object {
        /** Weight of the newest run in the speed; declared durations are off by tens of percent. */
        const val SPEED_WEIGHT = 0.12
        const val MIN_SPEED = 0.05
        const val MAX_SPEED = 8.0

        /** Faults after which a target is suspended; a single one may be that of the task. */
        const val FAULTS_TO_SUSPEND = 2

        /** Bounds the memory and the cost of a fault. */
        const val MAX_FAULTS = 16

        /** Duration of the first suspension; long enough to protect most jobs during a short outage. */
        const val FIRST_SUSPENSION_MILLIS = 1_000L
        const val MAX_SUSPENSION_MILLIS = 8_000L
        const val MAX_DOUBLINGS = 4
    }
}
