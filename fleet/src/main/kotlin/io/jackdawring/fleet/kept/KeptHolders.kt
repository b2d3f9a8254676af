package io.jackdawring.fleet.kept

import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState

/** Reaches the holders of kept jobs, in this process or over the network. */
internal interface KeptHolders {
    val ownShards: List<ShardId>

    /** Holders that may take a job, the first to ask first. */
    fun candidates(job: JobSpec): List<ShardHolding>

    fun holding(shardId: ShardId): ShardHolding?

    /** All shards with the holders that the store names. */
    val holdings: Collection<ShardHolding>

    /** Asks to keep a job; [onOutcome] gets null if the request did not reach the holder or is not its to decide. */
    fun submitDurable(
        holding: ShardHolding,
        message: KeepMessage,
        onOutcome: (KeepOutcome?) -> Unit,
    )

    /** Asks for the state of a job, and cancels it first if [cancel] is set. */
    fun ask(
        holding: ShardHolding,
        jobId: JobId,
        cancel: Boolean,
        onAnswer: (StateAnswer) -> Unit,
    )

    /** Asks how many jobs of [queue] have not begun. */
    fun countPending(
        holding: ShardHolding,
        queue: String,
        onAnswer: (CountAnswer) -> Unit,
    )

    /** Answer of a holder to a question for a count. */
    sealed interface CountAnswer {
        /** Number of jobs, or null while the holder does not know those of earlier holders. */
        data class Known(
            val jobs: Int?,
        ) : CountAnswer

        data object Unreachable : CountAnswer
    }

    /** Answer of a holder. */
    sealed interface StateAnswer {
        /** State of the job, or null if the holder does not know it. */
        data class Known(
            val state: JobState?,
        ) : StateAnswer

        data object Unreachable : StateAnswer
    }
}
