package io.jackdawring.core.shard

/** Decides from the lists of the targets and the time when all runs of previous holders are known or over. */
internal class PreviousRunsCheck(
    private val registry: TargetRegistry,
    private val maxLeaseMillis: Long,
) {
    /** Time of the first tick; null before. */
    private var heldSinceMillis: Long? = null

    private val areAllListed: Boolean get() = registry.knowsAllWithRuns && registry.targets.all { it.hasAnswered }

    fun onTick(nowMillis: Long) {
        heldSinceMillis = heldSinceMillis ?: nowMillis
    }

    fun state(nowMillis: Long): PreviousRuns {
        if (registry.targets.any { it.mayHaveMoreEnds }) return PreviousRuns.UNCERTAIN
        val since = registry.firstListedAtMillis
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
