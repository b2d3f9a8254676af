package io.jackdawring.core.shard

import io.jackdawring.core.TargetId
import kotlinx.serialization.Serializable

/**
 * What the holder believes of a target.
 *
 * [contact] is `held`, `silent` or `new`. The target answered [answerAgeMillis] ago, null if it never did. [speed] is
 * the learned duration of runs there over the declared one.
 */
@Serializable
data class TargetView(
    val id: TargetId,
    val contact: String,
    val answerAgeMillis: Long?,
    val listed: Boolean,
    val draining: Boolean,
    val suspended: Boolean,
    val runs: Int,
    val free: Resources,
    val speed: Double,
)
