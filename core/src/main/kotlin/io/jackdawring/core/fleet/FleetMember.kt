package io.jackdawring.core.fleet

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import kotlinx.serialization.Serializable

/**
 * An entry instance as it registers itself in the store.
 *
 * [address] is the address for its peers, [incarnation] changes with each start of its process, and [weight] is its
 * processor capacity; members with a higher weight are preferred as shard holders.
 */
@Serializable
data class FleetMember(
    val instanceId: InstanceId,
    val incarnation: String,
    val failureDomain: FailureDomainId,
    val address: String,
    val weight: Double,
)
