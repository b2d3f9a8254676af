package io.jackdawring.core.shard

/** Decides from the lists of the targets and from leases when all runs of previous holders are known or over. */
internal class PreviousRunsCheck(
    private val registry: TargetRegistry,
    private val cutOff: CutOffHolders,
    private val maxLeaseMillis: Long,
) {
    /** Time of the first tick; null before. */
    private var heldSinceMillis: Long? = null

    /** Whether a holder that may be cut off possibly runs durable jobs, unless it has stopped. */
    var mayDurableRunsGoOn = false

    private val areAllListed: Boolean
        get() = registry.knowsAllWithRuns && cutOff.areRunsKnown && registry.targets.all { it.hasAnswered }

    fun onTick(nowMillis: Long) {
        heldSinceMillis = heldSinceMillis ?: nowMillis
    }

    /** Time for which this holder has held the shard. */
    fun heldMillis(nowMillis: Long): Long = heldSinceMillis?.let { nowMillis - it } ?: 0

    /** What is known of the runs of [job]. */
    fun state(
        job: TrackedJob,
        nowMillis: Long,
    ): PreviousRuns = if (job.isDurable) durableState(nowMillis) else awaitedState(job.firstFencingToken, nowMillis)

    /** What is known of the runs of a job that callers wait for and that was first sent to the holder with [firstToken]. */
    fun awaitedState(
        firstToken: Long,
        nowMillis: Long,
    ): PreviousRuns {
        val mayRunAtCutOffHolder = cutOff.upToToken?.let { firstToken <= it } == true
        return when {
            mayRunAtCutOffHolder || mayHaveMoreEnds() -> PreviousRuns.UNCERTAIN
            areAllListed -> PreviousRuns.LISTED
            areLeasesOver(firstToken, nowMillis) -> PreviousRuns.LEASES_ENDED
            else -> PreviousRuns.UNCERTAIN
        }
    }

    /** What is known of the runs of durable jobs, which a holder that is cut off stops itself. */
    private fun durableState(nowMillis: Long): PreviousRuns =
        when {
            mayHaveMoreEnds() -> PreviousRuns.UNCERTAIN
            areDurableRunsListed(nowMillis) -> PreviousRuns.LISTED
            areLeasesOver(Long.MAX_VALUE, nowMillis) -> PreviousRuns.LEASES_ENDED
            registry.firstListedAtMillis == null && areDurableRunsOver(nowMillis) -> PreviousRuns.LEASES_ENDED
            else -> PreviousRuns.UNCERTAIN
        }

    private fun mayHaveMoreEnds() = registry.targets.any { it.mayHaveMoreEnds }

    /** Whether all leases are over, even of holders that had the job since [firstToken] and have stopped late. */
    private fun areLeasesOver(
        firstToken: Long,
        nowMillis: Long,
    ): Boolean {
        val listedAt = registry.firstListedAtMillis ?: return false
        return nowMillis - maxOf(listedAt, cutOff.lastStopMillis(firstToken) ?: listedAt) >= maxLeaseMillis
    }

    private fun areDurableRunsListed(nowMillis: Long): Boolean {
        val mayGoOn = mayDurableRunsGoOn && cutOff.upToToken != null && !isOwnershipOver(nowMillis)
        return !mayGoOn && areAllListed
    }

    /** Whether the ownership of each earlier holder has expired since, and the leases of its durable runs have ended. */
    private fun isOwnershipOver(nowMillis: Long): Boolean =
        heldMillis(nowMillis) >= ShardOwnership.LIFETIME_MILLIS + 2 * maxLeaseMillis

    /**
     * Whether no run of a durable job that previous holders started goes on, not even on targets that are out of reach.
     *
     * A previous holder that is cut off stops such runs when its [ShardOwnership] expires.
     */
    fun areDurableRunsOver(nowMillis: Long): Boolean {
        if (heldSinceMillis == null || mayHaveMoreEnds()) return false
        return areDurableRunsListed(nowMillis) || isOwnershipOver(nowMillis)
    }
}
