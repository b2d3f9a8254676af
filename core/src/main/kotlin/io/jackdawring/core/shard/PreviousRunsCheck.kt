package io.jackdawring.core.shard

/** Decides from the lists of the targets and from leases when all runs of previous holders are known or over. */
internal class PreviousRunsCheck(
    private val registry: TargetRegistry,
    private val cutOff: CutOffHolders,
    private val maxLeaseMillis: Long,
) {
    /** Time of the first tick; null before. */
    private var heldSinceMillis: Long? = null

    /** Time at which earlier holders were known to have lost their ownership; null before. */
    private var earlierStoppedAtMillis: Long? = null

    /** Whether a holder that may be cut off possibly runs durable jobs, unless it has stopped. */
    var mayDurableRunsGoOn = false

    /** Whether the lists of the targets have all runs of earlier holders. */
    val areAllListed: Boolean
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

    /** What is known of the runs of durable jobs; a holder that is cut off stops those itself. */
    private fun durableState(nowMillis: Long): PreviousRuns =
        when {
            mayHaveMoreEnds() || mayEarlierHoldersGoOn -> PreviousRuns.UNCERTAIN
            areAllDurableListed -> PreviousRuns.LISTED
            areDurableLeasesOver(registry.firstListedAtMillis, nowMillis) -> PreviousRuns.LEASES_ENDED
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

    /** Whether an earlier holder that is cut off may still start durable runs or renew their leases. */
    private val mayEarlierHoldersGoOn: Boolean
        get() = mayDurableRunsGoOn && cutOff.upToToken != null && earlierStoppedAtMillis == null

    /** Whether the lists have all durable runs; one that has lost its ownership has not said which targets it used. */
    private val areAllDurableListed: Boolean
        get() = areAllListed && !(mayDurableRunsGoOn && cutOff.upToToken != null)

    /** Records that no earlier holder starts durable runs, or renews their leases, from [nowMillis] on. */
    fun onEarlierHoldersStopped(nowMillis: Long) {
        earlierStoppedAtMillis = earlierStoppedAtMillis ?: nowMillis
    }

    /** Whether a lease has passed since [sinceMillis] and since the last earlier holder has stopped. */
    private fun areDurableLeasesOver(
        sinceMillis: Long?,
        nowMillis: Long,
    ): Boolean {
        val startMillis = sinceMillis ?: heldSinceMillis ?: return false
        val stops = listOfNotNull(earlierStoppedAtMillis.takeIf { mayDurableRunsGoOn }, cutOff.lastStopMillis(0))
        return nowMillis - (stops + startMillis).max() >= maxLeaseMillis
    }

    /**
     * Whether no run of a durable job that previous holders started goes on, not even on targets that are out of reach.
     *
     * The lease of such a run ends once nobody renews it.
     */
    fun areDurableRunsOver(nowMillis: Long): Boolean {
        if (heldSinceMillis == null || mayHaveMoreEnds() || mayEarlierHoldersGoOn) return false
        return areAllDurableListed || areDurableLeasesOver(heldSinceMillis, nowMillis)
    }
}
