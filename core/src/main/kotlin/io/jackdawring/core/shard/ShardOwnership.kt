package io.jackdawring.core.shard

/**
 * Limits the time for which a holder runs durable jobs.
 *
 * Later, another entry instance may hold the shard and start their tasks on targets that this holder does not know.
 */
internal class ShardOwnership {
    /** Time until which no other holder starts durable runs, pauses included; null if that is not limited. */
    var validUntilMillis: Long? = null

    /** Time at which no other holder had claimed the shard; null if that is not limited. */
    var confirmedAtMillis: Long? = null

    /** Whether no other holder can have renewed a lease that ended at [leaseEndMillis] without this one. */
    fun wasHeldAt(leaseEndMillis: Long): Boolean = confirmedAtMillis?.let { it >= leaseEndMillis } != false

    fun isExpired(elapsedMillis: Long): Boolean = validUntilMillis?.let { elapsedMillis >= it } == true
}
