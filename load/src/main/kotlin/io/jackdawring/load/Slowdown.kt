package io.jackdawring.load

import kotlinx.serialization.Serializable

/** Response time against the ideal, over the complete answers; 1.0 is the ideal, 0 stands for no answers. */
@Serializable
data class Slowdown(
    val answers: Long,
    val mean: Double,
    val p99: Double,
)
