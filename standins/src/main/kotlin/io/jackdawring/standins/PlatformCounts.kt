package io.jackdawring.standins

import kotlinx.serialization.Serializable

/**
 * Calls that a [StandInPlatform] received since it started, served at `GET /counts`.
 *
 * A call with `waitMillis` counts once, as a read; [waitingWatches] are those in progress. [readsOverCap] and
 * [writesOverCap] were answered with 429, [callsWhileDown] failed in an outage; all of these are part of the other
 * counts.
 */
@Serializable
data class PlatformCounts(
    val reads: Long = 0,
    val writes: Long = 0,
    val instanceReads: Long = 0,
    val instanceWrites: Long = 0,
    val waitingWatches: Int = 0,
    val readsOverCap: Long = 0,
    val writesOverCap: Long = 0,
    val repliesLost: Long = 0,
    val callsWhileDown: Long = 0,
)
