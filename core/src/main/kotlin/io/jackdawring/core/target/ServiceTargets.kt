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

    /** Last time at which a lower class than the highest one found no room or was kept from it. */
    private var lowerMissedAtMillis = Long.MIN_VALUE / 2

    /** Moving average over time of whether lower classes wait. */
    private var backlog = 0.0
    private var backlogAtMillis = 0L

    /** Time of the last choice that found no room. */
    var noRoomAtMillis = Long.MIN_VALUE / 2

    /** Earliest time of the next start on a target that is believed to be full. */
    var nextForcedMillis = Long.MIN_VALUE / 2

    /** Notes a task of a lower class, also if it becomes a probe. */
    fun notePresence(
        need: TaskNeed,
        nowMillis: Long,
    ) {
        if (need.priority > topPriority) lowerSeenAtMillis = nowMillis
    }

    /** Whether the free slots are left to a higher class that was seen lately. */
    fun isKeptFrom(
        need: TaskNeed,
        nowMillis: Long,
    ): Boolean {
        if (need.priority <= topPriority) return false
        learnBacklog(nowMillis)
        if (nowMillis - topSeenAtMillis <= CLASS_MEMORY_MILLIS) {
            val kept = room <= headroom
            if (kept) lowerMissedAtMillis = nowMillis
            return kept
        }
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
        if (need.priority > topPriority) {
            if (!foundRoom) lowerMissedAtMillis = nowMillis
            return
        }
        learnBacklog(nowMillis)
        if (need.priority < topPriority) headroom = 0.0
        topPriority = need.priority
        topSeenAtMillis = nowMillis
        val change = if (foundRoom) -HEADROOM_STEP * ACCEPTED_MISSES else HEADROOM_STEP
        headroom = (headroom + change).coerceIn(0.0, fairShares * MAX_HEADROOM_SHARE * overload())
    }

    /** Learns whether lower classes waited since the last call. */
    private fun learnBacklog(nowMillis: Long) {
        val passedMillis = min(MAX_BACKLOG_STEP_MILLIS, nowMillis - backlogAtMillis)
        if (passedMillis <= 0) return
        backlogAtMillis = nowMillis
        val waiting = if (nowMillis - lowerMissedAtMillis <= BACKLOG_MILLIS) 1.0 else 0.0
        backlog += passedMillis / (BACKLOG_MEMORY_MILLIS + passedMillis) * (waiting - backlog)
    }

    /** 0 while lower classes wait only now and then, 1 while they always wait. */
    private fun overload(): Double = max(0.0, (backlog - TRANSIENT_BACKLOG) / (1 - TRANSIENT_BACKLOG))

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
         * Part of the fair shares that lower classes may lose while they always wait.
         *
         * Measured in the fleet model at twice the capacity with 8 instances: 0 gives a p99 slowdown of the highest
         * class of 1.40 and uses 0.98 of all slots, 0.15 gives 1.19 and 0.88, 0.24 gives 1.15 and 0.86.
         */
        private const val MAX_HEADROOM_SHARE = 0.24

        /** Lower classes that wait choose again at every completion, which comes every few milliseconds. */
        private const val BACKLOG_MILLIS = 20L

        /**
         * Weight of the past in the moving average of the backlog.
         *
         * Averages over the last 50 jobs of the highest class instead followed bursts of 1,200 tasks too slowly: the
         * p99 slowdown of the highest class was 1.35 in the fleet model.
         */
        private const val BACKLOG_MEMORY_MILLIS = 2_000.0
        private const val MAX_BACKLOG_STEP_MILLIS = 1_000L

        /**
         * Average backlog up to which no slot is kept free.
         *
         * At 80% load lower classes wait now and then; a headroom would keep slots idle while they do.
         */
        private const val TRANSIENT_BACKLOG = 0.4

        /** One extreme straggler must not decide the average alone. */
        private const val MAX_RELATIVE = 20.0

        /** Bounds the ratio for tasks that end within less than 1 ms. */
        const val MIN_RATIO = 0.001
    }
}
