package io.jackdawring.core

/** A state change that is logged and counted; the class name is the metric label. */
sealed interface StateChange {
    /** A newer configuration is in force. */
    data class ConfigurationApplied(
        val version: Long,
    ) : StateChange

    /** A configuration from the store or a peer was not applied, for example because its version is lower. */
    data class ConfigurationRejected(
        val version: Long,
        val reason: String,
    ) : StateChange

    /** The state of another entry instance changed. */
    data class MemberChanged(
        val instanceId: InstanceId,
        val state: String,
    ) : StateChange

    /** A target became usable, isolated, unreachable or leaving. */
    data class TargetChanged(
        val targetId: TargetId,
        val state: String,
    ) : StateChange

    /** The instance started to drain. */
    data class DrainStarted(
        val requestsInProgress: Int,
    ) : StateChange

    /** Finished records were sent to a successor. */
    data class RecordsHandedOver(
        val successor: InstanceId,
        val records: Int,
    ) : StateChange

    /** The store became reachable or unreachable for this instance. */
    data class StoreReachable(
        val reachable: Boolean,
    ) : StateChange
}
