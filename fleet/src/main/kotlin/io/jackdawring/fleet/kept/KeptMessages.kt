package io.jackdawring.fleet.kept

import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import kotlinx.serialization.Serializable

/**
 * Asks the holder of [shardId] to store [job] and to run it; its answer takes at most [waitMillis].
 *
 * A holder with a backlog refuses it unless [despiteBacklog] is set.
 */
@Serializable
internal data class KeepMessage(
    val shardId: ShardId,
    val job: JobSpec,
    val waitMillis: Long,
    val despiteBacklog: Boolean,
)

@Serializable
internal data class KeepReply(
    val outcome: KeepOutcome,
)

/** Asks the holder of [shardId] for the state of a kept job, which it cancels first if [cancel] is set. */
@Serializable
internal data class KeptStateMessage(
    val shardId: ShardId,
    val jobId: JobId,
    val cancel: Boolean,
)

/** State of a kept job; null if the holder does not know it. */
@Serializable
internal data class KeptStateReply(
    val state: JobState?,
)

/** Asks the holder of [shardId] how many jobs of [queue] have not begun. */
@Serializable
internal data class PendingMessage(
    val shardId: ShardId,
    val queue: String,
)

/** Number of jobs that have not begun; null while the holder does not know those of earlier holders. */
@Serializable
internal data class PendingReply(
    val jobs: Int?,
)
