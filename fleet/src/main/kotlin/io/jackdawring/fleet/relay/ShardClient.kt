package io.jackdawring.fleet.relay

import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobRequest
import io.jackdawring.core.shard.JobSpec

/** Finds the holders of shards and sends jobs to them. */
internal interface ShardClient {
    /** The holder of the job's shard in the local failure domain, or null while none is believed to be alive. */
    fun findLocalHolder(job: JobSpec): ShardHolding?

    /** The holder of [shardId], or null while none is believed to be alive. */
    fun findHolding(shardId: ShardId): ShardHolding?

    /**
     * Holders of shards in other failure domains that may admit [job] instead, in the order to try them.
     *
     * Those that are known to be as loaded as the local failure domain are left out, because they would refuse it too.
     */
    fun findLessLoadedHolders(job: JobSpec): List<ShardHolding>

    /** Holders of shards in other failure domains that are not evacuated, however loaded, in the order to try them. */
    fun findOtherHolders(job: JobSpec): List<ShardHolding>

    /** Whether the local failure domain is evacuated, so that its holder is not asked. */
    val isLocalEvacuated: Boolean

    /** Whether the failure domain of the targets of [shardId] is known to be evacuated. */
    fun isEvacuated(shardId: ShardId): Boolean

    /** Whether all failure domains with a holder are evacuated; those of the shards in [refusedBy] count as such. */
    fun areAllEvacuated(refusedBy: Set<ShardId>): Boolean

    /** Sends [request] to the holder in [holding]; [onReply] is called at most once. */
    fun submit(
        holding: ShardHolding,
        request: JobRequest,
        onReply: (HolderReply) -> Unit,
    ): PendingRequest

    /** A request to a holder that can be cancelled. */
    fun interface PendingRequest {
        fun cancel()
    }
}

/** Reply of a holder to a [JobRequest]. */
internal sealed interface HolderReply {
    class Decided(
        val outcome: JobOutcome,
    ) : HolderReply

    /** The holder has not accepted the job, for example because it is no longer the holder. */
    data object NotAccepted : HolderReply

    /** The holder may have accepted the job, but its answer was lost. */
    class Lost(
        val detail: String,
    ) : HolderReply
}
