package io.jackdawring.core

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/**
 * Immutable settings of one [EntryInstance].
 *
 * [wallClockOffsetMillis] plus the monotonic time of an event is Unix time; it is only used for the age of UUIDv7 ids.
 */
class EntryOptions private constructor(
    val self: Owner,
    val seed: Long,
    val wallClockOffsetMillis: Long,
    val sessionLifetimeMillis: Long,
    val maxSessions: Int,
    val maxSubmissionsPerSession: Int,
    val maxRecords: Int,
    val answerRetentionMillis: Long,
    val answerRetentionBytes: Long,
    val maxQueuedTasks: Int,
    val claimRatePerSecond: Int,
    val claimMaxKeyAgeMillis: Long,
    val claimClockSkewMillis: Long,
    val gossipIntervalMillis: Long,
    val gossipFanOut: Int,
    val suspectAfterMillis: Long,
    val dropAfterMillis: Long,
    val retryBudgetPercent: Int,
    val spareSlots: Int,
    val targetPolicy: TargetPolicy,
    val peerSeeds: ImmutableList<String>,
) {
    /** Builds [EntryOptions]; defaults are those of the command line. */
    class Builder(
        private val self: Owner,
    ) {
        var seed: Long = 1
        var wallClockOffsetMillis: Long = 0
        var sessionLifetimeMillis: Long = 600_000
        var maxSessions: Int = 20_000
        var maxSubmissionsPerSession: Int = 100_000

        // At 3,444 single-task jobs per second, the design's peak load per instance with 9 instances, 2.07 million
        // records accumulate in a session lifetime; a limit of 500,000 refused new jobs after 145 s. See
        // docs/CAPACITY.md for the heap.
        var maxRecords: Int = 2_500_000
        var answerRetentionMillis: Long = 120_000
        var answerRetentionBytes: Long = 256L * 1024 * 1024
        var maxQueuedTasks: Int = 50_000
        var claimRatePerSecond: Int = 20
        var claimMaxKeyAgeMillis: Long = 600_000
        var claimClockSkewMillis: Long = 60_000
        var gossipIntervalMillis: Long = 1_000
        var gossipFanOut: Int = 1

        // With one gossip peer per second, 3 s gave 321 false suspicions in 10 minutes at 9 instances; 6 s none at 30.
        var suspectAfterMillis: Long = 6_000
        var dropAfterMillis: Long = 30_000
        var retryBudgetPercent: Int = 10

        /** Slots of a target that an instance above its fair share leaves free. */
        var spareSlots: Int = 2
        var targetPolicy: TargetPolicy = TargetPolicy.AdaptiveWindow

        /** Peer listeners that receive digests while no peer is known from the platform's list or from gossip. */
        var peerSeeds: List<String> = emptyList()

        fun build(): EntryOptions =
            EntryOptions(
                self = self,
                seed = seed,
                wallClockOffsetMillis = wallClockOffsetMillis,
                sessionLifetimeMillis = sessionLifetimeMillis,
                maxSessions = maxSessions,
                maxSubmissionsPerSession = maxSubmissionsPerSession,
                maxRecords = maxRecords,
                answerRetentionMillis = answerRetentionMillis,
                answerRetentionBytes = answerRetentionBytes,
                maxQueuedTasks = maxQueuedTasks,
                claimRatePerSecond = claimRatePerSecond,
                claimMaxKeyAgeMillis = claimMaxKeyAgeMillis,
                claimClockSkewMillis = claimClockSkewMillis,
                gossipIntervalMillis = gossipIntervalMillis,
                gossipFanOut = gossipFanOut,
                suspectAfterMillis = suspectAfterMillis,
                dropAfterMillis = dropAfterMillis,
                retryBudgetPercent = retryBudgetPercent,
                spareSlots = spareSlots,
                targetPolicy = targetPolicy,
                peerSeeds = peerSeeds.toImmutableList(),
            )
    }
}

/** Builds [EntryOptions] for the incarnation [self] from [block]. */
fun entryOptions(
    self: Owner,
    block: EntryOptions.Builder.() -> Unit = {},
): EntryOptions = EntryOptions.Builder(self).apply(block).build()
