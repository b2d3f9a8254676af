package io.jackdawring.fleet.kept

import io.jackdawring.core.shard.JobId

/**
 * A job that is not stored yet.
 *
 * It is refused at [patienceMillis] if no write can have taken effect, and reported as unsure at [deadlineMillis].
 */
internal class PendingAccept(
    val record: KeptJobRecord,
    val patienceMillis: Long,
    val deadlineMillis: Long,
) {
    val id: JobId get() = record.spec.id
    val onOutcomes = ArrayList<(KeepOutcome) -> Unit>()

    /** Whether a write that was not answered may have taken effect, or may still do so. */
    var isUnsure = false

    fun resolve(outcome: KeepOutcome) = onOutcomes.forEach { it(outcome) }
}
