package io.jackdawring.fleet.model

import io.jackdawring.core.shard.JobId
import io.jackdawring.testing.VirtualClock

/** Events of a schedule with their virtual times, for the message of a failure. */
internal class FleetTrace(
    private val clock: VirtualClock,
) {
    private class Entry(
        val atMillis: Long,
        val jobId: JobId?,
        val text: String,
    )

    private val entries = ArrayList<Entry>()

    fun add(
        text: String,
        jobId: JobId? = null,
    ) {
        entries.add(Entry(clock.nowMillis, jobId, text))
    }

    /** The events of [jobId] and those of the fleet up to now, one a line, from [marginMillis] before the job's first. */
    fun describe(
        jobId: JobId,
        marginMillis: Long = 3_000,
    ): String {
        val since = (entries.firstOrNull { it.jobId == jobId }?.atMillis ?: 0) - marginMillis
        return entries
            .filter { (it.jobId == null || it.jobId == jobId) && it.atMillis >= since }
            .joinToString("\n") { "${it.atMillis.toString().padStart(TIME_WIDTH)} ${it.text}" }
    }

    private companion object {
        const val TIME_WIDTH = 7
    }
}
