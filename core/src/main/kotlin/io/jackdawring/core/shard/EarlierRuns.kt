package io.jackdawring.core.shard

/** What earlier holders have started, until its jobs are known, and the jobs that wait until all of it is known. */
internal class EarlierRuns(
    private val control: TargetControl,
    retentionMillis: Long,
) {
    private class Ends(
        val done: Boolean,
        val failedAttempts: Set<Int>,
        val checkpoint: Checkpoint?,
    )

    private val ends = RecentMap<TaskKey, Ends>(retentionMillis)
    private val undecided = LinkedHashMap<JobId, HeldJob>()

    fun onEnd(
        end: EndedRun,
        nowMillis: Long,
    ) {
        val before = ends.remove(end.task)
        val done = before?.done == true || end.ending == EndedRun.Ending.DONE
        val failed = if (end.ending == EndedRun.Ending.FAILED) setOf(end.attempt) else emptySet()
        val saved = end.checkpoint?.let { Checkpoint(it, end.attempt) }
        val checkpoint = listOfNotNull(before?.checkpoint, saved).maxByOrNull { it.attempt }
        ends.put(end.task, Ends(done, before?.failedAttempts.orEmpty() + failed, checkpoint), nowMillis)
    }

    /** Adds a job that must not start before it is known what runs of it. */
    fun add(job: HeldJob) {
        undecided[job.spec.id] = job
    }

    fun isUndecided(id: JobId): Boolean = id in undecided

    /** Takes the jobs that may be decided on now. */
    fun takeDecidable(nowMillis: Long): List<HeldJob> {
        if (undecided.isEmpty() || !control.allSeen(nowMillis)) return emptyList()
        return undecided.values.toList().also { undecided.clear() }
    }

    /** Gives runs and ends of an earlier holder to the tasks of [job], and returns whether there were ends. */
    fun claim(job: HeldJob): Boolean {
        var progressed = false
        for (task in job.tasks()) {
            if (task.done) continue
            // A lasting task starts again however a run of it has ended.
            val known = ends.remove(task.key).takeUnless { task.spec.longRunning }
            val savedAnew = task.saved(known?.checkpoint)
            val failedAnew = task.failedAttempts.addAll(known?.failedAttempts.orEmpty())
            if (known?.done == true) {
                job.markDone(task)
            } else if (control.claim(task)) {
                job.started = true
            }
            if (failedAnew || savedAnew || known?.done == true) progressed = true
        }
        if (progressed) job.started = true
        return progressed
    }

    /** Before the stored jobs are known, any end may belong to one of them. */
    fun forgetOld(nowMillis: Long) {
        if (control.recovered) ends.forgetOld(nowMillis)
    }
}
