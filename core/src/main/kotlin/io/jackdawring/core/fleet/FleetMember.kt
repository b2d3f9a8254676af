package io.jackdawring.core.fleet

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import kotlinx.serialization.Serializable

/**
 * An entry instance as it describes itself in the store.
 *
 * [address] is where its peers reach it, [incarnation] changes with each start of its process, and [weight] is its
 * processor capacity, by which it is preferred as a holder.
 */
@Serializable
data class FleetMember(
    val instanceId: InstanceId,
    val incarnation: String,
    val failureDomain: FailureDomainId,
    val address: String,
    val weight: Double,
)
