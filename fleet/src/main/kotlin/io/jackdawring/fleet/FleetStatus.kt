package io.jackdawring.fleet

import io.jackdawring.core.InstanceId
import io.jackdawring.core.shard.TargetView
import kotlinx.serialization.Serializable

/** Status of an entry instance and its view of the fleet and of the targets it holds, for operators. */
@Serializable
internal data class FleetStatus(
    val instanceId: InstanceId,
    val failureDomain: String,
    val incarnation: String,
    val ageMillis: Long,
    val ready: Boolean,
    val draining: Boolean,
    val configuration: Configuration?,
    val members: List<Member>,
    val shards: List<Shard>,
    val held: List<HeldShard>,
    /** The failure domains that are evacuated. */
    val evacuated: List<String>,
) {
    /** The configuration that has been in effect for [ageMillis]. */
    @Serializable
    data class Configuration(
        val version: Long,
        val ageMillis: Long,
        val queues: List<String>,
    )

    @Serializable
    data class Member(
        val instanceId: InstanceId,
        val failureDomain: String,
        val address: String,
    )

    /** A shard and its holder according to the store; [suspected] if that holder is believed to have failed. */
    @Serializable
    data class Shard(
        val name: String,
        val holder: InstanceId,
        val fence: Long,
        val suspected: Boolean,
    )

    /** A shard that this instance holds; [fence] is its fencing token. */
    @Serializable
    data class HeldShard(
        val name: String,
        val fence: Long,
        val waitingTasks: Int,
        val targets: List<TargetView>,
    )
}
