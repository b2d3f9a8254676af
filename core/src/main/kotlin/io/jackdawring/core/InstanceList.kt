package io.jackdawring.core

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The platform's list of instances; [version] increases with every change, entries may be stale. */
@Serializable
data class InstanceList(
    val version: Long,
    val instances: List<ListedInstance>,
)

/** One instance in the platform's list; [address] is `ip:port` of its task or peer listener. */
@Serializable
data class ListedInstance(
    val id: String,
    val role: InstanceRole,
    val failureDomain: FailureDomainId,
    val address: String,
    val state: ListedState = ListedState.LIVE,
    val slots: Int = 8,
    val connections: Int = 60,
    val memoryMb: Int = 65_536,
    val accelerators: Int = 0,
    val services: List<String> = emptyList(),
)

/** Whether a listed instance runs tasks or dispatches them. */
@Serializable
enum class InstanceRole {
    @SerialName("target")
    TARGET,

    @SerialName("entry")
    ENTRY,
}

/** Lifecycle state of a listed instance, as reported by the platform. */
@Serializable
enum class ListedState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}
