package io.jackdawring.fleet

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.shard.ShardOptions
import io.jackdawring.core.shard.shardOptions

/** Addresses and limits of an entry instance. */
class FleetOptions internal constructor(
    val instanceId: InstanceId,
    val failureDomain: FailureDomainId,
    /** Where callers connect. */
    val callerAddress: String,
    /** Where the balancer asks for readiness. */
    val readyAddress: String,
    /** Where peers connect. */
    val peerAddress: String,
    /** Where metrics are read, or null for nowhere. */
    val metricsAddress: String?,
    /** Processor capacity in cores of unit speed. */
    val weight: Double,
    val shard: ShardOptions,
    /** Time from the request to stop until the process is killed. */
    val stopGraceMillis: Long,
    /** Time for which the state of a kept job can be asked for after its end. */
    val keptRetentionMillis: Long,
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
        var keptRetentionMillis: Long = 150_000

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
                keptRetentionMillis,
            )
    }
}

/** Builds [FleetOptions] with the values set in [configure]. */
fun fleetOptions(configure: FleetOptions.Builder.() -> Unit): FleetOptions =
    FleetOptions.Builder().apply(configure).build()
