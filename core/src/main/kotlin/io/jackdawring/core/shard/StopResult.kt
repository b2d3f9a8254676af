package io.jackdawring.core.shard

/** What became of an order to stop a run. */
sealed interface StopResult {
    /** The run ends soon or will never start. */
    data object Accepted : StopResult

    /** A newer holder has given orders to the target. */
    data object Fenced : StopResult

    /** Nothing is known of the order. */
    data class Unknown(
        val detail: String,
    ) : StopResult
}
