package io.jackdawring.server.burn

import io.jackdawring.core.configuration.Objective

/** Provides the counters of all kinds that have an objective; they never decrease while the process runs. */
fun interface BurnSource {
    fun counters(): List<ObjectiveCounters>
}

/** Requests of one kind since the start of the process; [good] of [total] met the [objective]. */
data class ObjectiveCounters(
    val service: String,
    val kind: String,
    val priority: Int,
    val objective: Objective,
    val good: Long,
    val total: Long,
)
