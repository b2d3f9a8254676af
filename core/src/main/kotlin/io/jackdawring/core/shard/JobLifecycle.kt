package io.jackdawring.core.shard

/** Leads the jobs of a shard from their first step to their end, as their runs end. */
internal class JobLifecycle(
    options: ShardOptions,
    private val outlet: ShardEffects,
) : RunListener {
    val control = TargetControl(options, outlet, this)
    val durations = DurationEstimator()
    val waiting = WaitingTasks(::latestStartMillis)
    val earlier = EarlierRuns(control, options.outcomeRetentionMillis)
    val kept = KeptJobs(outlet, control)

    /** Jobs that callers wait for. */
    private val jobs = LinkedHashMap<JobId, HeldJob>()
    private val jobsByWaiter = HashMap<WaiterId, HeldJob>()
    private val outcomes = RecentMap<JobId, JobOutcome>(options.outcomeRetentionMillis)

    val awaitedJobs: Collection<HeldJob> get() = jobs.values

    fun find(id: JobId): HeldJob? = jobs[id]

    fun findByWaiter(waiter: WaiterId): HeldJob? = jobsByWaiter[waiter]

    fun findOutcome(
        id: JobId,
        nowMillis: Long,
    ): JobOutcome? = outcomes.find(id, nowMillis)

    /** Adds a job that [waiter] waits for. */
    fun add(
        job: HeldJob,
        waiter: WaiterId,
    ) {
        jobs[job.spec.id] = job
        join(job, waiter)
    }

    fun join(
        job: HeldJob,
        waiter: WaiterId,
    ) {
        job.waiters.add(waiter)
        job.withoutWaitersSinceMillis = null
        jobsByWaiter[waiter] = job
    }

    /** Takes a waiter from its job, and returns the job if nobody waits for it any more. */
    fun leave(
        waiter: WaiterId,
        nowMillis: Long,
    ): HeldJob? {
        val job = jobsByWaiter.remove(waiter) ?: return null
        job.waiters.remove(waiter)
        if (job.waiters.isNotEmpty()) return null
        job.withoutWaitersSinceMillis = nowMillis
        return job
    }

    /** Answers requests for the job with [outcome] from now on. */
    fun remember(
        id: JobId,
        outcome: JobOutcome,
        nowMillis: Long,
    ) = outcomes.put(id, outcome, nowMillis)

    /** Releases the steps whose turn has come, or ends the job if all is done. */
    fun proceed(
        job: HeldJob,
        nowMillis: Long,
    ) = when {
        !job.isComplete -> job.releaseSteps().forEach(waiting::add)
        job.isKept -> endKept(job, JobState.COMPLETED, "all tasks are done", nowMillis)
        else -> finish(job, JobOutcome.Completed, nowMillis)
    }

    /** Decides on jobs that may run already, once every target has told what runs there. */
    fun decideOnEarlierJobs(nowMillis: Long) {
        for (job in earlier.takeDecidable(nowMillis)) {
            if (isHeld(job)) decideOnEarlier(job, nowMillis)
            // Otherwise, the ends that were listed meanwhile are needed until the progress is stored.
            if (!job.isSaving) control.onSaved(job.spec.id, version = 0, nowMillis)
        }
    }

    private fun decideOnEarlier(
        job: HeldJob,
        nowMillis: Long,
    ) {
        val progressed = earlier.claim(job)
        val hopeless = job.tasks().firstOrNull { it.failures >= job.spec.maxAttempts }
        if (hopeless != null) {
            failTask(hopeless, nowMillis)
        } else {
            if (progressed) noteProgress(job)
            proceed(job, nowMillis)
        }
    }

    private fun noteProgress(job: HeldJob) {
        // The end of a job is stored with its last progress.
        if (job.isKept && !job.isComplete) kept.progressed(job)
    }

    private fun isHeld(job: HeldJob): Boolean = if (job.isKept) kept.isOpen(job) else jobs[job.spec.id] === job

    private fun latestStartMillis(task: HeldTask): Long {
        val chainMillis = task.job.spec.chainFromMillis(task.key.step)
        val expectedMillis = durations.atUnitSpeedMillis(task.job.spec.queue, chainMillis)
        return task.job.objectiveAtMillis - (expectedMillis * DurationEstimator.SAFETY).toLong()
    }

    override fun onDone(
        run: HeldRun,
        nowMillis: Long,
    ) {
        val task = run.owner ?: return
        if (task.spec.longRunning) {
            onLost(run, "a run of a lasting task has ended", nowMillis)
            return
        }
        if (!run.isAdopted) durations.onDone(task, run.target, nowMillis - run.sentAtMillis)
        task.runs.remove(run)
        if (!task.job.markDone(task) || !isHeld(task.job)) return
        stopRuns(task, "a copy is done", nowMillis)
        noteProgress(task.job)
        proceed(task.job, nowMillis)
    }

    override fun onFailed(
        run: HeldRun,
        nowMillis: Long,
    ) {
        val task = run.owner ?: return
        if (task.spec.longRunning) {
            onLost(run, "a run of a lasting task has failed", nowMillis)
            return
        }
        task.runs.remove(run)
        task.failedAttempts += run.attempt
        task.avoid = run.target
        control.fault(run.target, "runs fail", FAILURES_ALLOWED, nowMillis)
        if (task.done || !isHeld(task.job)) return
        if (task.failures >= task.job.spec.maxAttempts) {
            failTask(task, nowMillis)
        } else {
            noteProgress(task.job)
            queueAgain(task)
        }
    }

    override fun onLost(
        run: HeldRun,
        reason: String,
        nowMillis: Long,
    ) {
        val task = run.owner ?: return
        task.runs.remove(run)
        task.avoid = run.target
        outlet.report(ShardDecision.RunRepeated(run.key, run.attempt, run.target.id, reason))
        if (task.done || !isHeld(task.job)) return
        if (run.checkpoint != null) noteProgress(task.job)
        if (task.spec.longRunning) task.delayStart(nowMillis - run.sentAtMillis, nowMillis)
        queueAgain(task)
    }

    /** Lets the task start again unless a copy of it still runs. */
    private fun queueAgain(task: HeldTask) {
        if (task.runs.isEmpty()) waiting.add(task)
    }

    override fun onInvalid(run: HeldRun) {
        val task = run.owner ?: return
        task.runs.remove(run)
        if (isHeld(task.job)) fail(task.job, "the target says that the order is invalid", run.sentAtMillis)
    }

    override fun onUnknownEnd(
        end: EndedRun,
        nowMillis: Long,
    ): Long? {
        val job = jobs[end.task.jobId] ?: kept.findUnsaved(end.task.jobId)
        if (job == null || earlier.isUndecided(job.spec.id)) {
            earlier.onEnd(end, nowMillis)
            return if (job == null) null else job.progressVersion
        }
        val task = job.find(end.task)
        if (task != null && !task.done && isHeld(job)) applyLate(task, end, nowMillis)
        return job.progressVersion.takeIf { job.isSaving }
    }

    private fun applyLate(
        task: HeldTask,
        end: EndedRun,
        nowMillis: Long,
    ) {
        if (task.spec.longRunning) return
        if (end.ending == EndedRun.Ending.DONE) {
            completeLate(task, nowMillis)
            return
        }
        val failed = end.ending == EndedRun.Ending.FAILED && task.failedAttempts.add(end.attempt)
        val saved = task.saved(end.checkpoint?.let { Checkpoint(it, end.attempt) })
        when {
            failed && task.failures >= task.job.spec.maxAttempts -> failTask(task, nowMillis)
            failed || saved -> noteProgress(task.job)
        }
    }

    /** Ends a task of which a run was done that was believed to be over; a newer run of it is needless. */
    private fun completeLate(
        task: HeldTask,
        nowMillis: Long,
    ) {
        waiting.remove(task)
        task.job.markDone(task)
        stopRuns(task, "the task is done", nowMillis)
        noteProgress(task.job)
        proceed(task.job, nowMillis)
    }

    private fun failTask(
        task: HeldTask,
        nowMillis: Long,
    ) = fail(task.job, "task ${task.key.step}.${task.key.index} failed ${task.failures} times", nowMillis)

    private fun fail(
        job: HeldJob,
        reason: String,
        nowMillis: Long,
    ) = if (job.isKept) {
        endKept(job, JobState.FAILED, reason, nowMillis)
    } else {
        finish(job, JobOutcome.Failed(reason), nowMillis)
    }

    /** Ends a kept job and everything of it that still waits or runs. */
    fun endKept(
        job: HeldJob,
        state: JobState,
        reason: String,
        nowMillis: Long,
    ) {
        kept.end(job, state, reason)
        endTasks(job, nowMillis)
    }

    /** Answers all waiters and ends everything of the job that still waits or runs. */
    fun finish(
        job: HeldJob,
        outcome: JobOutcome,
        nowMillis: Long,
    ) {
        jobs.remove(job.spec.id)
        val isFinal = outcome is JobOutcome.Completed || outcome is JobOutcome.Failed
        if (isFinal) remember(job.spec.id, outcome, nowMillis)
        val age = nowMillis - job.arrivedAtMillis
        outlet.report(ShardDecision.JobAnswered(job.spec.id, job.spec.queue, outcome, age, job.spec.objectiveMillis))
        job.waiters.forEach { waiter ->
            jobsByWaiter.remove(waiter)
            outlet.answer(waiter, outcome)
        }
        endTasks(job, nowMillis)
    }

    private fun endTasks(
        job: HeldJob,
        nowMillis: Long,
    ) {
        for (task in job.tasks()) {
            waiting.remove(task)
            stopRuns(task, "its job has ended", nowMillis)
        }
    }

    private fun stopRuns(
        task: HeldTask,
        reason: String,
        nowMillis: Long,
    ) = task.runs.forEach { control.stop(it, reason, nowMillis) }

    fun forgetOld(nowMillis: Long) {
        outcomes.forgetOld(nowMillis)
        earlier.forgetOld(nowMillis)
    }

    /** Tells every waiter that the shard has moved, and forgets all jobs. */
    fun release() {
        jobsByWaiter.keys.toList().forEach { outlet.answer(it, JobOutcome.Moved) }
        jobsByWaiter.clear()
        jobs.clear()
        kept.clear()
    }

    private companion object {
        /** Failures in a row after which a target is suspended; a single one may be the task's fault. */
        const val FAILURES_ALLOWED = 2
    }
}
