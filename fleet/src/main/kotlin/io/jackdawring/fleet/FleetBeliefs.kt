package io.jackdawring.fleet

import io.jackdawring.core.InstanceId
import io.jackdawring.core.shard.TargetView
import kotlinx.serialization.Serializable

/** What an entry instance believes of itself, the fleet and the targets it holds; for operators. */
@Serializable
internal data class FleetBeliefs(
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
) {
    /** The configuration in force, for [ageMillis]. */
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

    /** A shard with the holder that the store names; [suspected] if that is believed not to work. */
    @Serializable
    data class Shard(
        val name: String,
        val holder: InstanceId,
        val fence: Long,
        val suspected: Boolean,
    )

    /** A shard that this instance holds. */
    @Serializable
    data class HeldShard(
        val name: String,
        val fence: Long,
        val waitingTasks: Int,
        val targets: List<TargetView>,
    )
}
