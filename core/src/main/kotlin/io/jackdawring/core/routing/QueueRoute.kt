package io.jackdawring.core.routing

/** A queue: requests for [host] whose path begins with [prefix] are jobs for the targets of [service]. */
data class QueueRoute(
    val name: String,
    val host: String,
    val prefix: String,
    val service: String,
    val timeoutMillis: Long,
    val aimMillis: Long,
    val priority: Int,
    val maxAttempts: Int,
    val stretch: Double,
)
