package io.jackdawring.core.target

import io.jackdawring.core.ListedInstance
import io.jackdawring.core.TargetId
import kotlin.math.max
import kotlin.math.min

/** Whether a target gets tasks other than probes. */
internal enum class Health {
    USABLE,

    /** Several consecutive tasks failed; gets one probe at a time. */
    ISOLATED,

    /** Refused connections; gets one probe at a time. */
    UNREACHABLE,
}

/** The state of a target by which [ServiceTargets] indexes and counts it. */
internal data class IndexedState(
    val accepting: Boolean,
    val targetSet: TargetSet,
    val isolated: Boolean,
    val inFlight: Int,
    val availableSlots: Int,
    val fairShare: Int,
    val slots: Int,
) {
    /** The set in [ServiceTargets] that holds the target. */
    enum class TargetSet {
        NONE,
        AVAILABLE,
        FULL,
        PROBE,
    }

    companion object {
        val ABSENT = IndexedState(false, TargetSet.NONE, false, 0, 0, 0, 0)
    }
}

/** One registration of a target, with its estimated usage, speed and health. */
internal class PooledTarget(
    val id: TargetId,
    var instance: ListedInstance,
    /** Version of the list that first showed this registration; 0 if it was in the first list. */
    val registeredInVersion: Long,
    private val localDomain: Boolean,
    /** Slots that this instance leaves free above its fair share. */
    private val spareSlots: Int,
    /** One entry per service of [instance]. */
    var services: List<ServiceTargets>,
) {
    var listed = true
    var listedAsLeaving = false

    /** Set once the list, the target itself or a peer has reported that the target is leaving. */
    var leaving: Leaving? = null

    /** Tasks that this instance started and that have not ended. */
    var inFlight = 0

    /** Slots used by other entry instances, as last reported or assumed. */
    var slotsUsedByOthers = 0

    /** Time at which [slotsUsedByOthers] was last reported, negative if it is only assumed. */
    var usageKnownAtMillis = -1L

    /** Time at which the window last shrank after a refusal or grew without a usage report. */
    var windowChangedAtMillis = Long.MIN_VALUE / 2

    /** Whether a start within the fair share was refused, so that only known free slots count until a retry. */
    var shareSuspended = false
    var consecutiveRefusals = 0
    var shareRetryAtMillis = 0L

    var health = Health.USABLE
    var consecutiveFailures = 0

    /** Moving average of failed over ended tasks. */
    var failureRate = 0.0
    var lastSuccessAtMillis = Long.MIN_VALUE / 2

    /** Length and end of the current probe backoff. */
    var probeBackoffMillis = 0L
    var nextProbeMillis = 0L
    var probeDue = false
    var probeInFlight = false

    private var slowness = 1.0
    private var slownessAtMillis = 0L

    /** Bound on [inFlight] from this instance's share of the connections; at least 1. */
    var maxInFlight = 1

    /** Fair share of the slots; 0 if there are more instances than slots and other instances get them. */
    var fairShare = 0

    /** State by which the services currently index and count this target. */
    var indexed = IndexedState.ABSENT

    /** Whether the target may get new tasks; otherwise the services do not index it. */
    val accepting: Boolean get() = listed && leaving == null

    /** Slots believed to be free for this instance. */
    val freeSlots: Int get() = instance.slots - slotsUsedByOthers - inFlight

    /** Whether the next start is within the fair share of the slots. */
    val withinShare: Boolean get() = inFlight < fairShare

    /** Whether the next start is within the fair share and the share is not suspended after a refusal. */
    val hasUnusedShare: Boolean get() = withinShare && !shareSuspended

    /**
     * Tasks that this instance may start now: up to its fair share, or more while the spare slots stay free for others.
     *
     * The fair share does not depend on known free slots, because borrowers leave the spare slots free for it.
     */
    val availableSlots: Int
        get() {
            val own = if (shareSuspended) min(freeSlots, fairShare - inFlight) else fairShare - inFlight
            return max(0, min(max(own, freeSlots - spareSlots), maxInFlight - inFlight))
        }

    val window: Int get() = inFlight + availableSlots

    val roundTripMillis: Double get() = if (localDomain) 0.0 else REMOTE_ROUND_TRIP_MILLIS

    fun fits(requirements: TaskRequirements): Boolean =
        requirements.memoryMb <= instance.memoryMb && requirements.accelerators <= instance.accelerators

    /** Computes the state by which the services should index this target now. */
    fun indexedState(): IndexedState {
        if (!accepting) return IndexedState.ABSENT
        val usable = health == Health.USABLE
        val targetSet =
            when {
                !usable && probeDue && !probeInFlight -> IndexedState.TargetSet.PROBE
                !usable -> IndexedState.TargetSet.NONE
                availableSlots > 0 -> IndexedState.TargetSet.AVAILABLE
                inFlight < maxInFlight -> IndexedState.TargetSet.FULL
                else -> IndexedState.TargetSet.NONE
            }
        return IndexedState(
            accepting = true,
            targetSet = targetSet,
            isolated = health == Health.ISOLATED,
            inFlight = inFlight,
            availableSlots = if (usable) availableSlots else 0,
            fairShare = if (usable) fairShare else 0,
            slots = if (usable) instance.slots else 0,
        )
    }

    /** Computes the shares; the remainder of the slots goes to different instances on different targets. */
    fun updateShares(
        entryInstances: Int,
        rank: Int,
    ) {
        val remainderIndex = (id.value.hashCode().mod(entryInstances) + rank).mod(entryInstances)
        val remainder = instance.slots % entryInstances
        fairShare = instance.slots / entryInstances + (if (remainderIndex < remainder) 1 else 0)
        maxInFlight = max(1, instance.connections / entryInstances)
        if (usageKnownAtMillis < 0) slotsUsedByOthers = max(0, instance.slots - max(1, fairShare))
    }

    /** Replaces an outdated or assumed [slotsUsedByOthers] by a new assumption. */
    fun assumeSlotsUsedByOthers(slotsInUse: Int) {
        slotsUsedByOthers = min(slotsInUse, instance.slots)
        usageKnownAtMillis = -1
    }

    fun ageMillis(nowMillis: Long): Long = if (usageKnownAtMillis < 0) -1 else max(0, nowMillis - usageKnownAtMillis)

    /** Slowness that decays to 1 while no task ends, so that a formerly slow target is tried again. */
    fun slowness(nowMillis: Long): Double {
        val idleMillis = max(0, nowMillis - slownessAtMillis)
        return 1.0 + (slowness - 1.0) * SLOWNESS_DECAY_MILLIS / (SLOWNESS_DECAY_MILLIS + idleMillis)
    }

    fun learnSlowness(
        ratio: Double,
        nowMillis: Long,
    ) {
        slowness += SLOWNESS_SMOOTHING * (ratio - slowness)
        slownessAtMillis = nowMillis
    }

    /** List version and time at which the target became known to be leaving. */
    class Leaving(
        val listVersion: Long,
        val sinceMillis: Long,
    )

    companion object {
        /** Round trip to another failure domain, 1 ms each way. */
        const val REMOTE_ROUND_TRIP_MILLIS = 2.0

        private const val SLOWNESS_SMOOTHING = 0.1
        private const val SLOWNESS_DECAY_MILLIS = 10_000.0
    }
}
