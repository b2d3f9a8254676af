package io.jackdawring.fleet

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.shard.ShardOptions
import io.jackdawring.core.shard.shardOptions

/** Addresses and limits of an entry instance. */
class FleetOptions internal constructor(
    val instanceId: InstanceId,
    val failureDomain: FailureDomainId,
    /** Listen address for callers. */
    val callerAddress: String,
    /** Listen address for the load balancer's readiness checks. */
    val readyAddress: String,
    /** Listen address for peers. */
    val peerAddress: String,
    /** Listen address for metrics and status, or null to serve none. */
    val metricsAddress: String?,
    /** Processor capacity in cores of unit speed; instances with more are preferred as holders. */
    val weight: Double,
    val shard: ShardOptions,
    /** Time from the request to stop until the platform kills the process. */
    val stopGraceMillis: Long,
    /** Time after its end for which the state of a durable job can be queried. */
    val durableRetentionMillis: Long,
    /** Time after which nothing may start in a failure domain that is evacuated; null if evacuations are not used. */
    val evacuateMillis: Long?,
) {
    /** Builds [FleetOptions]. */
    class Builder {
        var instanceId: String = ""
        var failureDomain: String = ""
        var callerAddress: String = ""
        var readyAddress: String = ""
        var peerAddress: String = ""
        var metricsAddress: String? = null
        var weight: Double = 1.0
        var shard: ShardOptions = shardOptions()
        var stopGraceMillis: Long = 6_000
        var durableRetentionMillis: Long = 150_000
        var evacuateMillis: Long? = null

        fun build() =
            FleetOptions(
                InstanceId(instanceId),
                FailureDomainId(failureDomain),
                callerAddress,
                readyAddress,
                peerAddress,
                metricsAddress,
                weight,
                shard,
                stopGraceMillis,
                durableRetentionMillis,
                evacuateMillis,
            )
    }
}

/** Builds [FleetOptions] with the values set in [configure]. */
fun fleetOptions(configure: FleetOptions.Builder.() -> Unit): FleetOptions =
    FleetOptions.Builder().apply(configure).build()
