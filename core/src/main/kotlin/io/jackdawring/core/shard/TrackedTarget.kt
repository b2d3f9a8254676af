package io.jackdawring.core.shard

import io.jackdawring.core.shard.interference.NeighbourLog

/** The holder's state of one target: its registration, polls, lease and runs. */
internal class TrackedTarget(
    registration: ShardTarget,
    /** Position of the target in the order of discovery. */
    val sequence: Int,
    private val byFreeCpu: TargetsByFreeCpu,
    val evacuation: Evacuation,
) {
    var registration = registration
        set(value) {
            field = value
            updateFree()
        }
    val id get() = registration.id

    /** Address in the platform's list; that of [registration] is the one in use. */
    var listedAddress = registration.address

    /** Address from which the target last answered, to this holder or to the previous one; null if that is not known. */
    private var confirmedAddress: String? = null

    /** The registration with the address from which the target last answered. */
    val confirmedRegistration: ShardTarget
        get() = confirmedAddress?.let { registration.copy(address = it) } ?: registration

    /** Whether the list names the address in use, and the target has answered from there. */
    val isAddressCertain: Boolean get() = listedAddress == confirmedAddress && listedAddress == registration.address

    /** Records that the target has answered from the address in use. */
    fun confirmAddress() {
        confirmedAddress = registration.address
    }

    /** Lets [address], at which the previous holder has reached the target, be tried too. */
    fun suggestAddress(address: String) {
        confirmedAddress = confirmedAddress ?: address
    }

    /** Uses the address in the list from now on; returns whether that is another one. */
    fun useListedAddress(): Boolean {
        if (registration.address == listedAddress) return false
        registration = registration.copy(address = listedAddress)
        return true
    }

    /** Tries the listed address and the confirmed one in turn, after a request to the other one has failed. */
    fun tryOtherAddress() {
        val confirmed = confirmedAddress
        if (!useListedAddress() && confirmed != null && confirmed != listedAddress) {
            registration = registration.copy(address = confirmed)
        }
    }

    val runs = LinkedHashMap<TaskKey, TrackedRun>()
    val unansweredStarts = UnansweredStarts()
    val health = TargetHealth()
    val warmUp = WarmUp()
    val neighbours = NeighbourLog()
    var contact = Contact.NEW

    /** Whether this holder has ever received the target's list of runs. */
    var hasAnswered = false

    /** Time since which the platform's target list lacks the target; null while the target is listed. */
    var unlistedSinceMillis: Long? = null

    /** Time of the first tick at which the target was silent; null unless it is silent. */
    var silentSinceMillis: Long? = null

    /** Sequence of the last ended run that was processed in the incarnation [incarnationStartMillis]. */
    var processedEnd = 0L

    /** Processed ended runs whose effect is not stored yet, ordered by sequence. */
    val pendingEnds = ArrayDeque<PendingEnd>()

    /** Whether the target's last list of ended runs was possibly incomplete, so that a missing run may have a result. */
    var mayHaveMoreEnds = false

    /** Sequence up to which the target may forget its ended runs. */
    val acknowledgedEnd: Long get() = pendingEnds.firstOrNull()?.let { it.sequence - 1 } ?: processedEnd
    var incarnationStartMillis: Long? = null

    /** Highest [acknowledgedEnd] that was sent in a poll that the target answered. */
    var confirmedAcknowledgedEnd = 0L

    /** Time of the last answer to a poll. */
    var lastAnswerAtMillis = Long.MIN_VALUE / 2

    /** Lower bound of the target's clock minus the monotonic clock; null before the first answer. */
    var clockOffsetMillis: Long? = null
    var pollSequence = 0L
    var pollInFlight = false
    var pollSentAtMillis = 0L
    var nextPollAtMillis = 0L

    /** Latest time on the monotonic clock at which a requested lease can expire. */
    var leaseExpiresAtMillis = Long.MIN_VALUE / 2

    /** Whether the last lease was shorter than others, because of runs without a job. */
    var isLeaseLimited = false

    /** Latest time at which a lease that a previous holder requested can expire. */
    var foreignLeaseExpiresAtMillis = Long.MIN_VALUE / 2

    /** Whether no lease can go on, so that all runs are over if the target cannot be asked. */
    fun isLeaseOver(nowMillis: Long): Boolean = nowMillis >= leaseEndMillis

    /** Latest time at which a lease of this holder or a previous one can expire. */
    val leaseEndMillis: Long get() = maxOf(leaseExpiresAtMillis, foreignLeaseExpiresAtMillis)

    /** Whether the target gets no starts, because a successor would not know that it may have runs. */
    var isHeldBack = false

    /**
     * Whether the target has no runs that no job has claimed, no run that goes on although it should stop, and room in
     * its list of ended runs.
     */
    val acceptsStarts: Boolean
        get() =
            !unansweredStarts.isOpen &&
                !isLeaseWithheld &&
                !isHeldBack &&
                !mayHaveMoreEnds &&
                pendingEnds.size < MAX_PENDING_ENDS &&
                runs.values.none { it.owner == null || it.isStopOverdue }

    /** Whether the lease may be renewed; it is not while a run should stop, so that the run ends in any case. */
    val mayRenewLease: Boolean
        get() = !unansweredStarts.isOpen && !isLeaseWithheld && runs.values.none { it.isStopUnanswered }

    /** Whether the lease has to end, because runs of durable jobs may belong to another holder by now. */
    var isLeaseWithheld = false

    /** Whether the target has runs that are, or may be, of durable jobs, or results of them that are not stored. */
    val hasDurableRuns: Boolean
        get() = pendingEnds.any { it.sequence > lapsedEnd } || runs.values.any { it.owner?.job?.isDurable != false }

    /** Sequence of the last ended run that was processed before the lease ended; its result counts no more. */
    private var lapsedEnd = 0L

    /** Forgets the ended runs of the former incarnation, whose numbers start anew. */
    fun onRestarted() {
        processedEnd = 0
        lapsedEnd = 0
    }

    /** Lets the lease end while this holder may not hold durable runs, with [mayHoldDurableRuns] it may be renewed. */
    fun updateWithheldLease(
        mayHoldDurableRuns: Boolean,
        nowMillis: Long,
    ) {
        if (isLeaseWithheld && isLeaseOver(nowMillis)) lapsedEnd = processedEnd
        isLeaseWithheld = !mayHoldDurableRuns && hasDurableRuns
    }

    /**
     * Whether no run that was started on probation is still undecided.
     *
     * Runs from before the suspension say nothing, and a long one only keeps others back until it is known to work.
     */
    val mayStartOnProbation: Boolean
        get() = !health.isOnProbation || runs.values.none { isProbe(it) && !it.works }

    private fun isProbe(run: TrackedRun) = !run.isAdopted && run.sentAtMillis >= health.suspendedAtMillis

    /** Records that the target lists [run]; a long-running task has succeeded once it is known to work. */
    fun onListed(run: TrackedRun) {
        if (health.isOnProbation && run.isLongRunning && isProbe(run) && run.works) health.clearFaults()
    }

    /** Run that must not have others beside it for a while after its start. */
    private var isolatedRun: TrackedRun? = null

    var free = registration.capacity
        private set

    /** Capacity that is free or becomes free when the runs end that are not long-running. */
    var releasable = registration.capacity
        private set

    init {
        byFreeCpu.add(this)
    }

    /** Whether the target is listed, with a grace period in which a live target whose registration expired returns. */
    fun isListed(nowMillis: Long): Boolean = unlistedSinceMillis?.let { nowMillis - it < UNLISTED_GRACE_MILLIS } ?: true

    fun add(run: TrackedRun) {
        runs[run.key] = run
        if (run.owner?.crashes?.isSuspicious == true) isolatedRun = run
        updateFree()
    }

    fun remove(run: TrackedRun) {
        if (runs[run.key] === run) runs.remove(run.key)
        if (isolatedRun === run) isolatedRun = null
        updateFree()
    }

    /** Whether no other run may start now, because a recent one may crash the target. */
    fun isReserved(nowMillis: Long): Boolean =
        isolatedRun?.let { nowMillis - it.sentAtMillis < ISOLATION_MILLIS } == true

    fun updateFree() {
        byFreeCpu.remove(this)
        free = runs.values.fold(registration.capacity) { left, run -> left - run.demand }
        releasable =
            runs.values.fold(registration.capacity) { left, run -> if (run.isLongRunning) left - run.demand else left }
        byFreeCpu.add(this)
    }

    fun toView(nowMillis: Long) =
        TargetView(
            id,
            contact.name.lowercase(),
            if (hasAnswered) nowMillis - lastAnswerAtMillis else null,
            unlistedSinceMillis == null,
            registration.draining,
            health.isSuspended(nowMillis),
            runs.size,
            free,
            health.speed,
        )

    /** State of the communication with a target. */
    enum class Contact {
        /** No poll of this holder was answered in the target's current incarnation. */
        NEW,

        /** A poll was answered, and no request has remained unanswered since. */
        HELD,

        /** A request remained unanswered, and no poll has been answered since. */
        SILENT,
    }

    private companion object {
        /** The platform's documentation gives live targets about two seconds to return to the list. */
        const val UNLISTED_GRACE_MILLIS = 2_500L

        /**
         * Ended runs that wait to be stored, from which on a target gets no starts.
         *
         * Targets list 500 ended runs at a time; results beyond that are unknown until earlier ones are stored.
         */
        const val MAX_PENDING_ENDS = 400

        /** Time for which a run that may crash its target has no others started beside it. */
        const val ISOLATION_MILLIS = 1_000L
    }
}
