package io.jackdawring.core.shard

/**
 * Limits of a [ShardDispatcher].
 *
 * Values marked "platform" come from the platform's settings; the others are the dispatcher's own.
 */
class ShardOptions internal constructor(
    /** Longest lease that targets grant; platform. */
    val leaseMillis: Long,
    /** Longest time a target takes to stop a run; platform. */
    val stopMillis: Long,
    /** Time a run needs to go on from a checkpoint; platform. */
    val restoreMillis: Long,
    /** Factor by which a task takes longer outside its rack; platform. */
    val offRackFactor: Double,
    /** Wait of a look, well below the lease so that a missed look does not end it. */
    val lookWaitMillis: Long,
    /** Time until unclaimed runs of an earlier holder are stopped; relays send their jobs again within it. */
    val adoptMillis: Long,
    /** Time an outcome is kept for requests that arrive again. */
    val outcomeRetentionMillis: Long,
    /** Time a job without waiters is kept, so that a relay can replace a broken connection. */
    val orphanMillis: Long,
) {
    /** Builds [ShardOptions]. */
    class Builder {
        var leaseMillis: Long = 1_000
        var stopMillis: Long = 50
        var restoreMillis: Long = 100
        var offRackFactor: Double = 2.0
        var lookWaitMillis: Long = 400
        var adoptMillis: Long = 700
        var outcomeRetentionMillis: Long = 10_000
        var orphanMillis: Long = 150

        fun build() =
            ShardOptions(
                leaseMillis,
                stopMillis,
                restoreMillis,
                offRackFactor,
                lookWaitMillis,
                adoptMillis,
                outcomeRetentionMillis,
                orphanMillis,
            )
    }
}

/** Builds [ShardOptions] with the values set in [configure]. */
fun shardOptions(configure: ShardOptions.Builder.() -> Unit = {}): ShardOptions =
    ShardOptions.Builder().apply(configure).build()
