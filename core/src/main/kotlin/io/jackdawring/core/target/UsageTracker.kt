package io.jackdawring.core.target

import io.jackdawring.core.NotStartedReason
import io.jackdawring.core.TargetAnswer
import java.util.TreeSet
import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min
import kotlin.random.Random

/** Learns from answers and gossip how many slots of each target the other entry instances use. */
internal class UsageTracker(
    private val refusals: RefusalEstimator,
    private val random: Random,
) {
    /** Targets whose fair share is suspended after a refusal. */
    private val suspended = TreeSet(compareBy<PooledTarget>({ it.shareRetryAtMillis }, { it.id.value }))

    /** Learns from the answer to a start, and returns whether it tells that a slot may be free now. */
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
        val freeBefore = slots - target.othersInUse - inFlightBefore
        if (busy) {
            refusals.learn(freeBefore + 1, ageMillis, true)
            target.othersInUse = max(0, slots - target.inFlight)
            target.windowChangedAtMillis = nowMillis
            if (target.inFlight < target.fairShare) suspendShare(target, nowMillis)
        } else if (slotsInUse != null) {
            // The slot of the ended task was ours, so others can have at most the rest.
            target.othersInUse = max(0, min(slotsInUse - target.inFlight, slots - inFlightBefore))
            if (target.othersInUse + inFlightBefore < slots) allowShare(target)
            if (ageMillis < 0) {
                refusals.learn(freeBefore + 1, ageMillis, false)
            } else {
                refusals.learn(freeBefore, ageMillis, slots - target.othersInUse - inFlightBefore <= 0)
            }
        } else {
            if (answer is TargetAnswer.Succeeded) growWithoutUsage(target, freeBefore, nowMillis)
            return false
        }
        target.knownAtMillis = nowMillis
        return true
    }

    /** After a refusal within the fair share, tries the share again after a growing time or a report of a free slot. */
    private fun suspendShare(
        target: PooledTarget,
        nowMillis: Long,
    ) {
        suspended -= target
        target.shareRefused = true
        val millis = min(SHARE_RETRY_LAST_MILLIS, SHARE_RETRY_FIRST_MILLIS shl min(target.refusalsInRow++, 10))
        target.shareRetryAtMillis = nowMillis + millis + random.nextLong(millis)
        suspended += target
    }

    private fun allowShare(target: PooledTarget) {
        if (target.shareRefused) suspended -= target
        target.shareRefused = false
        target.refusalsInRow = 0
    }

    /** Lets the window of a target that does not report its usage grow by one while there is demand. */
    private fun growWithoutUsage(
        target: PooledTarget,
        freeBefore: Int,
        nowMillis: Long,
    ) {
        refusals.learn(freeBefore + 1, target.ageMillis(nowMillis), false)
        if (target.knownAtMillis >= 0) target.knownAtMillis = nowMillis
        val demand = target.services.any { nowMillis - it.noRoomAtMillis < DEMAND_MILLIS }
        val mayGrow = nowMillis - target.windowChangedAtMillis >= GROW_INTERVAL_MILLIS
        if (demand && mayGrow && target.othersInUse > 0) {
            target.othersInUse--
            target.windowChangedAtMillis = nowMillis
        }
        target.services.forEach { it.lastAnswered = target }
    }

    /** While the fleet is almost idle, takes targets without a recent report to be as busy as the fleet on average. */
    fun assumeFleetLoad(
        targets: Collection<PooledTarget>,
        othersInFlight: Int,
        nowMillis: Long,
        onChanged: (PooledTarget) -> Unit,
    ) {
        val slots = targets.sumOf { if (it.accepting) it.instance.slots else 0 }
        if (othersInFlight > slots * MAX_IDLE_LOAD) return
        val load = LOAD_SAFETY * othersInFlight / max(1, slots)
        for (target in targets) {
            if (target.ageMillis(nowMillis) in 0 until OLD_REPORT_MILLIS) continue
            val assumed = max(ceil(load * target.instance.slots).toInt(), target.instance.slots / RESERVED_PART)
            target.assumeOthersInUse(assumed)
            onChanged(target)
        }
    }

    /** Ends the suspension of the fair share of a target that is no longer used. */
    fun forget(target: PooledTarget) {
        suspended -= target
    }

    /** Time at which the next suspended share is tried again, or null. */
    fun nextRetryMillis(): Long? = if (suspended.isEmpty()) null else suspended.first().shareRetryAtMillis

    /** Ends the suspensions that are due and passes the targets to [onChanged]. */
    fun onTimer(
        nowMillis: Long,
        onChanged: (PooledTarget) -> Unit,
    ) {
        while (suspended.isNotEmpty() && suspended.first().shareRetryAtMillis <= nowMillis) {
            val target = suspended.pollFirst()
            target.shareRefused = false
            onChanged(target)
        }
    }

    private companion object {
        /** Gossip is about as old as this, so a younger report of the target itself is the better knowledge. */
        const val OLD_REPORT_MILLIS = 1_000L

        /**
         * Load of the fleet up to which old reports are replaced by the load known from gossip.
         *
         * A busy fleet reports often enough. With 0.1, busy refusals rose from 0.003 to 0.022 per start at 20%
         * load, and large jobs were not faster; with 0.05 they are 0.006.
         */
        const val MAX_IDLE_LOAD = 0.05

        /** One slot in so many is left to a job that arrives at another instance at the same time. */
        const val RESERVED_PART = 4

        /** Room for uneven load of the targets and for growth since the last gossip. */
        const val LOAD_SAFETY = 2.0

        /** The instances that borrowed the slot give it back within about one run time. */
        const val SHARE_RETRY_FIRST_MILLIS = 300L
        const val SHARE_RETRY_LAST_MILLIS = 3_000L

        /** Without usage reports only refusals show that a window is too large, so it grows slowly. */
        const val GROW_INTERVAL_MILLIS = 3_000L
        const val DEMAND_MILLIS = 100L
    }
}
