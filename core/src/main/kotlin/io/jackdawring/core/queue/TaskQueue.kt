package io.jackdawring.core.queue

import io.jackdawring.core.EntryOptions

/**
 * Holds the jobs that have unstarted tasks and decides whose task starts next.
 *
 * Order: class priority, then the team with the least in-flight work relative to its weight, then the job with the
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
     * Offers tasks in order to [place] until no job can place another one.
     *
     * [place] starts the next unstarted task of the job and returns true, or returns false if there is no room for it.
     */
    fun dispatch(place: (QueuedJob) -> Boolean)

    /**
     * Like [dispatch], but offers jobs that found no room earlier only if they belong to [services].
     *
     * It costs nothing for the other services; a full [dispatch] is needed now and then in case their room changed.
     */
    fun dispatch(
        services: Collection<String>,
        place: (QueuedJob) -> Boolean,
    )

    /** Counts the end of a task that was placed for [team]. */
    fun taskEnded(team: String)

    /** Limits the tasks of [team] that this instance runs at a time; teams without a limit are unlimited. */
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

    /** Order of arrival, unique per job. */
    val sequence: Long

    /**
     * Need of the next unstarted task; read at every put and after every placement.
     *
     * When one job finds no room, jobs with an equal key and the same or a lower class are skipped until the end of the
     * dispatch. Equal keys must have the same [service].
     */
    val needKey: Any get() = service
}
