package io.jackdawring.core.shard

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.TargetId
import kotlinx.collections.immutable.ImmutableSet

/** A target as its registration describes it; [warmUpMillis] is how much longer it is slow after its start. */
data class ShardTarget(
    val id: TargetId,
    val service: String,
    val address: String,
    val failureDomain: FailureDomainId,
    val capacity: Resources,
    val labels: ImmutableSet<String>,
    val draining: Boolean,
    val warmUpMillis: Long = 0,
)
