package io.jackdawring.core.fleet

import io.jackdawring.core.FailureDomainId
import kotlinx.serialization.Serializable

/** Identifies a group of targets in [failureDomain] that has one holder at a time. */
@Serializable
data class ShardId(
    val failureDomain: FailureDomainId,
    val number: Int,
)
