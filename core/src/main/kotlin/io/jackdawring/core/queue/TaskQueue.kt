package io.jackdawring.core.queue

import io.jackdawring.core.EntryOptions

/**
 * Holds the jobs that have unstarted tasks and decides which task starts next.
 *
 * Order: priority class, then the team with the least in-flight work relative to its weight, then the job with the
 * fewest unstarted tasks.
 */
internal interface TaskQueue {
    /** Number of unstarted tasks. */
    val size: Int

    /** Number of unstarted tasks with [priority] or a higher one (a lower number). */
    fun sizeAhead(priority: Int): Int

    /** Sum of the expected run times in milliseconds of the tasks counted by [sizeAhead]. */
    fun expectedMillisAhead(priority: Int): Long

    /** Adds a job, or refreshes its position after its number of unstarted tasks has changed. */
    fun put(job: QueuedJob)

    /** Removes a job with all its unstarted tasks. */
    fun remove(job: QueuedJob)

    /**
     * Offers jobs in order to [place] until no job can place another task.
     *
     * [place] starts the next unstarted task of the job and returns true, or returns false if no slot is available.
     */
    fun dispatch(place: (QueuedJob) -> Boolean)

    /**
     * Like [dispatch], but offers jobs that found no slot earlier only if they belong to [services].
     *
     * Blocked jobs of other services cost nothing. Periodic full [dispatch] calls cover changes of their slots.
     */
    fun dispatch(
        services: Collection<String>,
        place: (QueuedJob) -> Boolean,
    )

    /** Records the end of a task that was placed for [team]. */
    fun taskEnded(team: String)

    /** Limits the number of concurrent tasks of [team] on this instance; there is no limit by default. */
    fun setQuota(
        team: String,
        maxInFlight: Int,
    )

    /** Creates task queues. */
    fun interface Factory {
        fun create(options: EntryOptions): TaskQueue
    }
}

/** A job as the queue sees it; [pendingTasks] changes only inside [TaskQueue.dispatch] or right before a put. */
internal interface QueuedJob {
    val team: String
    val weight: Int
    val priority: Int
    val service: String
    val expectedMillisPerTask: Long
    val pendingTasks: Int

    /** Position in the order of arrival, unique per job. */
    val sequence: Long

    /**
     * Placement constraints of the next unstarted task; read at every put and after every placement.
     *
     * When a job finds no slot, jobs with an equal key and the same or a lower class are skipped until the end of the
     * dispatch. Equal keys must have the same [service].
     */
    val placementKey: Any get() = service
}
