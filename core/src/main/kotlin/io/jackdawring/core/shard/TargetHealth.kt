package io.jackdawring.core.shard

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.min

/**
 * Learned speed and recent faults of a target.
 *
 * A target is suspended after consecutive faults, or at once if it rejects a start as unhealthy; each further
 * suspension without a successful run in between lasts twice as long.
 */
internal class TargetHealth {
    private var logSpeed = 0.0
    private var samples = 0
    private var consecutiveFaults = 0
    private var suspensions = 0
    private var suspendedUntilMillis = Long.MIN_VALUE

    /** Speed relative to the declared durations; 1.0 before the first run. */
    val speed: Double get() = exp(logSpeed)

    /** Whether a run has shown the speed. */
    val hasSpeed: Boolean get() = samples > 0

    fun isSuspended(nowMillis: Long): Boolean = nowMillis < suspendedUntilMillis

    /** Whether only one run at a time is allowed, because no run has succeeded since the last suspension. */
    val isOnProbation: Boolean get() = suspensions > 0

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
        consecutiveFaults = 0
        suspensions = 0
    }

    /** Forgets the speed, which no longer applies. */
    fun forgetSpeed() {
        logSpeed = 0.0
        samples = 0
    }

    /** Records a fault; returns whether it suspends the target. */
    fun onFault(
        nowMillis: Long,
        faultsToSuspend: Int,
    ): Boolean {
        consecutiveFaults++
        // Several runs that fail together are one sign; only a fault after the suspension doubles the next one.
        if (isSuspended(nowMillis)) return false
        if (consecutiveFaults < faultsToSuspend && suspensions == 0) return false
        val lengthMillis = min(MAX_SUSPENSION_MILLIS, FIRST_SUSPENSION_MILLIS shl min(suspensions, MAX_DOUBLINGS))
        suspensions++
        suspendedUntilMillis = nowMillis + lengthMillis
        return true
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

        /** Duration of the first suspension; long enough to protect most jobs during a short outage. */
        const val FIRST_SUSPENSION_MILLIS = 1_000L
        const val MAX_SUSPENSION_MILLIS = 8_000L
        const val MAX_DOUBLINGS = 4
    }
}
