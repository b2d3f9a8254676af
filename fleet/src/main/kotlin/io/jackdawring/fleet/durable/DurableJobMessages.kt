package io.jackdawring.fleet.durable

import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobNeeds
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import kotlinx.serialization.Serializable

/**
 * Asks the holder of [shardId] to store [job] and then run it; the answer takes at most [waitMillis].
 *
 * A holder with a backlog refuses it unless [despiteBacklog] is set.
 */
@Serializable
internal data class PersistMessage(
    val shardId: ShardId,
    val job: JobSpec,
    val waitMillis: Long,
    val despiteBacklog: Boolean,
)

@Serializable
internal data class PersistReply(
    val outcome: PersistOutcome,
)

/**
 * Queries the state of a durable job at the holder of [shardId], which cancels the job first if [cancel] is set.
 *
 * [isStored] is as in [DurableJobClient.queryState].
 */
@Serializable
internal data class JobStateMessage(
    val shardId: ShardId,
    val jobId: JobId,
    val cancel: Boolean,
    val isStored: Boolean = false,
)

/** State of a durable job; null if the holder does not know the job. */
@Serializable
internal data class JobStateReply(
    val state: JobState?,
)

/** Asks the holder of [shardId] how many jobs of [queue] have not started. */
@Serializable
internal data class PendingMessage(
    val shardId: ShardId,
    val queue: String,
)

/** Number of jobs that have not started; null while the holder has not loaded those of earlier holders. */
@Serializable
internal data class PendingReply(
    val jobs: Int?,
)

/** Asks the holder of [shardId] how soon it can run jobs with [needs] that another shard cannot run. */
@Serializable
internal data class DelaysMessage(
    val shardId: ShardId,
    val needs: List<JobNeeds>,
)

/** Estimated times until the jobs can start: 0 if there is room now, null if no usable target can run the job. */
@Serializable
internal data class DelaysReply(
    val delaysMillis: List<Long?>,
)
