package io.jackdawring.fleet.peer

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.TargetId
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.HandOver
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobRequest
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.ShardTarget
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.serialization.Serializable

/**
 * Submits a job to the holder of [shardId]; [relay] is the entry instance that the caller is connected to.
 *
 * [sentAtMillis] is the time of sending on the holder's clock, or slightly earlier; null if the relay does not know it.
 * [revision] is that of the holding to which it is sent; a holder with an earlier one does not accept the job.
 */
@Serializable
internal data class JobMessage(
    val relay: String,
    val shardId: ShardId,
    val request: JobRequest,
    val sentAtMillis: Long? = null,
    val revision: Long = 0,
)

/** Outcome of a job; [kind] names a variant of [JobOutcome]. */
@Serializable
internal data class OutcomeMessage(
    val kind: Kind,
    val reason: String = "",
    val retryAfterMillis: Long = 0,
    val lateMillis: Long? = null,
    val isEvacuated: Boolean = false,
) {
    fun toOutcome(): JobOutcome =
        when (kind) {
            Kind.COMPLETED -> JobOutcome.Completed
            Kind.FAILED -> JobOutcome.Failed(reason)
            Kind.NOT_RUN -> JobOutcome.NotRun(reason, retryAfterMillis, lateMillis, isEvacuated)
            Kind.GIVEN_UP -> JobOutcome.GivenUp(reason)
            Kind.MOVED -> JobOutcome.Moved
        }

    enum class Kind { COMPLETED, FAILED, NOT_RUN, GIVEN_UP, MOVED }

    companion object {
        fun of(outcome: JobOutcome) =
            when (outcome) {
                is JobOutcome.Completed -> OutcomeMessage(Kind.COMPLETED)
                is JobOutcome.Failed -> OutcomeMessage(Kind.FAILED, outcome.reason)
                is JobOutcome.NotRun ->
                    OutcomeMessage(
                        Kind.NOT_RUN,
                        outcome.reason,
                        outcome.retryAfterMillis,
                        outcome.lateMillis,
                        outcome.isEvacuated,
                    )
                is JobOutcome.GivenUp -> OutcomeMessage(Kind.GIVEN_UP, outcome.reason)
                is JobOutcome.Moved -> OutcomeMessage(Kind.MOVED)
            }
    }
}

/**
 * Checks that a peer is alive, and tells it that [sender] is, so that the jobs it relays are not dropped.
 *
 * The revisions are the newest that the sender knows; the peer answers with newer store items.
 */
@Serializable
internal data class PingMessage(
    val sender: String,
    val fleetRevision: Long,
    val configurationRevision: Long,
    /** Time of sending on the receiver's clock, or slightly earlier; null if the sender does not know it. */
    val sentAtMillis: Long? = null,
)

/** Answer to a ping at [clockMillis] of the peer's monotonic clock: the [shards] that the peer holds, and the store items in [news] that the sender does not know. */
@Serializable
internal data class PongMessage(
    val incarnation: String,
    val shards: List<ShardId>,
    val news: List<ItemMessage> = emptyList(),
    val loads: List<LoadMessage> = emptyList(),
    val clockMillis: Long = 0,
    /** Longest time for which callers of runs in one of the [shards] may have been gone. */
    val unservedMillis: Long = 0,
)

/** Load of a shard's targets by service in percent, as its holder reported it [ageMillis] ago. */
@Serializable
internal data class LoadMessage(
    val shardId: ShardId,
    val percents: Map<String, Int>,
    val ageMillis: Long,
)

/** A store item; [value] is its UTF-8 text. */
@Serializable
internal data class ItemMessage(
    val key: String,
    val value: String,
    val revision: Long,
)

/** Asks a peer to confirm that it has not claimed [shardId], which [sender] holds since the store's [revision]. */
@Serializable
internal data class ConfirmationMessage(
    val sender: String,
    val shardId: ShardId,
    val revision: Long,
)

/** Reply to a [ConfirmationMessage]. */
@Serializable
internal data class ConfirmationReply(
    val confirmed: Boolean,
)

/** Reply to a [HandOverMessage]; [taken] is whether the peer holds the shard now, later than the sender. */
@Serializable
internal data class HandOverReply(
    val taken: Boolean,
)

/**
 * Asks a peer to take over [shardId], whose store key has [revision] and which may have runs on [targets]; or tells the
 * present holder that the one with [revision] has stopped.
 *
 * Unless [areAllRunsThere], other targets may have runs too. Holders up to [cutOffRevision] may be cut off and go on.
 */
@Serializable
internal data class HandOverMessage(
    val shardId: ShardId,
    val revision: Long,
    val targets: List<TargetMessage>,
    val areAllRunsThere: Boolean = false,
    val cutOffRevision: Long? = null,
    val areDurableRunsOver: Boolean = true,
    /** Time since the holder stopped when this was sent; 0 for one that still holds the shard. */
    val stoppedAgoMillis: Long = 0,
    /** Time for which callers of runs may have been gone, and the jobs that this does not include; see [HandOver]. */
    val unservedMillis: Long = 0,
    val abandonedJobs: Map<JobId, Long> = emptyMap(),
    /** Time of sending on the receiver's clock, or slightly earlier; null if the sender does not know it. */
    val sentAtMillis: Long? = null,
) {
    fun toHandOver(): HandOver {
        val known = targets.map { it.toTarget() }.toImmutableList()
        val abandoned = abandonedJobs.toImmutableMap()
        return HandOver(known, areAllRunsThere, cutOffRevision, areDurableRunsOver, unservedMillis, abandoned)
    }

    /**
     * Time to which the contents refer, on the receiver's clock, which is [nowMillis] now.
     *
     * Without an estimate of the sender, it is [longestMillis] ago, after which the sender gives the message up.
     */
    fun madeAtMillis(
        nowMillis: Long,
        longestMillis: Long,
    ): Long = minOf(nowMillis, sentAtMillis ?: (nowMillis - longestMillis)) - stoppedAgoMillis

    companion object {
        fun of(
            holding: ShardHolding,
            handOver: HandOver,
        ) = HandOverMessage(
            holding.shardId,
            holding.revision,
            handOver.targets.map(TargetMessage::of),
            handOver.areAllRunsThere,
            handOver.cutOffToken,
            handOver.areDurableRunsOver,
            unservedMillis = handOver.unservedMillis,
            abandonedJobs = handOver.abandonedJobs,
        )
    }
}

/** A target known to the holder that hands its shard over, encoded for its successor. */
@Serializable
internal data class TargetMessage(
    val id: TargetId,
    val service: String,
    val address: String,
    val failureDomain: FailureDomainId,
    val capacity: Resources,
    val labels: Set<String>,
    val draining: Boolean,
) {
    fun toTarget() = ShardTarget(id, service, address, failureDomain, capacity, labels.toImmutableSet(), draining)

    companion object {
        fun of(target: ShardTarget) =
            TargetMessage(
                target.id,
                target.service,
                target.address,
                target.failureDomain,
                target.capacity,
                target.labels,
                target.draining,
            )
    }
}
