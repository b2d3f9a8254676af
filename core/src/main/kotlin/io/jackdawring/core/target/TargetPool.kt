package io.jackdawring.core.target

import io.jackdawring.core.EntryOptions
import io.jackdawring.core.InstanceList
import io.jackdawring.core.StateChange
import io.jackdawring.core.TargetAnswer
import io.jackdawring.core.TargetId
import io.jackdawring.core.TargetStatus
import io.jackdawring.core.membership.TargetFact

/** Tracks the targets, chooses one for each start and updates its estimates from every answer. */
internal interface TargetPool {
    /** Applies the platform's instance list; a target that is no longer listed gets no new tasks. */
    fun applyList(
        list: InstanceList,
        nowMillis: Long,
    )

    /** Applies a fact observed by a peer and returns whether it was newer than the known one. */
    fun applyFact(
        fact: TargetFact,
        nowMillis: Long,
    ): Boolean

    /** Facts for the next gossip digest; each is returned for a limited number of rounds. */
    fun takeFacts(): List<TargetFact>

    /** Whether facts that must be gossiped at once became known since the last call. */
    fun takeUrgentFlag(): Boolean

    /**
     * Sets the number of entry instances that share every target, this one included.
     *
     * [rank] is the position of this instance among them, from 0. Without it, the slots that remain after an even
     * division are distributed only approximately.
     */
    fun setEntryInstances(
        entryInstances: Int,
        rank: Int? = null,
    )

    /**
     * Sets the number of tasks that all other instances run, as known from gossip.
     *
     * While the fleet is almost idle, targets without a recent report are assumed to have the average load.
     */
    fun updateFleetLoad(
        othersInFlight: Int,
        nowMillis: Long,
    )

    /** Whether any usable target can meet [requirements], now or once a slot becomes free. */
    fun availability(requirements: TaskRequirements): Availability

    /** Chooses a target that meets [requirements] and occupies one of its slots, or returns null if there is none. */
    fun choose(
        requirements: TaskRequirements,
        nowMillis: Long,
    ): ChosenTarget?

    /**
     * Releases the slot of a start and updates the estimates from its [answer].
     *
     * [elapsedMillis] is the time since the start. [answer] is null if this instance cancelled the start. Returns the
     * services that may have more available slots now.
     */
    fun complete(
        targetId: TargetId,
        requirements: TaskRequirements,
        answer: TargetAnswer?,
        elapsedMillis: Long,
        nowMillis: Long,
    ): Collection<String>

    /** Time at which [choose] may succeed again although no start has completed, or null. */
    fun nextTimerMillis(): Long?

    /** Performs the work that is due at [nowMillis]. */
    fun onTimer(nowMillis: Long)

    /** Slots of [service] that this instance can use, for estimates of the queueing delay. */
    fun capacity(service: String): PoolCapacity

    fun status(): List<TargetStatus>

    /** Creates target pools. */
    fun interface Factory {
        fun create(
            options: EntryOptions,
            report: (StateChange) -> Unit,
        ): TargetPool
    }
}

/** The target chosen for one start. */
internal data class ChosenTarget(
    val targetId: TargetId,
    val address: String,
)

/** Whether the requirements of a task can be met. */
internal enum class Availability {
    /** No target of the service is usable. */
    NO_TARGETS,

    /** The service has usable targets, but none is large enough. */
    NEVER,

    /** A target can meet the requirements, now or once a slot becomes free. */
    POSSIBLE,
}

/**
 * Slots of a service that this instance can use now.
 *
 * [slowness] is the mean ratio of actual to expected run time. [fleetSlots] counts all slots of the usable targets,
 * which this instance can borrow while they are idle.
 */
internal data class PoolCapacity(
    val usableSlots: Int,
    val inFlight: Int,
    val slowness: Double,
    val fleetSlots: Int = usableSlots,
)
