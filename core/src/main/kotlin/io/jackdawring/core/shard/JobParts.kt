package io.jackdawring.core.shard

/**
 * Tasks of durable jobs that run in another shard than their job: those that this shard has delegated, and the parts of
 * jobs of other shards that it runs.
 */
interface JobParts {
    /** Long-running tasks that have waited for a while without a run, of jobs that do not move as a whole. */
    fun stalledTasks(nowMillis: Long): List<StalledTask>

    /** Holds a stalled task back, which another shard is to run; returns null if it may not be delegated now. */
    fun hold(
        task: StalledTask,
        nowMillis: Long,
    ): TaskProgress?

    /** Records that [tasks] are back in this shard, which has the job. */
    fun restore(
        jobId: JobId,
        tasks: Map<String, TaskProgress>,
        nowMillis: Long,
    )

    /** Stores the progress of a job; the write includes what is delegated and returned. */
    fun save(jobId: JobId)

    /** Ends a job as failed, because a task of one of its parts failed. */
    fun fail(
        jobId: JobId,
        nowMillis: Long,
    )

    /** Whether each of [needs], which have one task each, has room now, beside those before it. */
    fun hasRoom(
        needs: List<JobNeeds>,
        nowMillis: Long,
    ): List<Boolean>

    /** Runs the tasks of [part], and no others of the same job; returns those that are new here. */
    fun run(
        part: JobPart,
        nowMillis: Long,
    ): Set<String>

    /**
     * Stops the tasks of a part; its end is stored as its progress, in [endCancelled] if not now.
     *
     * It ends only when no earlier holder of this shard, which may be cut off, can start its tasks.
     */
    fun cancel(
        jobId: JobId,
        nowMillis: Long,
    )

    /** Ends cancelled parts whose tasks no earlier holder can start any more. */
    fun endCancelled(nowMillis: Long)

    /** Forgets a part that the shard with its job has taken back. */
    fun drop(
        jobId: JobId,
        nowMillis: Long,
    )
}
