package io.jackdawring.core.shard

/** Decides from the lists of the targets and the time when all runs of previous holders are known or over. */
internal class PreviousRunsCheck(
    private val registry: TargetRegistry,
    private val maxLeaseMillis: Long,
) {
    /** Time of the first tick; null before. */
    private var heldSinceMillis: Long? = null

    /**
     * Whether the previous holder may be alive and cut off, so that it renews leases for as long as no target rejects it.
     *
     * Runs of durable jobs are excepted: it stops those itself.
     */
    var mayHolderBeCutOff = false

    private val areAllListed: Boolean get() = registry.knowsAllWithRuns && registry.targets.all { it.hasAnswered }

    fun onTick(nowMillis: Long) {
        heldSinceMillis = heldSinceMillis ?: nowMillis
    }

    /** Time for which this holder has held the shard. */
    fun heldMillis(nowMillis: Long): Long = heldSinceMillis?.let { nowMillis - it } ?: 0

    /** What is known of the runs of all jobs, or of durable jobs only. */
    fun state(
        nowMillis: Long,
        durableOnly: Boolean,
    ): PreviousRuns {
        if (registry.targets.any { it.mayHaveMoreEnds }) return PreviousRuns.UNCERTAIN
        val since = registry.firstListedAtMillis.takeIf { durableOnly || !mayHolderBeCutOff }
        return when {
            areAllListed -> PreviousRuns.LISTED
            since != null && nowMillis - since >= maxLeaseMillis -> PreviousRuns.LEASES_ENDED
            since == null && areOver(nowMillis) -> PreviousRuns.LEASES_ENDED
            else -> PreviousRuns.UNCERTAIN
        }
    }

    /**
     * Whether no run that previous holders started goes on, not even on targets that are out of reach.
     *
     * A previous holder that is cut off notices that only when its [ShardOwnership] expires.
     */
    fun areOver(nowMillis: Long): Boolean {
        val since = heldSinceMillis ?: return false
        if (registry.targets.any { it.mayHaveMoreEnds }) return false
        return areAllListed || nowMillis - since >= ShardOwnership.LIFETIME_MILLIS + 2 * maxLeaseMillis
    }
}
