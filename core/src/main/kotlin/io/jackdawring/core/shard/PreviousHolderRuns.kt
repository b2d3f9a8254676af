package io.jackdawring.core.shard

/** Keeps ended runs of previous holders until their jobs arrive, and jobs until all runs of these holders are known. */
internal class PreviousHolderRuns(
    private val control: TargetControl,
    retentionMillis: Long,
) {
    private class EndedAttempts(
        val done: Boolean,
        val failedAttempts: Set<Int>,
        val checkpoint: Checkpoint?,
    )

    private val ends = ExpiringMap<TaskKey, EndedAttempts>(retentionMillis)
    private val awaitingRecovery = LinkedHashMap<JobId, TrackedJob>()

    fun onEnd(
        end: EndedRun,
        nowMillis: Long,
    ) {
        val before = ends.remove(end.task)
        val done = before?.done == true || end.ending == EndedRun.Ending.DONE
        val failed = if (end.ending == EndedRun.Ending.FAILED) setOf(end.attempt) else emptySet()
        val saved = end.checkpoint?.let { Checkpoint(it, end.attempt) }
        val checkpoint = listOfNotNull(before?.checkpoint, saved).maxByOrNull { it.attempt }
        ends.put(end.task, EndedAttempts(done, before?.failedAttempts.orEmpty() + failed, checkpoint), nowMillis)
    }

    /** Adds a job that must not start before its runs from previous holders are known. */
    fun add(job: TrackedJob) {
        awaitingRecovery[job.spec.id] = job
    }

    fun isAwaitingRecovery(id: JobId): Boolean = id in awaitingRecovery

    /** Removes and returns the added jobs for which all runs of previous holders are known now. */
    fun takeRecoverable(nowMillis: Long): List<TrackedJob> {
        if (awaitingRecovery.isEmpty()) return emptyList()
        val recoverable =
            awaitingRecovery.values
                .groupBy { it.isDurable to it.firstFencingToken }
                .values
                .filter { jobs -> control.previousRuns(jobs.first(), nowMillis) != PreviousRuns.UNCERTAIN }
                .flatten()
        recoverable.forEach { awaitingRecovery.remove(it.spec.id) }
        return recoverable
    }

    /** Assigns runs of previous holders to the tasks of [job]; returns whether ended runs changed its progress. */
    fun claim(job: TrackedJob): Boolean {
        var progressChanged = false
        for (task in job.tasks()) {
            if (task.done || task.isElsewhere) continue
            if (applyEnds(task)) progressChanged = true
            if (!task.done && control.claim(task)) job.started = true
        }
        return progressChanged
    }

    /** Applies the known ended runs of previous holders to [task]; returns whether they changed its progress. */
    fun applyEnds(task: TrackedTask): Boolean {
        // A long-running task starts again however its last run ended.
        val known = ends.remove(task.key).takeUnless { task.spec.longRunning || task.done } ?: return false
        val checkpointChanged = task.recordCheckpoint(known.checkpoint)
        val failuresChanged = task.failedAttempts.addAll(known.failedAttempts)
        if (known.done) task.job.markDone(task)
        val progressChanged = failuresChanged || checkpointChanged || known.done
        if (progressChanged) task.job.started = true
        return progressChanged
    }

    /** Removes expired ended runs, but only after recovery: before, any of them may belong to a stored job. */
    fun removeExpired(nowMillis: Long) {
        if (control.recovered) ends.removeExpired(nowMillis)
    }
}
