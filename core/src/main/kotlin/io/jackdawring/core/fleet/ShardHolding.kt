package io.jackdawring.core.fleet

/** The holder of a shard according to the store; [revision] orders the holders and is the fencing token at targets. */
data class ShardHolding(
    val shardId: ShardId,
    val holder: FleetMember,
    val revision: Long,
)
