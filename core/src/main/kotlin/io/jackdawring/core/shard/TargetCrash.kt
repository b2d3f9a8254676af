package io.jackdawring.core.shard

import io.jackdawring.core.TargetId
import kotlinx.serialization.Serializable

/**
 * A run whose target crashed while it was there, or may have crashed unless [isProven].
 *
 * [incarnationStartMillis] names the incarnation of the target that had the run; a crash is proven once the target
 * answers as another one.
 */
@Serializable
data class TargetCrash(
    val attempt: Int,
    val targetId: TargetId,
    val incarnationStartMillis: Long,
    val isProven: Boolean = false,
)
