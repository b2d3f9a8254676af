package io.jackdawring.core.shard

/**
 * Decides until when runs of earlier holders wait for a relay that claims them.
 *
 * The caller of such a run may have gone; it sends its job again, to any shard, [ShardOptions.resendAfterMillis] after
 * that, and the run has to be over by then. So the wait is counted from the latest time at which all callers of the
 * runs that may go on were known to wait, and never from the time at which this holder learned of something.
 */
internal class AdoptionWindow(
    private val options: ShardOptions,
    private val maxLeaseMillis: Long,
    private val cutOff: CutOffHolders,
) {
    /** Covers the runs of all holders before the predecessor that were not cut off. */
    private var predecessor: ServiceStatement? = null

    /** Fencing token of the predecessor; null if it has not handed the shard over. */
    var predecessorToken: Long? = null

    /** Whether the predecessor knew of holders that were cut off, and whose runs its statement does not cover. */
    var mayOthersBeCutOff = false

    private val statements: List<ServiceStatement>
        get() = listOfNotNull(predecessor) + cutOff.statements(exceptToken = predecessorToken)

    /** Whether a holder that was cut off may have run jobs until now, and has stated nothing. */
    private val isUnknown: Boolean get() = mayOthersBeCutOff && cutOff.upToToken != null || statements.isEmpty()

    /** Records that, as the predecessor knew at [madeAtMillis], all callers of its runs waited at [servedAtMillis]. */
    fun onPredecessorServed(
        servedAtMillis: Long,
        madeAtMillis: Long,
    ) {
        val known = predecessor
        if (known != null && known.servedAtMillis >= servedAtMillis) return
        predecessor = ServiceStatement(servedAtMillis, madeAtMillis)
    }

    /** Whether runs that a holder knew when it made [statement] can go on at [atMillis]. */
    private fun isRelevant(
        statement: ServiceStatement,
        atMillis: Long,
    ): Boolean {
        val backAtMillis = statement.servedAtMillis + options.resendAfterMillis
        return atMillis < maxOf(backAtMillis, statement.madeAtMillis + maxLeaseMillis)
    }

    /** Time from which the wait of a run that was found at [foundAtMillis] is counted; null if that is not known. */
    fun servedAtMillis(foundAtMillis: Long): Long? {
        if (isUnknown) return null
        val relevant = statements.filter { isRelevant(it, foundAtMillis) }
        return relevant.minOfOrNull { it.servedAtMillis } ?: statements.maxOf { it.servedAtMillis }
    }

    /** Time since which callers of runs of earlier holders may have gone; null if none of these runs can go on. */
    fun openSinceMillis(nowMillis: Long): Long? =
        statements.filter { isRelevant(it, nowMillis) }.minOfOrNull { it.servedAtMillis }

    /** Whether unclaimed runs may get new leases; without, they end by the leases that earlier holders renewed. */
    fun mayRenewLeases(areJobsLoaded: Boolean): Boolean = areJobsLoaded || !isUnknown

    /**
     * Time at which a run that was found at [foundAtMillis] is stopped unless it is claimed before.
     *
     * Unless [areJobsLoaded], it may be a run of a durable job, which is kept for as long as possible.
     */
    fun endsAtMillis(
        foundAtMillis: Long,
        areJobsLoaded: Boolean,
    ): Long {
        val earliest = foundAtMillis + CLAIM_MILLIS
        val servedAt = servedAtMillis(foundAtMillis) ?: return if (areJobsLoaded) earliest else Long.MAX_VALUE
        val latest = servedAt + options.resendAfterMillis - options.stopMillis - STOP_MARGIN_MILLIS
        return if (!areJobsLoaded) latest else minOf(maxOf(earliest, servedAt + options.adoptionTimeoutMillis), latest)
    }

    /**
     * Time at which a lease has to end that an unclaimed run found at [foundAtMillis] gets.
     *
     * If nothing is known, its caller may come back as soon as the run is stopped.
     */
    fun leaseEndsAtMillis(foundAtMillis: Long): Long {
        val servedAt = servedAtMillis(foundAtMillis)
        val backAt =
            servedAt?.let { it + options.resendAfterMillis } ?: (foundAtMillis + CLAIM_MILLIS + STOP_MARGIN_MILLIS)
        return backAt + options.stopMillis
    }

    private companion object {
        /** Time in which relays that know the new holder send it their jobs; several of their retry intervals. */
        const val CLAIM_MILLIS = 150L

        /** Covers a tick, the network and one lost stop request. */
        const val STOP_MARGIN_MILLIS = 100L
    }
}
