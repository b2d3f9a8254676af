package io.jackdawring.core

import kotlinx.serialization.Serializable

/**
 * One incarnation of an entry instance.
 *
 * [incarnation] is larger after every restart of the same instance; [peerAddress] is `ip:port` of its peer listener.
 */
@Serializable
data class Owner(
    val instanceId: InstanceId,
    val incarnation: Long,
    val peerAddress: String,
    val failureDomain: FailureDomainId,
)
