package io.jackdawring.core.configuration

import kotlinx.serialization.Serializable

/** A service as its operators define it; the sum of a team's [quotaTasks] limits its tasks in flight in the fleet. */
@Serializable
data class ServiceDefinition(
    val service: String,
    val team: String,
    val weight: Int = 1,
    val quotaTasks: Int = 100_000,
    val kinds: List<KindDefinition>,
)

/** One kind of request to a service; [priority] 1 is the highest, 9 the lowest. */
@Serializable
data class KindDefinition(
    val name: String,
    val priority: Int,
    val idempotent: Boolean = false,
    val expectedMillis: Long = 200,
    val objective: Objective? = null,
)

/** Service-level objective: [percent] of the requests are answered in full within [latencyMillis]. */
@Serializable
data class Objective(
    val latencyMillis: Long,
    val percent: Double,
)
