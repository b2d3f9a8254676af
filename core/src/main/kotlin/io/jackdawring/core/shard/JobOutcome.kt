package io.jackdawring.core.shard

/** The holder's answer to one request for a job. */
sealed interface JobOutcome {
    /** All tasks are done. */
    data object Completed : JobOutcome

    /** A task failed on its last attempt or was rejected as invalid. */
    data class Failed(
        val reason: String,
    ) : JobOutcome

    /**
     * No task of the job has started or will start; the caller may retry after [retryAfterMillis].
     *
     * [lateMillis] is the time by which the forecast of this shard exceeds the job's objective, negative if it does not;
     * null if no target can run the job. With [isEvacuated], the failure domain starts nothing, so that only others can
     * run the job.
     */
    data class NotRun(
        val reason: String,
        val retryAfterMillis: Long,
        val lateMillis: Long? = null,
        val isEvacuated: Boolean = false,
    ) : JobOutcome

    /** The holder gave the job up; a task of it may have started. */
    data class GivenUp(
        val reason: String,
    ) : JobOutcome

    /** The shard has a new holder, which must be asked; runs of the job continue. */
    data object Moved : JobOutcome
}
