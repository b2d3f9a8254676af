package io.jackdawring.core.target

import java.util.TreeSet
import kotlin.math.min
import kotlin.random.Random

/** Isolates failing and unreachable targets, and decides when the next probe of each is due. */
internal class TargetHealth(
    private val random: Random,
    private val changed: (PooledTarget) -> Unit,
) {
    private val blocked = TreeSet(compareBy<PooledTarget>({ it.blockedUntilMillis }, { it.id.value }))

    fun nextDueMillis(): Long? = if (blocked.isEmpty()) null else blocked.first().blockedUntilMillis

    fun onTimer(nowMillis: Long) {
        while (blocked.isNotEmpty() && blocked.first().blockedUntilMillis <= nowMillis) allowProbe(blocked.first())
    }

    /** Counts a success and returns whether [target] recovered by it from isolation. */
    fun succeeded(
        target: PooledTarget,
        nowMillis: Long,
    ): Boolean {
        val wasIsolated = target.health == Health.ISOLATED
        target.failuresInRow = 0
        target.failureRate *= 1 - FAILURE_RATE_STEP
        target.lastSuccessAtMillis = nowMillis
        if (target.health != Health.USABLE) release(target)
        return wasIsolated
    }

    /** Counts a failed or lost task and returns whether [target] became isolated by it. */
    fun failed(
        target: PooledTarget,
        nowMillis: Long,
    ): Boolean {
        target.failuresInRow++
        target.failureRate += FAILURE_RATE_STEP * (1 - target.failureRate)
        if (target.health == Health.UNREACHABLE) {
            // A failed task shows that the target is reachable; its failures count as usual.
            val failuresInRow = target.failuresInRow
            release(target)
            target.failuresInRow = failuresInRow
        }
        if (target.health != Health.USABLE) {
            if (target.probeInFlight) block(target, target.blockMillis * 2, nowMillis)
            return false
        }
        if (target.failuresInRow < FAILURES_TO_ISOLATE || !mayIsolate(target)) return false
        isolate(target, nowMillis)
        return true
    }

    /** Isolates [target] because a peer did, unless it succeeded here lately; the local probes start as usual. */
    fun isolatedByPeer(
        target: PooledTarget,
        nowMillis: Long,
    ) {
        val provenHere = nowMillis - target.lastSuccessAtMillis < RECENT_SUCCESS_MILLIS
        if (target.health == Health.USABLE && !provenHere && mayIsolate(target)) isolate(target, nowMillis)
    }

    /** Makes the next probe due, because a peer saw [target] succeed. */
    fun recoveredAtPeer(target: PooledTarget) {
        if (target.health == Health.ISOLATED && !target.probeDue) allowProbe(target)
    }

    fun unreachable(
        target: PooledTarget,
        nowMillis: Long,
    ) {
        if (target.health == Health.USABLE) {
            target.health = Health.UNREACHABLE
            block(target, UNREACHABLE_FIRST_MILLIS, nowMillis)
            changed(target)
        } else if (target.probeInFlight) {
            block(target, target.blockMillis * 2, nowMillis)
        }
    }

    /** Ends a probe that showed nothing about the target; another one may follow at once. */
    fun probeWithoutResult(target: PooledTarget) {
        target.probeInFlight = false
    }

    /** Notes that [target] answered but had no free slot, which says nothing about its tasks. */
    fun busy(
        target: PooledTarget,
        nowMillis: Long,
    ) {
        if (target.health == Health.UNREACHABLE) {
            release(target)
        } else if (target.probeInFlight) {
            block(target, target.blockMillis, nowMillis)
        }
    }

    /** Forgets [target]; it is leaving or no longer listed. */
    fun forget(target: PooledTarget) {
        blocked -= target
    }

    private fun mayIsolate(target: PooledTarget): Boolean {
        for (service in target.services) {
            if ((service.isolated.size + 1) * 2 <= service.accepting.size) continue
            // Most targets fail: the tasks are more likely at fault. Only the worst targets stay isolated.
            val leastBad = service.isolated.minByOrNull { it.failureRate }
            if (leastBad == null || leastBad.failureRate + FAILURE_RATE_MARGIN >= target.failureRate) {
                target.failuresInRow = 0
                return false
            }
            release(leastBad)
        }
        return true
    }

    private fun isolate(
        target: PooledTarget,
        nowMillis: Long,
    ) {
        target.health = Health.ISOLATED
        block(target, PROBE_FIRST_MILLIS, nowMillis)
        changed(target)
    }

    private fun block(
        target: PooledTarget,
        millis: Long,
        nowMillis: Long,
    ) {
        blocked -= target
        target.probeDue = false
        target.probeInFlight = false
        target.blockMillis = min(millis, PROBE_LAST_MILLIS)
        val jitterMillis = random.nextLong((target.blockMillis * JITTER).toLong() + 1)
        target.blockedUntilMillis = nowMillis + target.blockMillis + jitterMillis
        blocked += target
    }

    private fun release(target: PooledTarget) {
        blocked -= target
        target.health = Health.USABLE
        target.failuresInRow = 0
        target.probeDue = false
        target.probeInFlight = false
        changed(target)
    }

    private fun allowProbe(target: PooledTarget) {
        blocked -= target
        target.probeDue = true
        changed(target)
    }

    companion object {
        const val FAILURES_TO_ISOLATE = 3
        const val PROBE_FIRST_MILLIS = 1_000L
        const val PROBE_LAST_MILLIS = 30_000L

        /** A restarted target is back within seconds, and a refused connection costs one message only. */
        const val UNREACHABLE_FIRST_MILLIS = 100L

        /** Entry instances must not probe a target in step. */
        const val JITTER = 0.2

        /** A target that works here is not isolated because of a peer's tasks or a peer's network. */
        const val RECENT_SUCCESS_MILLIS = 1_000L
        private const val FAILURE_RATE_STEP = 0.2
        private const val FAILURE_RATE_MARGIN = 0.1
    }
}
