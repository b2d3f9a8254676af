package io.jackdawring.core.shard

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.min

/**
 * Record of how well a target runs tasks: its speed and its recent failures.
 *
 * A target that fails or hangs several runs in a row is suspended; each further suspension without a success between
 * lasts twice as long.
 */
internal class TargetRecord {
    private var logSpeed = 0.0
    private var samples = 0
    private var faultsInRow = 0
    private var suspensions = 0
    private var suspendedUntilMillis = Long.MIN_VALUE

    /** Speed relative to the declared durations; 1.0 before the first run. */
    val speed: Double get() = exp(logSpeed)

    fun isSuspended(nowMillis: Long): Boolean = nowMillis < suspendedUntilMillis

    /** Whether only one run at a time may be tried, because the last suspension was not followed by a success. */
    val isOnTrial: Boolean get() = suspensions > 0

    fun onDone(
        expectedAtUnitSpeedMillis: Double,
        observedMillis: Long,
    ) {
        faultsInRow = 0
        suspensions = 0
        val ratio = ln((expectedAtUnitSpeedMillis / observedMillis.coerceAtLeast(1)).coerceIn(MIN_SPEED, MAX_SPEED))
        samples++
        logSpeed += maxOf(1.0 / samples, SPEED_WEIGHT) * (ratio - logSpeed)
    }

    /** Returns whether the target is suspended by this fault. */
    fun onFault(
        nowMillis: Long,
        faultsAllowed: Int,
    ): Boolean {
        faultsInRow++
        if (faultsInRow < faultsAllowed && suspensions == 0) return false
        val lengthMillis = min(MAX_SUSPENSION_MILLIS, FIRST_SUSPENSION_MILLIS shl min(suspensions, MAX_DOUBLINGS))
        suspensions++
        suspendedUntilMillis = nowMillis + lengthMillis
        return true
    }

    /** Forgets everything; the target has a new incarnation. */
    fun reset() {
        logSpeed = 0.0
        samples = 0
        faultsInRow = 0
        suspensions = 0
        suspendedUntilMillis = Long.MIN_VALUE
    }

    private companion object {
        /** Weight of the newest run in the speed; declared durations are off by tens of percent. */
        const val SPEED_WEIGHT = 0.12
        const val MIN_SPEED = 0.05
        const val MAX_SPEED = 8.0

        /** First suspension; long enough to spare most of the jobs of a short outage. */
        const val FIRST_SUSPENSION_MILLIS = 1_000L
        const val MAX_SUSPENSION_MILLIS = 8_000L
        const val MAX_DOUBLINGS = 4
    }
}
