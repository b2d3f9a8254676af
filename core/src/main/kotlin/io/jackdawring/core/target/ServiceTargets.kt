package io.jackdawring.core.target

import kotlin.math.max
import kotlin.math.min

/** Targets of one service, indexed by what they can take now. */
internal class ServiceTargets {
    /** Targets that are listed and not leaving. */
    val accepting = IndexedSet<PooledTarget>()

    /** Usable targets that are believed to have a free slot. */
    val withRoom = IndexedSet<PooledTarget>()

    /** Usable targets that are believed to be full, where this instance could still open a connection. */
    val full = IndexedSet<PooledTarget>()

    /** Isolated or unreachable targets whose next probe is due. */
    val probes = IndexedSet<PooledTarget>()

    /** Isolated targets, for the bound on their number. */
    val isolated = IndexedSet<PooledTarget>()

    var inFlight = 0
        private set
    var room = 0
        private set
    var fairShares = 0
        private set
    var slots = 0
        private set

    /** Target whose answer arrived last; its usage is the freshest. */
    var lastAnswered: PooledTarget? = null

    /** Moving average of actual over expected run time of all tasks of the service. */
    var slowness = 1.0
        private set
    private val slownessByPriority = HashMap<Int, Double>()

    /** Largest needs that every target meets, so that smaller needs can be met from a sample. */
    private var leastMemoryMb = Int.MAX_VALUE
    private var leastAccelerators = Int.MAX_VALUE

    /** Highest class seen lately, and when it was last seen. */
    private var topPriority = Int.MAX_VALUE
    private var topSeenAtMillis = 0L
    private var lowerSeenAtMillis = Long.MIN_VALUE / 2

    /** Free slots that lower classes leave to the highest one. */
    private var headroom = 0.0

    /** Time of the last choice that found no room. */
    var noRoomAtMillis = Long.MIN_VALUE / 2

    /** Earliest time of the next start on a target that is believed to be full. */
    var nextForcedMillis = Long.MIN_VALUE / 2

    /** Whether the free slots are left to a higher class that was seen lately. */
    fun isKeptFrom(
        need: TaskNeed,
        nowMillis: Long,
    ): Boolean {
        if (need.priority <= topPriority) return false
        lowerSeenAtMillis = nowMillis
        if (nowMillis - topSeenAtMillis <= CLASS_MEMORY_MILLIS) return room <= headroom
        topPriority = need.priority
        return false
    }

    /** Whether [need] is of the highest class while lower classes are present. */
    fun isTopClass(
        need: TaskNeed,
        nowMillis: Long,
    ): Boolean = need.priority <= topPriority && nowMillis - lowerSeenAtMillis <= CLASS_MEMORY_MILLIS

    /** Adapts the headroom to how often the highest class finds no room. */
    fun onChoice(
        need: TaskNeed,
        foundRoom: Boolean,
        nowMillis: Long,
    ) {
        if (need.priority > topPriority) return
        if (need.priority < topPriority) headroom = 0.0
        topPriority = need.priority
        topSeenAtMillis = nowMillis
        val change = if (foundRoom) -HEADROOM_STEP * ACCEPTED_MISSES else HEADROOM_STEP
        headroom = (headroom + change).coerceIn(0.0, fairShares * MAX_HEADROOM_SHARE)
    }

    /** Moves [target] to the sets for its present state. */
    fun index(
        target: PooledTarget,
        old: IndexedState,
        new: IndexedState,
    ) {
        if (old.accepting != new.accepting) accepting.set(target, new.accepting)
        if (old.isolated != new.isolated) isolated.set(target, new.isolated)
        if (old.place != new.place) {
            setOf(old.place)?.set(target, false)
            setOf(new.place)?.set(target, true)
        }
        inFlight += new.inFlight - old.inFlight
        room += new.room - old.room
        fairShares += new.fairShare - old.fairShare
        slots += new.slots - old.slots
    }

    private fun setOf(place: IndexedState.Place): IndexedSet<PooledTarget>? =
        when (place) {
            IndexedState.Place.NONE -> null
            IndexedState.Place.WITH_ROOM -> withRoom
            IndexedState.Place.FULL -> full
            IndexedState.Place.PROBE -> probes
        }

    fun updateSizes() {
        leastMemoryMb = accepting.minOfOrNull { it.instance.memoryMb } ?: Int.MAX_VALUE
        leastAccelerators = accepting.minOfOrNull { it.instance.accelerators } ?: Int.MAX_VALUE
    }

    fun everyTargetFits(need: TaskNeed): Boolean =
        need.memoryMb <= leastMemoryMb && need.accelerators <= leastAccelerators

    /**
     * Returns [ratio] of actual over expected run time, relative to the usual one of the same service and class.
     *
     * Declared run times can be wrong for a whole service or kind; a target is slow only in comparison.
     */
    fun normalise(
        need: TaskNeed,
        ratio: Double,
    ): Double {
        val usual = slownessByPriority[need.priority]
        if (usual == null) {
            slownessByPriority[need.priority] = ratio
            slowness += SLOWNESS_RATE * (ratio - slowness)
            return 1.0
        }
        val relative = min(MAX_RELATIVE, ratio / usual)
        slownessByPriority[need.priority] = max(MIN_RATIO, usual + SLOWNESS_RATE * usual * (relative - 1))
        slowness += SLOWNESS_RATE * (usual * relative - slowness)
        return relative
    }

    companion object {
        /** Slower than the rate of a single target, because it is fed by all of them. */
        private const val SLOWNESS_RATE = 0.02

        /** A class counts as present for this long after its last task. */
        private const val CLASS_MEMORY_MILLIS = 10_000L

        private const val HEADROOM_STEP = 0.5

        /** Ratio of choices of the highest class without and with room at which the headroom stays the same. */
        private const val ACCEPTED_MISSES = 0.05

        /**
         * Part of the fair shares that lower classes may lose.
         *
         * Measured in the fleet model at twice the capacity: 0 gives a p99 slowdown of the highest class of 1.40 and
         * uses 0.98 of all slots, 0.12 gives 1.22 and 0.90, 0.15 gives 1.19 and 0.88.
         */
        private const val MAX_HEADROOM_SHARE = 0.15

        /** One extreme straggler must not decide the average alone. */
        private const val MAX_RELATIVE = 20.0

        /** Bounds the ratio for tasks that end within less than 1 ms. */
        const val MIN_RATIO = 0.001
    }
}
