package io.jackdawring.core.target

import kotlin.math.max
import kotlin.math.min

/** Targets of one service, indexed by whether they can start a task now, and the class reservation of the service. */
internal class ServiceTargets {
    /** Targets that are listed and not leaving. */
    val accepting = IndexedSet<PooledTarget>()

    /** Usable targets on which this instance may start a task now. */
    val available = IndexedSet<PooledTarget>()

    /** Usable targets that are believed to be full but to which this instance may still open a connection. */
    val full = IndexedSet<PooledTarget>()

    /** Isolated or unreachable targets whose next probe is due. */
    val probes = IndexedSet<PooledTarget>()

    /** Isolated targets, whose number is bounded. */
    val isolated = IndexedSet<PooledTarget>()

    var inFlight = 0
        private set
    var availableSlots = 0
        private set
    var fairShares = 0
        private set
    var slots = 0
        private set

    /** Target whose answer arrived last and whose usage is therefore the most recent. */
    var lastAnswered: PooledTarget? = null

    /** Moving average of actual over expected run time of all tasks of the service. */
    var slowness = 1.0
        private set
    private val slownessByPriority = HashMap<Int, Double>()

    /** Smallest resources of any target; a task that needs no more than this can run on any sampled target. */
    private var minMemoryMb = Int.MAX_VALUE
    private var minAccelerators = Int.MAX_VALUE

    /** Highest priority class seen recently, and when it was last seen. */
    private var topPriority = Int.MAX_VALUE
    private var topClassSeenAtMillis = 0L
    private var lowerClassSeenAtMillis = Long.MIN_VALUE / 2

    /** Available slots that lower classes leave to the highest one. */
    private var headroom = 0.0

    /** Last time at which a class below the highest one found no slot or had to leave it to the highest one. */
    private var lowerClassWaitedAtMillis = Long.MIN_VALUE / 2

    /** Moving average of the fraction of time in which lower classes wait. */
    private var waitingFraction = 0.0
    private var waitingFractionAtMillis = 0L

    /** Time of the last choice that found no available slot. */
    var noSlotAtMillis = Long.MIN_VALUE / 2

    /** Earliest time of the next start on a target that is believed to be full. */
    var nextForcedStartMillis = Long.MIN_VALUE / 2

    /** Records the presence of a lower class, also if its task becomes a probe. */
    fun recordLowerClass(
        requirements: TaskRequirements,
        nowMillis: Long,
    ) {
        if (requirements.priority > topPriority) lowerClassSeenAtMillis = nowMillis
    }

    /** Whether the available slots are reserved for a higher class that was seen recently. */
    fun isReservedForHigherClass(
        requirements: TaskRequirements,
        nowMillis: Long,
    ): Boolean {
        if (requirements.priority <= topPriority) return false
        updateWaitingFraction(nowMillis)
        if (nowMillis - topClassSeenAtMillis <= CLASS_PRESENCE_MILLIS) {
            val reserved = availableSlots <= headroom
            if (reserved) lowerClassWaitedAtMillis = nowMillis
            return reserved
        }
        topPriority = requirements.priority
        return false
    }

    /** Whether the task is of the highest class while lower classes are present. */
    fun isTopClass(
        requirements: TaskRequirements,
        nowMillis: Long,
    ): Boolean = requirements.priority <= topPriority && nowMillis - lowerClassSeenAtMillis <= CLASS_PRESENCE_MILLIS

    /** Adapts the headroom to how often the highest class finds no available slot. */
    fun onChoice(
        requirements: TaskRequirements,
        foundSlot: Boolean,
        nowMillis: Long,
    ) {
        if (requirements.priority > topPriority) {
            if (!foundSlot) lowerClassWaitedAtMillis = nowMillis
            return
        }
        updateWaitingFraction(nowMillis)
        if (requirements.priority < topPriority) headroom = 0.0
        topPriority = requirements.priority
        topClassSeenAtMillis = nowMillis
        val change = if (foundSlot) -HEADROOM_STEP * ACCEPTED_MISS_RATIO else HEADROOM_STEP
        headroom = (headroom + change).coerceIn(0.0, fairShares * MAX_HEADROOM_SHARE * overloadFactor())
    }

    /** Updates the average with whether lower classes waited since the last call. */
    private fun updateWaitingFraction(nowMillis: Long) {
        val passedMillis = min(MAX_WAITING_STEP_MILLIS, nowMillis - waitingFractionAtMillis)
        if (passedMillis <= 0) return
        waitingFractionAtMillis = nowMillis
        val waiting = if (nowMillis - lowerClassWaitedAtMillis <= RECENT_WAIT_MILLIS) 1.0 else 0.0
        waitingFraction += passedMillis / (WAITING_TIME_CONSTANT_MILLIS + passedMillis) * (waiting - waitingFraction)
    }

    /** 0 while lower classes wait only occasionally, 1 while they always wait. */
    private fun overloadFactor(): Double =
        max(
            0.0,
            (waitingFraction - TRANSIENT_WAITING_FRACTION) / (1 - TRANSIENT_WAITING_FRACTION),
        )

    /** Moves [target] from the sets and sums of its [old] state to those of its [new] state. */
    fun updateIndex(
        target: PooledTarget,
        old: IndexedState,
        new: IndexedState,
    ) {
        if (old.accepting != new.accepting) accepting.set(target, new.accepting)
        if (old.isolated != new.isolated) isolated.set(target, new.isolated)
        if (old.targetSet != new.targetSet) {
            setFor(old.targetSet)?.set(target, false)
            setFor(new.targetSet)?.set(target, true)
        }
        inFlight += new.inFlight - old.inFlight
        availableSlots += new.availableSlots - old.availableSlots
        fairShares += new.fairShare - old.fairShare
        slots += new.slots - old.slots
    }

    private fun setFor(targetSet: IndexedState.TargetSet): IndexedSet<PooledTarget>? =
        when (targetSet) {
            IndexedState.TargetSet.NONE -> null
            IndexedState.TargetSet.AVAILABLE -> available
            IndexedState.TargetSet.FULL -> full
            IndexedState.TargetSet.PROBE -> probes
        }

    fun updateMinResources() {
        minMemoryMb = accepting.minOfOrNull { it.instance.memoryMb } ?: Int.MAX_VALUE
        minAccelerators = accepting.minOfOrNull { it.instance.accelerators } ?: Int.MAX_VALUE
    }

    fun everyTargetFits(requirements: TaskRequirements): Boolean =
        requirements.memoryMb <= minMemoryMb && requirements.accelerators <= minAccelerators

    /**
     * Updates the average with [ratio] of actual to expected run time, and returns it relative to the class's average.
     *
     * Declared run times can be wrong for a whole service or kind of task, so only relative slowness is meaningful.
     */
    fun learnRelativeSlowness(
        requirements: TaskRequirements,
        ratio: Double,
    ): Double {
        val typical = slownessByPriority[requirements.priority]
        if (typical == null) {
            slownessByPriority[requirements.priority] = ratio
            slowness += SLOWNESS_SMOOTHING * (ratio - slowness)
            return 1.0
        }
        val relative = min(MAX_RELATIVE_SLOWNESS, ratio / typical)
        slownessByPriority[requirements.priority] =
            max(MIN_SLOWNESS, typical + SLOWNESS_SMOOTHING * typical * (relative - 1))
        slowness += SLOWNESS_SMOOTHING * (typical * relative - slowness)
        return relative
    }

    companion object {
        /** Lower than the rate of a single target, because the ratios of all targets are averaged. */
        private const val SLOWNESS_SMOOTHING = 0.02

        /** A class counts as present for this long after its last task. */
        private const val CLASS_PRESENCE_MILLIS = 10_000L

        private const val HEADROOM_STEP = 0.5

        /** Ratio of the highest class's choices without a slot to those with one that keeps the headroom constant. */
        private const val ACCEPTED_MISS_RATIO = 0.05

        /**
         * Fraction of the fair shares that may be reserved while lower classes always wait.
         *
         * In the fleet model at twice the capacity with 8 instances, 0 gives a p99 slowdown of the highest
         * class of 1.40 and uses 0.98 of all slots, 0.15 gives 1.19 and 0.88, 0.24 gives 1.15 and 0.86.
         */
        private const val MAX_HEADROOM_SHARE = 0.24

        /** Waiting lower classes retry at every completion, and completions arrive every few milliseconds. */
        private const val RECENT_WAIT_MILLIS = 20L

        /**
         * Time constant of the moving average of waiting.
         *
         * An average over the last 50 jobs of the highest class followed bursts of 1,200 tasks too slowly: the p99
         * slowdown of the highest class was 1.35 in the fleet model.
         */
        private const val WAITING_TIME_CONSTANT_MILLIS = 2_000.0
        private const val MAX_WAITING_STEP_MILLIS = 1_000L

        /**
         * Average fraction of waiting up to which no slot is reserved.
         *
         * At 80% load lower classes wait occasionally, and reserved slots would stay idle meanwhile.
         */
        private const val TRANSIENT_WAITING_FRACTION = 0.4

        /** Limits the influence of a single extreme straggler on the average. */
        private const val MAX_RELATIVE_SLOWNESS = 20.0

        /** Lower bound of the ratio, for tasks that end within 1 ms. */
        const val MIN_SLOWNESS = 0.001
    }
}
