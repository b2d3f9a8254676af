package io.jackdawring.core.shard

/** What the holder believes about one target. */
internal class HeldTarget(
    facts: ShardTarget,
    /** Number in the order in which the targets became known. */
    val sequence: Int,
    private val byRoom: TargetsByRoom,
) {
    var facts = facts
        set(value) {
            field = value
            recount()
        }
    val id get() = facts.id
    val runs = LinkedHashMap<TaskKey, HeldRun>()
    val record = TargetRecord()
    var contact = Contact.NEW

    /** Whether this holder has ever seen what runs there. */
    var seen = false

    /** Time from which the platform no longer lists the target; null while it does. */
    var unlistedSinceMillis: Long? = null

    /** Highest end that was processed in the incarnation [bornMillis]. */
    var processedEnd = 0L

    /** Processed ends whose effect is not stored yet, in the order of their sequences. */
    val openEnds = ArrayDeque<OpenEnd>()

    /** Highest end that the target may forget. */
    val acknowledgedEnd: Long get() = openEnds.firstOrNull()?.let { it.sequence - 1 } ?: processedEnd
    var bornMillis: Long? = null

    /** Highest end that the target was told to forget in a look that it answered. */
    var forgottenEnd = 0L

    /** Time of the last answer to a look. */
    var answeredAtMillis = Long.MIN_VALUE / 2

    /** Lower bound of the target's clock minus the steady clock; null before the first answer. */
    var clockOffsetMillis: Long? = null
    var lookSequence = 0L
    var lookOpen = false
    var lookSentAtMillis = 0L
    var nextLookMillis = 0L

    /** Latest steady time at which a lease that was asked for can end. */
    var leaseOverAtMillis = Long.MIN_VALUE

    /** Whether starts are paused because something runs that no job has claimed. */
    val hasUnclaimedRuns: Boolean get() = runs.values.any { it.owner == null }

    var free = facts.capacity
        private set

    init {
        byRoom.add(this)
    }

    /** Whether the target may be used; an entry that lapsed with the store returns within the grace if it is alive. */
    fun isListed(nowMillis: Long): Boolean = unlistedSinceMillis?.let { nowMillis - it < UNLISTED_GRACE_MILLIS } ?: true

    fun add(run: HeldRun) {
        runs[run.key] = run
        recount()
    }

    fun remove(run: HeldRun) {
        if (runs[run.key] === run) runs.remove(run.key)
        recount()
    }

    fun recount() {
        byRoom.remove(this)
        free = runs.values.fold(facts.capacity) { left, run -> left - run.demand }
        byRoom.add(this)
    }

    fun describe(nowMillis: Long) =
        TargetView(
            id,
            contact.name.lowercase(),
            if (seen) nowMillis - answeredAtMillis else null,
            unlistedSinceMillis == null,
            facts.draining,
            record.isSuspended(nowMillis),
            runs.size,
            free,
            record.speed,
        )

    /** State of the connection to a target. */
    enum class Contact {
        /** Not yet listed by this holder. */
        NEW,

        /** The last look was answered. */
        HELD,

        /** The last look or start was not answered. */
        SILENT,
    }

    private companion object {
        /** The platform's pages give living targets about two seconds to return to the list. */
        const val UNLISTED_GRACE_MILLIS = 2_500L
    }
}
