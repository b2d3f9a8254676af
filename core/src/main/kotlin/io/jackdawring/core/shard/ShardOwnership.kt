package io.jackdawring.core.shard

/**
 * Limits the time for which a holder that is cut off from the store runs durable jobs.
 *
 * Another entry instance may hold the shard by then, and may move its jobs to targets that this holder does not know.
 */
internal class ShardOwnership {
    /** Time at which the store last named this holder; null if that is not reported. */
    var confirmedAtMillis: Long? = null

    fun isExpired(nowMillis: Long): Boolean = confirmedAtMillis?.let { nowMillis - it >= LIFETIME_MILLIS } == true

    companion object {
        /** Longer than the outages of the store that durable jobs have to bear. */
        const val LIFETIME_MILLIS = 15_000L
    }
}
