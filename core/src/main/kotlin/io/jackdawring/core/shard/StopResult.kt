package io.jackdawring.core.shard

/** Result of a request to stop a run. */
sealed interface StopResult {
    /** The run ends soon or will never start. */
    data object Accepted : StopResult

    /** The target rejected the request, because a newer holder with a higher fencing token has sent it requests. */
    data object Fenced : StopResult

    /** No usable answer arrived; the target may or may not stop the run. */
    data class Unknown(
        val detail: String,
    ) : StopResult
}
