package io.jackdawring.core.target

import java.util.TreeSet
import kotlin.math.min
import kotlin.random.Random

/** Takes failing and unreachable targets out of use and schedules their probes with exponential backoff. */
internal class TargetHealth(
    private val random: Random,
    private val onChanged: (PooledTarget) -> Unit,
) {
    private val backedOff = TreeSet(compareBy<PooledTarget>({ it.nextProbeMillis }, { it.id.value }))

    fun nextDueMillis(): Long? = if (backedOff.isEmpty()) null else backedOff.first().nextProbeMillis

    fun onTimer(nowMillis: Long) {
        while (backedOff.isNotEmpty() && backedOff.first().nextProbeMillis <= nowMillis) makeProbeDue(backedOff.first())
    }

    /** Records a success and returns whether it ended the isolation of [target]. */
    fun onSucceeded(
        target: PooledTarget,
        nowMillis: Long,
    ): Boolean {
        val wasIsolated = target.health == Health.ISOLATED
        target.consecutiveFailures = 0
        target.failureRate *= 1 - FAILURE_RATE_SMOOTHING
        target.lastSuccessAtMillis = nowMillis
        if (target.health != Health.USABLE) markUsable(target)
        return wasIsolated
    }

    /** Records a failed or lost task and returns whether [target] was isolated because of it. */
    fun onFailed(
        target: PooledTarget,
        nowMillis: Long,
    ): Boolean {
        target.consecutiveFailures++
        target.failureRate += FAILURE_RATE_SMOOTHING * (1 - target.failureRate)
        if (target.health == Health.UNREACHABLE) {
            // A failed task shows that the target is reachable, so its failures count towards isolation.
            val consecutiveFailures = target.consecutiveFailures
            markUsable(target)
            target.consecutiveFailures = consecutiveFailures
        }
        if (target.health != Health.USABLE) {
            if (target.probeInFlight) backOff(target, target.probeBackoffMillis * 2, nowMillis)
            return false
        }
        if (target.consecutiveFailures < FAILURES_TO_ISOLATE || !mayIsolate(target)) return false
        isolate(target, nowMillis)
        return true
    }

    /** Isolates [target] because a peer did, unless it recently succeeded here; local probes start as usual. */
    fun onIsolatedByPeer(
        target: PooledTarget,
        nowMillis: Long,
    ) {
        val succeededRecently = nowMillis - target.lastSuccessAtMillis < RECENT_SUCCESS_MILLIS
        if (target.health == Health.USABLE && !succeededRecently && mayIsolate(target)) isolate(target, nowMillis)
    }

    /** Makes the next probe due at once, because [target] recovered at a peer. */
    fun onRecoveredAtPeer(target: PooledTarget) {
        if (target.health == Health.ISOLATED && !target.probeDue) makeProbeDue(target)
    }

    fun onUnreachable(
        target: PooledTarget,
        nowMillis: Long,
    ) {
        if (target.health == Health.USABLE) {
            target.health = Health.UNREACHABLE
            backOff(target, FIRST_UNREACHABLE_BACKOFF_MILLIS, nowMillis)
            onChanged(target)
        } else if (target.probeInFlight) {
            backOff(target, target.probeBackoffMillis * 2, nowMillis)
        }
    }

    /** Ends a probe that gave no information about the target; another one may follow at once. */
    fun onProbeInconclusive(target: PooledTarget) {
        target.probeInFlight = false
    }

    /** Records that [target] had no free slot: it is reachable, but whether its tasks fail stays unknown. */
    fun onBusy(
        target: PooledTarget,
        nowMillis: Long,
    ) {
        if (target.health == Health.UNREACHABLE) {
            markUsable(target)
        } else if (target.probeInFlight) {
            backOff(target, target.probeBackoffMillis, nowMillis)
        }
    }

    /** Stops probing [target], which is leaving or no longer listed. */
    fun forget(target: PooledTarget) {
        backedOff -= target
    }

    private fun mayIsolate(target: PooledTarget): Boolean {
        for (service in target.services) {
            if ((service.isolated.size + 1) * 2 <= service.accepting.size) continue
            // If most targets fail, the tasks are the more likely cause, so only the worst targets stay isolated.
            val leastFailing = service.isolated.minByOrNull { it.failureRate }
            if (leastFailing == null || leastFailing.failureRate + FAILURE_RATE_MARGIN >= target.failureRate) {
                target.consecutiveFailures = 0
                return false
            }
            markUsable(leastFailing)
        }
        return true
    }

    private fun isolate(
        target: PooledTarget,
        nowMillis: Long,
    ) {
        target.health = Health.ISOLATED
        backOff(target, FIRST_PROBE_BACKOFF_MILLIS, nowMillis)
        onChanged(target)
    }

    private fun backOff(
        target: PooledTarget,
        millis: Long,
        nowMillis: Long,
    ) {
        backedOff -= target
        target.probeDue = false
        target.probeInFlight = false
        target.probeBackoffMillis = min(millis, MAX_PROBE_BACKOFF_MILLIS)
        val jitterMillis = random.nextLong((target.probeBackoffMillis * JITTER).toLong() + 1)
        target.nextProbeMillis = nowMillis + target.probeBackoffMillis + jitterMillis
        backedOff += target
    }

    private fun markUsable(target: PooledTarget) {
        backedOff -= target
        target.health = Health.USABLE
        target.consecutiveFailures = 0
        target.probeDue = false
        target.probeInFlight = false
        onChanged(target)
    }

    private fun makeProbeDue(target: PooledTarget) {
        backedOff -= target
        target.probeDue = true
        onChanged(target)
    }

    companion object {
        const val FAILURES_TO_ISOLATE = 3
        const val FIRST_PROBE_BACKOFF_MILLIS = 1_000L
        const val MAX_PROBE_BACKOFF_MILLIS = 30_000L

        /** A restarted target is back within seconds, and a refused connection costs only one message. */
        const val FIRST_UNREACHABLE_BACKOFF_MILLIS = 100L

        /** Keeps entry instances from probing a target at the same time. */
        const val JITTER = 0.2

        /** Keeps failures of a peer's tasks or network from isolating a target that works here. */
        const val RECENT_SUCCESS_MILLIS = 1_000L
        private const val FAILURE_RATE_SMOOTHING = 0.2
        private const val FAILURE_RATE_MARGIN = 0.1
    }
}
