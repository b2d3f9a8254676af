package io.jackdawring.core.shard

/** Whether a shard takes a job that arrives. */
internal sealed interface AdmissionDecision {
    /** The job is taken as one that is [timeliness]; [completionMillis] is the forecast, null if there is none. */
    data class Admitted(
        val timeliness: Timeliness,
        val completionMillis: Double?,
    ) : AdmissionDecision

    /** Nothing of the job starts here. */
    data class Refused(
        val outcome: JobOutcome.NotRun,
    ) : AdmissionDecision
}
