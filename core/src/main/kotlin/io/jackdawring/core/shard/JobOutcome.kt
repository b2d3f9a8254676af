package io.jackdawring.core.shard

/** Answer of a shard's holder to one request for a job. */
sealed interface JobOutcome {
    /** All tasks are done. */
    data object Completed : JobOutcome

    /** A task has failed for good. */
    data class Failed(
        val reason: String,
    ) : JobOutcome

    /**
     * Nothing of the job has started or will start; the caller may come back after [retryAfterMillis].
     *
     * [hasRoom] is whether a target had room for its first task, although not for the whole job in time.
     */
    data class NotRun(
        val reason: String,
        val retryAfterMillis: Long,
        val hasRoom: Boolean = false,
    ) : JobOutcome

    /** The holder gave the job up after at least one of its tasks had started. */
    data class GivenUp(
        val reason: String,
    ) : JobOutcome

    /** The shard has moved; what runs of the job goes on, and the new holder has to be asked. */
    data object Moved : JobOutcome
}
