package io.jackdawring.core

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One incarnation of an entry instance.
 *
 * JSON names are short because every digest carries several owners.
 * [incarnation] increases with every restart of the instance; [peerAddress] is `ip:port` of its peer listener.
 */
@Serializable
data class Owner(
    @SerialName("id")
    val instanceId: InstanceId,
    @SerialName("inc")
    val incarnation: Long,
    @SerialName("addr")
    val peerAddress: String,
    @SerialName("fd")
    val failureDomain: FailureDomainId,
)
