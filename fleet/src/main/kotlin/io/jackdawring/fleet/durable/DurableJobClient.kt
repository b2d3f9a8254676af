package io.jackdawring.fleet.durable

import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState

/** Sends requests about durable jobs to the holders of their shards. */
internal interface DurableJobClient {
    val localShards: List<ShardId>

    /** Holders that may accept [job], in the order to try them. */
    fun candidates(job: JobSpec): List<ShardHolding>

    fun holding(shardId: ShardId): ShardHolding?

    /** All shards and their holders according to the store. */
    val holdings: Collection<ShardHolding>

    /** Asks to store a job; [onOutcome] receives null if the holder was not reached or no longer holds the shard. */
    fun persist(
        holding: ShardHolding,
        message: PersistMessage,
        onOutcome: (PersistOutcome?) -> Unit,
    )

    /**
     * Queries the state of a job, which is cancelled first if [cancel] is set.
     *
     * With [isStored], the requester has read the job's record in the shard, and a holder that is to cancel the job and
     * does not know it yet reads the record too.
     */
    fun queryState(
        holding: ShardHolding,
        jobId: JobId,
        cancel: Boolean,
        isStored: Boolean,
        onAnswer: (StateAnswer) -> Unit,
    )

    /** Asks how many jobs of [queue] have not started. */
    fun countPending(
        holding: ShardHolding,
        queue: String,
        onAnswer: (CountAnswer) -> Unit,
    )

    /** Answer of a holder to [countPending]. */
    sealed interface CountAnswer {
        /** Number of jobs, or null while the holder has not loaded those of earlier holders. */
        data class Known(
            val jobs: Int?,
        ) : CountAnswer

        data object Unreachable : CountAnswer
    }

    /** Answer of a holder to [queryState]. */
    sealed interface StateAnswer {
        /**
         * State of the job, or null if the holder does not know it.
         *
         * A holder that is moving the job answers a cancellation only when the outcome is known, with null if the job
         * has moved; until then it answers queries with the state.
         */
        data class Known(
            val state: JobState?,
        ) : StateAnswer

        data object Unreachable : StateAnswer
    }
}
