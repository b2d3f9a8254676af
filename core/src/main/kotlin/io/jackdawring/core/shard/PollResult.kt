package io.jackdawring.core.shard

import kotlinx.collections.immutable.ImmutableList

/** What became of a [PollRequest]. */
sealed interface PollResult {
    /** Lists of the target; [bornMillis] changes with each of its incarnations. */
    data class Snapshot(
        val clockMillis: Long,
        val bornMillis: Long,
        val running: ImmutableList<RunningRun>,
        val ended: ImmutableList<EndedRun>,
    ) : PollResult

    /** A newer holder has given orders to the target. */
    data object Fenced : PollResult

    /** Another incarnation of the target has this address. */
    data object OtherIncarnation : PollResult

    /** No usable answer arrived. */
    data class Unknown(
        val detail: String,
    ) : PollResult
}
