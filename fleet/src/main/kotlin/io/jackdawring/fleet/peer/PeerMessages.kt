package io.jackdawring.fleet.peer

import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobSpec
import kotlinx.serialization.Serializable

/** Asks the holder of [shardId] for the outcome of a job on behalf of a caller of the entry instance [relay]. */
@Serializable
internal data class JobMessage(
    val relay: String,
    val shardId: ShardId,
    val remainingMillis: Long,
    val job: JobSpec,
)

/** Outcome of a job; [kind] names a variant of [JobOutcome]. */
@Serializable
internal data class OutcomeMessage(
    val kind: Kind,
    val reason: String = "",
    val retryAfterMillis: Long = 0,
) {
    fun toOutcome(): JobOutcome =
        when (kind) {
            Kind.COMPLETED -> JobOutcome.Completed
            Kind.FAILED -> JobOutcome.Failed(reason)
            Kind.NOT_RUN -> JobOutcome.NotRun(reason, retryAfterMillis)
            Kind.GIVEN_UP -> JobOutcome.GivenUp(reason)
            Kind.MOVED -> JobOutcome.Moved
        }

    enum class Kind { COMPLETED, FAILED, NOT_RUN, GIVEN_UP, MOVED }

    companion object {
        fun of(outcome: JobOutcome) =
            when (outcome) {
                is JobOutcome.Completed -> OutcomeMessage(Kind.COMPLETED)
                is JobOutcome.Failed -> OutcomeMessage(Kind.FAILED, outcome.reason)
                is JobOutcome.NotRun -> OutcomeMessage(Kind.NOT_RUN, outcome.reason, outcome.retryAfterMillis)
                is JobOutcome.GivenUp -> OutcomeMessage(Kind.GIVEN_UP, outcome.reason)
                is JobOutcome.Moved -> OutcomeMessage(Kind.MOVED)
            }
    }
}

/** Asks a peer for a sign of life; [sender] lets it know that the sender's jobs are still waited for. */
@Serializable
internal data class PingMessage(
    val sender: String,
)

/** Sign of life with the shards that the peer holds. */
@Serializable
internal data class PongMessage(
    val incarnation: String,
    val shards: List<ShardId>,
)

/** Asks a peer to take over [shardId], whose key has [revision]. */
@Serializable
internal data class HandOverMessage(
    val shardId: ShardId,
    val revision: Long,
)
