package io.jackdawring.core.shard

import io.jackdawring.core.TargetId
import kotlinx.serialization.Serializable

/**
 * The holder's view of a target, for operators.
 *
 * [contact] is `held`, `silent` or `new`, the name of a [TrackedTarget.Contact]. The last answer to a poll arrived
 * [answerAgeMillis] ago, null if none did. [speed] is relative to the declared durations; higher is faster.
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
