package io.jackdawring.core.shard

import kotlinx.collections.immutable.ImmutableList

/** Result of a [PollRequest]. */
sealed interface PollResult {
    /**
     * The target's lists of runs; [incarnationStartMillis] is different for each incarnation of the target.
     *
     * With [mayHaveMoreEnds], the target has possibly more ended runs, which it lists once those in [ended] are
     * acknowledged.
     */
    data class Snapshot(
        val clockMillis: Long,
        val incarnationStartMillis: Long,
        val running: ImmutableList<RunningRun>,
        val ended: ImmutableList<EndedRun>,
        val mayHaveMoreEnds: Boolean,
    ) : PollResult

    /** The target rejected the request, because a newer holder with a higher fencing token has sent it requests. */
    data object Fenced : PollResult

    /** Another incarnation of the target has this address. */
    data object OtherIncarnation : PollResult

    /** No usable answer arrived. */
    data class Unknown(
        val detail: String,
    ) : PollResult
}
