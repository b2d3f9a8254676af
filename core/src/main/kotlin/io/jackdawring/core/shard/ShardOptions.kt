package io.jackdawring.core.shard

/**
 * Time limits and factors of a [ShardDispatcher].
 *
 * Values marked "platform" come from the platform's settings; the others are the dispatcher's own.
 */
class ShardOptions internal constructor(
    /** Maximum lease that targets grant; platform. */
    val leaseMillis: Long,
    /** Maximum time that a target takes to stop a run; platform. */
    val stopMillis: Long,
    /** Time that a run needs to resume from a checkpoint; platform. */
    val restoreMillis: Long,
    /** Factor by which a task takes longer outside its rack; platform. */
    val offRackFactor: Double,
    /** Wait time of a poll; well below the lease, so that one lost poll does not let it expire. */
    val pollWaitMillis: Long,
    /** Time after which a caller without an answer sends its job again, to any shard; platform. */
    val resendAfterMillis: Long,
    /** Time after the failure of a holder within which all relays have sent their jobs to its successor. */
    val adoptionTimeoutMillis: Long,
    /** Time for which an outcome is kept for retried requests. */
    val outcomeRetentionMillis: Long,
    /** Time for which a job without waiters is kept, so that a relay can replace a broken connection. */
    val orphanTimeoutMillis: Long,
    /** Whether kinds of task that slow each other down are kept apart. */
    val avoidsInterference: Boolean,
) {
    /** Builds [ShardOptions]. */
    class Builder {
        var leaseMillis: Long = 1_000
        var stopMillis: Long = 50
        var restoreMillis: Long = 100
        var offRackFactor: Double = 2.0
        var pollWaitMillis: Long = 400
        var resendAfterMillis: Long = 1_300
        var adoptionTimeoutMillis: Long = 900
        var outcomeRetentionMillis: Long = 10_000
        var orphanTimeoutMillis: Long = 150
        var avoidsInterference: Boolean = true

        fun build() =
            ShardOptions(
                leaseMillis,
                stopMillis,
                restoreMillis,
                offRackFactor,
                pollWaitMillis,
                resendAfterMillis,
                adoptionTimeoutMillis,
                outcomeRetentionMillis,
                orphanTimeoutMillis,
                avoidsInterference,
            )
    }
}

/** Builds [ShardOptions] with the values set in [configure]. */
fun shardOptions(configure: ShardOptions.Builder.() -> Unit = {}): ShardOptions =
    ShardOptions.Builder().apply(configure).build()
