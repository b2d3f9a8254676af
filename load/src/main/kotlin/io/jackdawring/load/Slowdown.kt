package io.jackdawring.load

import kotlinx.serialization.Serializable

/** Ratio of response time to ideal response time over the complete answers; 0 if there are none. */
@Serializable
data class Slowdown(
    val answers: Long,
    val mean: Double,
    val p99: Double,
)
