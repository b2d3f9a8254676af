package io.jackdawring.core.shard

import kotlinx.collections.immutable.ImmutableList

/** What became of a [LookOrder]. */
sealed interface LookResult {
    /** Lists of the target; [bornMillis] changes with each of its incarnations. */
    data class Seen(
        val clockMillis: Long,
        val bornMillis: Long,
        val running: ImmutableList<RunningRun>,
        val ended: ImmutableList<EndedRun>,
    ) : LookResult

    /** A newer holder has given orders to the target. */
    data object Fenced : LookResult

    /** Another incarnation of the target has this address. */
    data object OtherIncarnation : LookResult

    /** No usable answer arrived. */
    data class Unknown(
        val detail: String,
    ) : LookResult
}
