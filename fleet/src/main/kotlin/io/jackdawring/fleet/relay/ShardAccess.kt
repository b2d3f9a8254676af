package io.jackdawring.fleet.relay

import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobRequest
import io.jackdawring.core.shard.JobSpec

/** Finds and asks the holders of shards. */
internal interface ShardAccess {
    /** The holder of the job's shard in the own failure domain, or null while none is known to work. */
    fun findHolder(job: JobSpec): ShardHolding?

    /** The holder of [shardId], or null while none is known to work. */
    fun findHolding(shardId: ShardId): ShardHolding?

    /**
     * Holders of shards in other failure domains that may take [job] instead, the first to ask first.
     *
     * Those that are known to be as loaded as the own failure domain are left out; they would refuse it as well.
     */
    fun findLighterHolders(job: JobSpec): List<ShardHolding>

    /** Asks the holder in [holding]; [onReply] is called at most once. */
    fun ask(
        holding: ShardHolding,
        request: JobRequest,
        onReply: (HolderReply) -> Unit,
    ): OpenQuestion

    /** A question to a holder that may be taken back. */
    fun interface OpenQuestion {
        fun cancel()
    }
}

/** Reply of a holder. */
internal sealed interface HolderReply {
    class Decided(
        val outcome: JobOutcome,
    ) : HolderReply

    /** The holder has not taken the job, for example because it is no longer the holder. */
    data object NotTaken : HolderReply

    /** The holder may have taken the job, and its answer is lost. */
    class Lost(
        val detail: String,
    ) : HolderReply
}
