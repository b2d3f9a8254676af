package io.jackdawring.core.shard

/**
 * Long poll for the running and ended runs of a target, which also renews its lease.
 *
 * [leaseUntilMillis] is a time on the target's clock; null renews nothing. The target forgets ended runs up to the
 * sequence [acknowledgedEnd], and delays its answer by up to [waitMillis] until a run ends.
 */
data class PollRequest(
    val sequence: Long,
    val leaseUntilMillis: Long?,
    val acknowledgedEnd: Long,
    val waitMillis: Long,
)
