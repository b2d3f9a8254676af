package io.jackdawring.standins

import kotlinx.serialization.Serializable

/**
 * Counters of a [StandInTarget] since it started, served at `GET /counts`.
 *
 * [refusedConnections] exceeded the connection limit; [running] and [peakRunning] count tasks.
 */
@Serializable
data class TargetCounts(
    val started: Long = 0,
    val succeeded: Long = 0,
    val failed: Long = 0,
    val cancelled: Long = 0,
    val refusedBusy: Long = 0,
    val refusedLeaving: Long = 0,
    val refusedConnections: Long = 0,
    val running: Int = 0,
    val peakRunning: Int = 0,
)
