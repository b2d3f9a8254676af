package io.jackdawring.core.shard

/**
 * Decides until when runs of the previous holder wait for a relay that claims them.
 *
 * Callers that were connected to the previous holder send their jobs again, to any shard, [ShardOptions.resendAfterMillis]
 * after it has failed. Unclaimed runs have to be over by then.
 */
internal class AdoptionWindow(
    private val options: ShardOptions,
) {
    /** Time at which the previous holder was last known to hold the shard; null if that is not known. */
    var previousHolderSeenAtMillis: Long? = null

    /** Whether unclaimed runs may get new leases; without, they end by the leases that the previous holder renewed. */
    fun mayRenewLeases(areJobsLoaded: Boolean): Boolean = areJobsLoaded || previousHolderSeenAtMillis != null

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
        val seenAt = previousHolderSeenAtMillis ?: return if (areJobsLoaded) earliest else Long.MAX_VALUE
        val latest = seenAt + options.resendAfterMillis - options.stopMillis - STOP_MARGIN_MILLIS
        return if (!areJobsLoaded) latest else minOf(maxOf(earliest, seenAt + options.adoptionTimeoutMillis), latest)
    }

    private companion object {
        /** Time in which relays that know the new holder send it their jobs; several of their retry intervals. */
        const val CLAIM_MILLIS = 150L

        /** Covers a tick, the network and one lost stop request. */
        const val STOP_MARGIN_MILLIS = 100L
    }
}
