package io.jackdawring.core.routing

/**
 * Routes requests for [host] whose path begins with [prefix] to a queue, as jobs for the targets of [service].
 *
 * The latency objective of a job is [baseObjectiveMillis] plus [stretch] times its critical path.
 */
data class QueueRoute(
    val name: String,
    val host: String,
    val prefix: String,
    val service: String,
    val timeoutMillis: Long,
    val baseObjectiveMillis: Long,
    val priority: Int,
    val maxAttempts: Int,
    val stretch: Double,
)
