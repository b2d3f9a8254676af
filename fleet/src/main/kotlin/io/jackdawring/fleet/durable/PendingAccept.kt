package io.jackdawring.fleet.durable

import io.jackdawring.core.shard.JobId

/** A job whose storing is not confirmed yet, and the requests that wait for it. */
internal class PendingAccept(
    val record: DurableJobRecord,
) {
    val id: JobId get() = record.spec.id
    val onOutcomes = ArrayList<(PersistOutcome) -> Unit>()

    /** Whether a write of the job is in flight. */
    var isInFlight = false

    /** Whether a write that was not answered may have been applied, or may still be. */
    var isOutcomeUnknown = false
    val mayBeStored: Boolean get() = isInFlight || isOutcomeUnknown

    /** The job for later requests, whose record this one may have stored. */
    fun repeated() = PendingAccept(record).also { it.isOutcomeUnknown = true }

    /** Answers all requests for the job that have not been answered yet. */
    fun resolve(outcome: PersistOutcome) {
        val callbacks = onOutcomes.toList()
        onOutcomes.clear()
        callbacks.forEach { it(outcome) }
    }
}
