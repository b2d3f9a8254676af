package io.jackdawring.core.shard

/** A task is in one shard at a time; here, [TrackedTask.isElsewhere] marks those of the other shards. */
internal class RealJobParts(
    private val lifecycle: JobLifecycle,
    private val stalled: StalledJobs,
    private val nextSequence: () -> Long,
    private val place: (Long) -> Unit,
) : JobParts {
    private val control = lifecycle.control
    private val durable = lifecycle.durable
    private val waiting = lifecycle.waiting

    override fun stalledTasks(nowMillis: Long): List<StalledTask> {
        val found = ArrayList<StalledTask>()
        for (job in durable.openJobs) {
            if (!job.hasLongRunningTasks) continue
            val movesAsWhole = stalled.isStalled(job, nowMillis)
            for (task in job.tasks()) {
                val isStalled = !movesAsWhole && isStalled(task, nowMillis)
                task.stalledSinceMillis = if (isStalled) task.stalledSinceMillis ?: nowMillis else null
                val sinceMillis = task.stalledSinceMillis ?: continue
                if (nowMillis - sinceMillis >= StalledJobs.STALL_MILLIS) found.add(toStalledTask(task))
            }
        }
        return found
    }

    private fun toStalledTask(task: TrackedTask): StalledTask {
        val job = task.job
        val needs = JobNeeds(job.spec.service, listOf(task.spec.copy(count = 1, after = emptyList())))
        return StalledTask(job.spec.id, job.progressKey(task), needs, job.isPart)
    }

    /** The conditions of a move, for one task: it waits, and no shard has a run of it, or may have one. */
    private fun isStalled(
        task: TrackedTask,
        nowMillis: Long,
    ): Boolean =
        task.spec.longRunning &&
            task.waiting &&
            task.runs.isEmpty() &&
            task.mayStart(nowMillis) &&
            !task.job.isMoving &&
            task.job.ending == null &&
            !control.isPresent(task.key) &&
            stalled.areForeignRunsOver(task.job, nowMillis)

    override fun hold(
        task: StalledTask,
        nowMillis: Long,
    ): TaskProgress? {
        val held = durable.find(task.jobId)?.findByProgressKey(task.task)
        if (held == null || held.isElsewhere || !isStalled(held, nowMillis)) return null
        leave(held)
        return TaskProgress(
            held.lastAttempt,
            held.failedAttempts.toList(),
            held.checkpoint,
            held.crashes.toList(),
        )
    }

    private fun leave(task: TrackedTask) {
        task.isElsewhere = true
        task.stalledSinceMillis = null
        waiting.remove(task)
    }

    override fun restore(
        jobId: JobId,
        tasks: Map<String, TaskProgress>,
        nowMillis: Long,
    ) {
        val job = durable.find(jobId)?.takeUnless { it.isPart } ?: return
        for ((key, progress) in tasks) {
            val task = job.findByProgressKey(key)?.takeIf { it.isElsewhere } ?: continue
            enter(task, progress, nowMillis)
            task.attemptFloor = task.lastAttempt
            // It has waited in the other shard.
            task.stalledSinceMillis = nowMillis - StalledJobs.STALL_MILLIS
        }
        if (job.ending != null) lifecycle.completeEnding(job, nowMillis)
        place(nowMillis)
    }

    /** Lets [task] start here, after all that is known from the other shard. */
    private fun enter(
        task: TrackedTask,
        progress: TaskProgress,
        nowMillis: Long,
    ) {
        task.isElsewhere = false
        task.lastAttempt = maxOf(task.lastAttempt, progress.lastAttempt)
        task.failedAttempts += progress.failures
        task.recordCheckpoint(progress.checkpoint)
        lifecycle.addCrashes(task, progress.crashes, nowMillis)
        val isOpen = task.job.ending == null && !lifecycle.previousRuns.isAwaitingRecovery(task.job.spec.id)
        if (isOpen && !task.done && task.runs.isEmpty()) waiting.add(task)
    }

    override fun save(jobId: JobId) {
        durable.find(jobId)?.let(durable::saveProgress)
    }

    override fun fail(
        jobId: JobId,
        nowMillis: Long,
    ) {
        val job = durable.find(jobId)?.takeIf { it.ending == null } ?: return
        lifecycle.endDurable(job, JobState.FAILED, "a task failed in another shard", nowMillis)
    }

    override fun hasRoom(
        needs: List<JobNeeds>,
        nowMillis: Long,
    ): List<Boolean> = CapacityForecast.hasRoom(needs, control.targets, nowMillis)

    override fun run(
        part: JobPart,
        nowMillis: Long,
    ): Set<String> {
        val known = durable.find(part.spec.id)
        val added =
            when {
                known?.isPart == true -> update(known, part, nowMillis)
                durable.contains(part.spec.id) -> emptySet()
                else -> add(part, nowMillis)
            }
        place(nowMillis)
        return added
    }

    private fun add(
        part: JobPart,
        nowMillis: Long,
    ): Set<String> {
        val arrivedAtMillis = nowMillis - part.ageMillis
        val job =
            TrackedJob(part.spec, nextSequence(), arrivedAtMillis, Long.MAX_VALUE, isDurable = true, isPart = true)
        job.started = true
        job.mayHaveForeignRuns = !control.recovered
        job.tasks().forEach { it.isElsewhere = true }
        lifecycle.previousRuns.add(job)
        return enterAll(job, part, nowMillis).also { durable.add(job) }
    }

    private fun update(
        job: TrackedJob,
        part: JobPart,
        nowMillis: Long,
    ): Set<String> {
        for (task in job.tasks()) {
            if (task.isElsewhere || job.progressKey(task) in part.tasks) continue
            leave(task)
            lifecycle.stopRuns(task, "another shard has the task", nowMillis)
        }
        return enterAll(job, part, nowMillis)
    }

    private fun enterAll(
        job: TrackedJob,
        part: JobPart,
        nowMillis: Long,
    ): Set<String> {
        val added = part.tasks.filterKeys { job.findByProgressKey(it)?.isElsewhere == true }
        for ((key, progress) in added) {
            val task = job.findByProgressKey(key) ?: continue
            task.lastAttempt = maxOf(task.lastAttempt, part.attemptBase)
            enter(task, progress, nowMillis)
        }
        return added.keys
    }

    override fun cancel(
        jobId: JobId,
        nowMillis: Long,
    ) {
        val job = durable.find(jobId)?.takeIf { it.isPart } ?: return
        if (job.ending == null) {
            job.ending = JobState.CANCELLED
            lifecycle.endTasks(job, nowMillis)
        }
        endIfOver(job, nowMillis)
    }

    override fun endCancelled(nowMillis: Long) =
        durable.openJobs.filter { it.isPart && it.ending != null }.forEach { endIfOver(it, nowMillis) }

    private fun endIfOver(
        job: TrackedJob,
        nowMillis: Long,
    ) {
        if (!stalled.areForeignRunsOver(job, nowMillis)) return
        lifecycle.endDurable(job, JobState.CANCELLED, "its job has ended", nowMillis)
    }

    override fun drop(
        jobId: JobId,
        nowMillis: Long,
    ) {
        val job = durable.findPart(jobId) ?: return
        lifecycle.endTasks(job, nowMillis)
        durable.onMoved(jobId, nowMillis)
        durable.forget(jobId)
    }
}
