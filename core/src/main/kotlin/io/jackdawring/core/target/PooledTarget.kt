package io.jackdawring.core.target

import io.jackdawring.core.ListedInstance
import io.jackdawring.core.TargetId
import kotlin.math.max
import kotlin.math.min

/** Whether a target gets ordinary work. */
internal enum class Health {
    USABLE,

    /** Failed several tasks in a row; gets one probe at a time. */
    ISOLATED,

    /** Refused connections; gets one probe at a time. */
    UNREACHABLE,
}

/** What the services index and count of a target. */
internal data class IndexedState(
    val accepting: Boolean,
    val place: Place,
    val isolated: Boolean,
    val inFlight: Int,
    val room: Int,
    val fairShare: Int,
    val slots: Int,
) {
    /** Set of a service that holds the target. */
    enum class Place {
        NONE,
        WITH_ROOM,
        FULL,
        PROBE,
    }

    companion object {
        val ABSENT = IndexedState(false, Place.NONE, false, 0, 0, 0, 0)
    }
}

/** One registration of a target and everything learnt about it. */
internal class PooledTarget(
    val id: TargetId,
    var instance: ListedInstance,
    /** Version of the list that first showed this registration; 0 if it was in the first list. */
    val registeredInVersion: Long,
    private val localDomain: Boolean,
    /** One entry per service of [instance]. */
    var services: List<ServiceTargets>,
) {
    var listed = true
    var listedAsLeaving = false

    /** Set when the list, the target itself or a peer said that the target is leaving. */
    var leaving: Leaving? = null

    /** Starts of this instance that have not ended. */
    var inFlight = 0

    /** Slots used by other entry instances, as last reported or assumed. */
    var othersInUse = 0

    /** Time of the last knowledge of [othersInUse], negative if it is only assumed. */
    var knownAtMillis = -1L

    /** Time of the last refusal or growth without a usage report. */
    var windowChangedAtMillis = Long.MIN_VALUE / 2

    /** Whether a start within the fair share was refused, so that only known free slots count for now. */
    var shareRefused = false
    var refusalsInRow = 0
    var shareRetryAtMillis = 0L

    var health = Health.USABLE
    var failuresInRow = 0

    /** Moving average of failed over ended tasks. */
    var failureRate = 0.0
    var lastSuccessAtMillis = Long.MIN_VALUE / 2

    /** Length and end of the present time without probes. */
    var blockMillis = 0L
    var blockedUntilMillis = 0L
    var probeDue = false
    var probeInFlight = false

    private var slowness = 1.0
    private var slownessAtMillis = 0L

    /** Most starts of this instance, from its share of the connections; at least 1. */
    var maxInFlight = 1

    /** Fair share of the slots; 0 if there are more instances than slots and it is the turn of others. */
    var fairShare = 0

    /** How the services last indexed and counted this target. */
    var indexed = IndexedState.ABSENT

    /** Whether the services index this target at all. */
    val accepting: Boolean get() = listed && leaving == null

    /** Slots believed to be free for this instance. */
    val free: Int get() = instance.slots - othersInUse - inFlight

    /** Whether the next start is within the fair share of the slots. */
    val withinShare: Boolean get() = inFlight < fairShare

    /** Whether the next start is within the fair share and the share was not refused lately. */
    val hasOwnShare: Boolean get() = withinShare && !shareRefused

    /**
     * Starts that this instance may add now: up to its fair share, or while a slot stays free for the others.
     *
     * The fair share needs no known free slot, because all instances leave it to each other.
     */
    val room: Int
        get() {
            val own = if (shareRefused) min(free, fairShare - inFlight) else fairShare - inFlight
            return max(0, min(max(own, free - BORROWER_MARGIN), maxInFlight - inFlight))
        }

    val window: Int get() = inFlight + room

    val distanceMillis: Double get() = if (localDomain) 0.0 else REMOTE_ROUND_TRIP_MILLIS

    fun fits(need: TaskNeed): Boolean = need.memoryMb <= instance.memoryMb && need.accelerators <= instance.accelerators

    /** State to index now. */
    fun indexedState(): IndexedState {
        if (!accepting) return IndexedState.ABSENT
        val usable = health == Health.USABLE
        val place =
            when {
                !usable && probeDue && !probeInFlight -> IndexedState.Place.PROBE
                !usable -> IndexedState.Place.NONE
                room > 0 -> IndexedState.Place.WITH_ROOM
                inFlight < maxInFlight -> IndexedState.Place.FULL
                else -> IndexedState.Place.NONE
            }
        return IndexedState(
            accepting = true,
            place = place,
            isolated = health == Health.ISOLATED,
            inFlight = inFlight,
            room = if (usable) room else 0,
            fairShare = if (usable) fairShare else 0,
            slots = if (usable) instance.slots else 0,
        )
    }

    /** Sets the shares; the remainder of the slots goes to other instances at every target. */
    fun share(
        entryInstances: Int,
        rank: Int,
    ) {
        val turn = (id.value.hashCode().mod(entryInstances) + rank).mod(entryInstances)
        val remainder = instance.slots % entryInstances
        fairShare = instance.slots / entryInstances + (if (turn < remainder) 1 else 0)
        maxInFlight = max(1, instance.connections / entryInstances)
        if (knownAtMillis < 0) othersInUse = max(0, instance.slots - max(1, fairShare))
    }

    /** Replaces an old or assumed [othersInUse] by another assumption. */
    fun assumeOthersInUse(slotsInUse: Int) {
        othersInUse = min(slotsInUse, instance.slots)
        knownAtMillis = -1
    }

    fun ageMillis(nowMillis: Long): Long = if (knownAtMillis < 0) -1 else max(0, nowMillis - knownAtMillis)

    /** Slowness that fades to 1 without new tasks, so that a target that was slow once is tried again. */
    fun slowness(nowMillis: Long): Double {
        val idleMillis = max(0, nowMillis - slownessAtMillis)
        return 1.0 + (slowness - 1.0) * SLOWNESS_FADE_MILLIS / (SLOWNESS_FADE_MILLIS + idleMillis)
    }

    fun learnSlowness(
        ratio: Double,
        nowMillis: Long,
    ) {
        slowness += SLOWNESS_RATE * (ratio - slowness)
        slownessAtMillis = nowMillis
    }

    /** Source of the knowledge that a target is leaving. */
    class Leaving(
        val listVersion: Long,
        val sinceMillis: Long,
    )

    companion object {
        /** Round trip to another failure domain, 1 ms each way. */
        const val REMOTE_ROUND_TRIP_MILLIS = 2.0

        /**
         * Slots that an instance above its fair share leaves free.
         *
         * Measured in the fleet model at 80% load: 1 gives 0.024 busy refusals per task, 2 gives 0.011.
         */
        const val BORROWER_MARGIN = 2
        private const val SLOWNESS_RATE = 0.1
        private const val SLOWNESS_FADE_MILLIS = 10_000.0
    }
}
