package io.jackdawring.fleet.kept

import io.jackdawring.core.shard.JobId

/** A job that is not known to be stored. */
internal class PendingAccept(
    val record: KeptJobRecord,
) {
    val id: JobId get() = record.spec.id
    val onOutcomes = ArrayList<(KeepOutcome) -> Unit>()

    /** Whether a write of the job is waiting for its answer. */
    var isInFlight = false

    /** Whether a write that was not answered may have taken effect, or may still do so. */
    var isUnsure = false
    val mayBeStored: Boolean get() = isInFlight || isUnsure

    /** Tells all requests for the job its outcome; those are told once. */
    fun resolve(outcome: KeepOutcome) {
        val told = onOutcomes.toList()
        onOutcomes.clear()
        told.forEach { it(outcome) }
    }
}
