package io.jackdawring.core.fleet

/** The holder of a shard according to the store; [revision] orders the holders and is the fencing token at targets. */
data class ShardHolding(
    val shardId: ShardId,
    val holder: FleetMember,
    val revision: Long,
    /** Revision up to which earlier holders were possibly cut off when this one claimed the shard; null if none was. */
    val cutOffRevision: Long? = null,
) {
    /**
     * As [cutOffRevision], for [claimant] that claims the shard because this holder is missing or suspected.
     *
     * A holder that is only silent may be cut off; one that [hasEnded] is not.
     */
    fun cutOffRevisionFor(
        claimant: FleetMember,
        hasEnded: Boolean,
    ): Long? {
        // The claim succeeded without an answer, so this process has never held the shard with it.
        val isUnansweredClaim = holder.instanceId == claimant.instanceId && holder.incarnation == claimant.incarnation
        return if (hasEnded || isUnansweredClaim) cutOffRevision else revision
    }
}
