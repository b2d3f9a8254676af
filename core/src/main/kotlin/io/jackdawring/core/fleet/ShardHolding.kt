package io.jackdawring.core.fleet

/** The holder of a shard as the store names it; [revision] orders the holders and is the fence at the targets. */
data class ShardHolding(
    val shardId: ShardId,
    val holder: FleetMember,
    val revision: Long,
)
