package io.jackdawring.core.target

import io.jackdawring.core.EntryOptions
import io.jackdawring.core.InstanceList
import io.jackdawring.core.StateChange
import io.jackdawring.core.TargetAnswer
import io.jackdawring.core.TargetId
import io.jackdawring.core.TargetStatus
import io.jackdawring.core.membership.TargetFact

/** Knows the targets, chooses one for each start and learns from every answer. */
internal interface TargetPool {
    /** Applies the platform's list; a target that is no longer listed gets nothing new. */
    fun applyList(
        list: InstanceList,
        nowMillis: Long,
    )

    /** Applies a fact observed by a peer and returns whether it was news. */
    fun applyFact(
        fact: TargetFact,
        nowMillis: Long,
    ): Boolean

    /** Facts to put into the next digest; each is returned for a limited number of rounds. */
    fun takeFacts(): List<TargetFact>

    /** Whether facts became known since the last call that peers should get at once. */
    fun takeUrgentFlag(): Boolean

    /**
     * Sets the number of entry instances that share every target, this one included.
     *
     * [rank] is the position of this instance among them, from 0; without it the remainder of slots that cannot be
     * divided evenly is only shared out approximately.
     */
    fun setEntryInstances(
        entryInstances: Int,
        rank: Int? = null,
    )

    /**
     * Tells how many tasks all other instances run, as gossip has it.
     *
     * While the fleet is almost idle, targets without a recent report are taken to be as busy as the fleet on average.
     */
    fun updateFleetLoad(
        othersInFlight: Int,
        nowMillis: Long,
    )

    /** Whether any usable target can ever meet [need], and whether one has room now. */
    fun availability(need: TaskNeed): Availability

    /** Chooses a target with room for [need] and takes one of its slots, or returns null. */
    fun choose(
        need: TaskNeed,
        nowMillis: Long,
    ): ChosenTarget?

    /**
     * Returns the slot of a start and learns from its [answer].
     *
     * [elapsedMillis] is the time since the start. [answer] is null if this instance cancelled the start. Returns the
     * services that may have more room now.
     */
    fun complete(
        targetId: TargetId,
        need: TaskNeed,
        answer: TargetAnswer?,
        elapsedMillis: Long,
        nowMillis: Long,
    ): Collection<String>

    /** Time at which [choose] may succeed again although no start has completed, or null. */
    fun nextTimerMillis(): Long?

    /** Performs the work that is due at [nowMillis]. */
    fun onTimer(nowMillis: Long)

    /** Slots that this instance can use for [service] now and in total, for estimates of the waiting time. */
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

/** A target that was chosen for one start. */
internal data class ChosenTarget(
    val targetId: TargetId,
    val address: String,
)

/** Whether a need can be met. */
internal enum class Availability {
    /** No target of the service is usable. */
    NO_TARGETS,

    /** The service has usable targets, but none is large enough. */
    NEVER,

    /** A target can meet the need, now or when a slot becomes free. */
    POSSIBLE,
}

/**
 * Slots of a service that this instance can use now.
 *
 * [slowness] is the mean of actual over expected run time. [fleetSlots] counts all slots of the usable targets, which
 * this instance can borrow while they are idle.
 */
internal data class PoolCapacity(
    val usableSlots: Int,
    val inFlight: Int,
    val slowness: Double,
    val fleetSlots: Int = usableSlots,
)
