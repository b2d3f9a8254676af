package io.jackdawring.core.target

import io.jackdawring.core.NotStartedReason
import io.jackdawring.core.TargetAnswer
import java.util.TreeSet
import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min
import kotlin.random.Random

/** Estimates from answers and gossip how many slots of each target the other entry instances use. */
internal class UsageTracker(
    private val refusals: RefusalEstimator,
    private val random: Random,
) {
    /** Targets whose fair share is suspended after a refusal. */
    private val suspended = TreeSet(compareBy<PooledTarget>({ it.shareRetryAtMillis }, { it.id.value }))

    /** Updates the estimates from the answer to a start, and returns whether it showed the slot usage. */
    fun learn(
        target: PooledTarget,
        answer: TargetAnswer?,
        inFlightBefore: Int,
        nowMillis: Long,
    ): Boolean {
        val busy = answer is TargetAnswer.NotStarted && answer.reason == NotStartedReason.BUSY
        val slotsInUse = answer?.usage?.slotsInUse
        val slots = target.instance.slots
        val ageMillis = target.ageMillis(nowMillis)
        val freeSlotsBefore = slots - target.slotsUsedByOthers - inFlightBefore
        if (busy) {
            refusals.learn(freeSlotsBefore + 1, ageMillis, true)
            target.slotsUsedByOthers = max(0, slots - target.inFlight)
            target.windowChangedAtMillis = nowMillis
            if (target.inFlight < target.fairShare) suspendShare(target, nowMillis)
        } else if (slotsInUse != null) {
            // The ended task used a slot of this instance, so the others can use at most the rest.
            target.slotsUsedByOthers = max(0, min(slotsInUse - target.inFlight, slots - inFlightBefore))
            if (target.slotsUsedByOthers + inFlightBefore < slots) resumeShare(target)
            if (ageMillis < 0) {
                refusals.learn(freeSlotsBefore + 1, ageMillis, false)
            } else {
                refusals.learn(freeSlotsBefore, ageMillis, slots - target.slotsUsedByOthers - inFlightBefore <= 0)
            }
        } else {
            if (answer is TargetAnswer.Succeeded) growWithoutUsage(target, freeSlotsBefore, nowMillis)
            return false
        }
        target.usageKnownAtMillis = nowMillis
        return true
    }

    /** Suspends the fair share after a refusal within it, until a backoff ends or a free slot is reported. */
    private fun suspendShare(
        target: PooledTarget,
        nowMillis: Long,
    ) {
        suspended -= target
        target.shareSuspended = true
        val millis = min(MAX_SHARE_RETRY_MILLIS, FIRST_SHARE_RETRY_MILLIS shl min(target.consecutiveRefusals++, 10))
        target.shareRetryAtMillis = nowMillis + millis + random.nextLong(millis)
        suspended += target
    }

    private fun resumeShare(target: PooledTarget) {
        if (target.shareSuspended) suspended -= target
        target.shareSuspended = false
        target.consecutiveRefusals = 0
    }

    /** Grows the window of a target that does not report its usage by one slot while there is demand. */
    private fun growWithoutUsage(
        target: PooledTarget,
        freeSlotsBefore: Int,
        nowMillis: Long,
    ) {
        refusals.learn(freeSlotsBefore + 1, target.ageMillis(nowMillis), false)
        if (target.usageKnownAtMillis >= 0) target.usageKnownAtMillis = nowMillis
        val demand = target.services.any { nowMillis - it.noSlotAtMillis < RECENT_DEMAND_MILLIS }
        val mayGrow = nowMillis - target.windowChangedAtMillis >= GROW_INTERVAL_MILLIS
        if (demand && mayGrow && target.slotsUsedByOthers > 0) {
            target.slotsUsedByOthers--
            target.windowChangedAtMillis = nowMillis
        }
        target.services.forEach { it.lastAnswered = target }
    }

    /** Assumes the average load for targets without a recent report while the fleet is almost idle. */
    fun assumeFleetLoad(
        targets: Collection<PooledTarget>,
        othersInFlight: Int,
        nowMillis: Long,
        onChanged: (PooledTarget) -> Unit,
    ) {
        val slots = targets.sumOf { if (it.accepting) it.instance.slots else 0 }
        if (othersInFlight > slots * MAX_IDLE_LOAD) return
        val load = LOAD_SAFETY_FACTOR * othersInFlight / max(1, slots)
        for (target in targets) {
            if (target.ageMillis(nowMillis) in 0 until STALE_REPORT_MILLIS) continue
            val assumed = max(ceil(load * target.instance.slots).toInt(), target.instance.slots / RESERVED_SLOT_ONE_IN)
            target.assumeSlotsUsedByOthers(assumed)
            onChanged(target)
        }
    }

    /** Removes the suspension of the fair share of a target that is no longer used. */
    fun forget(target: PooledTarget) {
        suspended -= target
    }

    /** Time at which the next suspension ends, or null. */
    fun nextRetryMillis(): Long? = if (suspended.isEmpty()) null else suspended.first().shareRetryAtMillis

    /** Ends the suspensions that are due and passes the targets to [onChanged]. */
    fun onTimer(
        nowMillis: Long,
        onChanged: (PooledTarget) -> Unit,
    ) {
        while (suspended.isNotEmpty() && suspended.first().shareRetryAtMillis <= nowMillis) {
            val target = suspended.pollFirst()
            target.shareSuspended = false
            onChanged(target)
        }
    }

    private companion object {
        /** Typical age of gossip; a more recent report of the target itself is more accurate. */
        const val STALE_REPORT_MILLIS = 1_000L

        /**
         * Load of the fleet up to which outdated reports are replaced by the load known from gossip.
         *
         * A busy fleet reports often enough. With 0.1, busy refusals rose from 0.003 to 0.022 per start at 20%
         * load, and large jobs were not faster; with 0.05 they are 0.006.
         */
        const val MAX_IDLE_LOAD = 0.05

        /** One slot in this many is left to a job that arrives at another instance at the same time. */
        const val RESERVED_SLOT_ONE_IN = 4

        /** Allows for uneven load of the targets and for growth since the last gossip. */
        const val LOAD_SAFETY_FACTOR = 2.0

        /** Instances that borrowed the slot release it within about one run time. */
        const val FIRST_SHARE_RETRY_MILLIS = 300L
        const val MAX_SHARE_RETRY_MILLIS = 3_000L

        /** Without usage reports, only refusals show that a window is too large, so it grows slowly. */
        const val GROW_INTERVAL_MILLIS = 3_000L
        const val RECENT_DEMAND_MILLIS = 100L
    }
}
