package io.jackdawring.core.shard

import io.jackdawring.core.TargetId
import io.jackdawring.core.shard.interference.InterferenceAvoidance
import kotlinx.collections.immutable.toImmutableMap

/** Manages the open jobs of a shard: queues their tasks, handles the ends of their runs and answers their waiters. */
internal class JobLifecycle(
    options: ShardOptions,
    private val effects: ShardEffects,
) : RunListener {
    val control = TargetControl(options, effects, this)
    val durations = DurationEstimator()
    val interference = InterferenceAvoidance(effects::report)
    val waiting = WaitingTasks(::latestStartMillis)
    val previousRuns = PreviousHolderRuns(control, options.outcomeRetentionMillis)
    val durable = DurableJobs(effects, control)
    val faults = FaultAttribution(control)
    private val crashes = CrashTracker(effects, ::onCrashProven)

    /** Open jobs that are not durable. */
    private val jobs = LinkedHashMap<JobId, TrackedJob>()
    private val jobsByWaiter = HashMap<WaiterId, TrackedJob>()
    private val outcomes = ExpiringMap<JobId, JobOutcome>(options.outcomeRetentionMillis)
    private val resendAfterMillis = options.resendAfterMillis
    private val abandoned = AbandonedJobs(resendAfterMillis)

    val awaitedJobs: Collection<TrackedJob> get() = jobs.values

    fun find(id: JobId): TrackedJob? = jobs[id]

    fun findByWaiter(waiter: WaiterId): TrackedJob? = jobsByWaiter[waiter]

    fun findOutcome(
        id: JobId,
        nowMillis: Long,
    ): JobOutcome? = outcomes.find(id, nowMillis)

    /** Adds a job that [waiter] waits for. */
    fun add(
        job: TrackedJob,
        waiter: WaiterId,
    ) {
        jobs[job.spec.id] = job
        join(job, waiter)
    }

    fun join(
        job: TrackedJob,
        waiter: WaiterId,
    ) {
        job.waiters.add(waiter)
        job.withoutWaitersSinceMillis = null
        jobsByWaiter[waiter] = job
    }

    /** Removes a waiter that has gone at [sinceMillis], and returns its job if no other request waits for it. */
    fun leave(
        waiter: WaiterId,
        sinceMillis: Long,
    ): TrackedJob? {
        val job = jobsByWaiter.remove(waiter) ?: return null
        job.waiters.remove(waiter)
        if (job.waiters.isNotEmpty()) return null
        job.withoutWaitersSinceMillis = sinceMillis
        return job
    }

    /** Answers later requests for the job with [outcome] until that expires. */
    fun recordOutcome(
        id: JobId,
        outcome: JobOutcome,
        nowMillis: Long,
    ) = outcomes.put(id, outcome, nowMillis)

    /** Queues the tasks of the steps that are ready, or ends the job if all tasks are done. */
    fun advance(
        job: TrackedJob,
        nowMillis: Long,
    ) = when {
        job.isPart -> job.tasks().filter { !it.isElsewhere && it.runs.isEmpty() }.forEach(waiting::add)
        !job.isComplete -> job.releaseReadySteps().forEach(waiting::add)
        job.isDurable -> endDurable(job, JobState.COMPLETED, "all tasks completed", nowMillis)
        else -> finish(job, JobOutcome.Completed, nowMillis)
    }

    /** Resumes jobs that previous holders may have started, once all of their runs are known. */
    fun resumeRecoveredJobs(nowMillis: Long) {
        for (job in previousRuns.takeRecoverable(nowMillis)) {
            if (isOpen(job)) resumeRecovered(job, nowMillis)
        }
    }

    private fun resumeRecovered(
        job: TrackedJob,
        nowMillis: Long,
    ) {
        val progressChanged = previousRuns.claim(job)
        reportResumed(job, nowMillis)
        val exhausted = job.tasks().firstOrNull { it.failures >= job.spec.maxAttempts }
        val crashing = job.tasks().firstOrNull { it.crashes.isExhausted && !it.done }
        if (exhausted != null) {
            failTask(exhausted, nowMillis)
        } else if (crashing != null) {
            failCrashing(crashing, nowMillis)
        } else {
            if (progressChanged) saveProgress(job)
            advance(job, nowMillis)
        }
    }

    /** Reports that [job], which may have run, continues, and on which grounds. */
    fun reportResumed(
        job: TrackedJob,
        nowMillis: Long,
    ) {
        val adopted = job.tasks().sumOf { it.runs.size }
        val previousRuns = control.previousRuns(job, nowMillis)
        val heldMillis = control.heldMillis(nowMillis)
        effects.report(ShardDecision.JobResumed(job.spec.id, previousRuns, control.targets.size, adopted, heldMillis))
    }

    /**
     * Adds a stored job, which is resumed once all of its runs by previous holders are known.
     *
     * What is known of them is stored before, so that targets with many ended runs can forget some and list the others.
     */
    fun addRecovered(job: TrackedJob) {
        durable.add(job)
        // Its runs are stopped like those of an ended job.
        if (job.ending != null) return
        previousRuns.add(job)
        if (job.tasks().count(previousRuns::applyEnds) > 0) durable.saveProgress(job)
    }

    /** Applies the crashes of targets that previous holders stored for the tasks of [job]. */
    fun restoreCrashes(
        job: TrackedJob,
        progress: JobProgress,
        nowMillis: Long,
    ) {
        for (task in job.tasks()) {
            if (task.isElsewhere) continue
            val known = progress.crashes[job.progressKey(task)] ?: continue
            crashes.restore(task, known, nowMillis, control::incarnationOf)
        }
    }

    /** Adds the crashes [known] to another shard to those of [task]. */
    fun addCrashes(
        task: TrackedTask,
        known: List<TargetCrash>,
        nowMillis: Long,
    ) {
        if (known.isEmpty()) return
        val all = (task.crashes.toList() + known).groupBy { it.attempt }.values
        val merged = all.map { same -> same.firstOrNull { it.isProven } ?: same.first() }.sortedBy { it.attempt }
        crashes.restore(task, merged, nowMillis, control::incarnationOf)
    }

    /** Stores a start of a task that may crash its target, so that a later holder knows of the run if it does. */
    fun onStarted(task: TrackedTask) {
        if (!task.crashes.isEmpty) saveProgress(task.job)
    }

    private fun saveProgress(job: TrackedJob) {
        // The last progress is stored together with the end of the job.
        if (job.isDurable && !job.isComplete) durable.saveProgress(job)
    }

    private fun isOpen(job: TrackedJob): Boolean =
        if (job.isDurable) durable.isOpen(job) && job.ending == null else jobs[job.spec.id] === job

    override fun isAbandoned(jobId: JobId): Boolean = jobId in abandoned

    override fun abandon(
        jobId: JobId,
        sinceMillis: Long,
        nowMillis: Long,
    ) = abandoned.add(jobId, sinceMillis, nowMillis)

    /** Records which jobs nobody waits for according to an earlier holder's [handOver] of [madeAtMillis]. */
    fun abandonAll(
        handOver: HandOver,
        madeAtMillis: Long,
        nowMillis: Long,
    ) = handOver.abandonedJobs
        .filterKeys { it !in jobs }
        .forEach { (id, agoMillis) -> abandon(id, madeAtMillis - agoMillis, nowMillis) }

    /** A relay asks for [jobId], so that its caller waits again. */
    fun onAsked(jobId: JobId) = abandoned.remove(jobId)

    /** What a successor has to know, apart from the relays that have fallen silent. */
    fun handOver(nowMillis: Long): HandOver {
        val withRuns = control.withRuns(abandoned.ids)
        val since =
            abandoned.ids
                .associateWith { checkNotNull(abandoned.sinceMillis(it)) }
                .filter { (id, sinceMillis) -> id in withRuns || nowMillis - sinceMillis < resendAfterMillis }
        val listed = since.entries.toList().takeLast(MAX_ABANDONED_JOBS)
        val unlistedSince = (since - listed.map { it.key }.toSet()).values.minOrNull()
        val handOver = control.handOver(nowMillis)
        // Their relays may still replace their connections.
        val orphanedSince = jobs.values.mapNotNull { it.withoutWaitersSinceMillis }.minOrNull()
        val unservedSince = listOfNotNull(unlistedSince, orphanedSince).minOrNull() ?: nowMillis
        return handOver.copy(
            unservedMillis = maxOf(handOver.unservedMillis, nowMillis - unservedSince),
            abandonedJobs = listed.associate { (id, sinceMillis) -> id to nowMillis - sinceMillis }.toImmutableMap(),
        )
    }

    /** Time for which callers of runs that may go on may have been gone. */
    fun unservedMillis(nowMillis: Long): Long {
        val abandonedSince = control.withRuns(abandoned.ids).mapNotNull(abandoned::sinceMillis)
        val orphanedSince = jobs.values.mapNotNull { it.withoutWaitersSinceMillis }
        val since = abandonedSince + orphanedSince + listOfNotNull(control.unclaimedSinceMillis(nowMillis))
        return since.minOrNull()?.let { maxOf(0, nowMillis - it) } ?: 0
    }

    override fun awaitsRuns(jobId: JobId): Boolean =
        previousRuns.isAwaitingRecovery(jobId) && (jobs[jobId] ?: durable.find(jobId)) != null

    private fun latestStartMillis(task: TrackedTask): Long {
        val criticalPathMillis = task.job.spec.criticalPathFromMillis(task.key.step)
        val expectedMillis = durations.unitSpeedMillis(task.job.spec.queue, criticalPathMillis)
        return task.job.objectiveAtMillis - (expectedMillis * DurationEstimator.SAFETY_FACTOR).toLong()
    }

    override fun onAdded(
        run: TrackedRun,
        nowMillis: Long,
    ) = interference.onRunAdded(run, nowMillis)

    override fun onRemoved(
        run: TrackedRun,
        nowMillis: Long,
    ) = interference.onRunRemoved(run, nowMillis)

    override fun onDone(
        run: TrackedRun,
        nowMillis: Long,
    ) {
        val task = run.owner ?: return
        if (task.spec.longRunning) {
            onLost(run, "a run of a long-running task ended", nowMillis)
            return
        }
        if (!run.isAdopted) recordDuration(run, task, nowMillis)
        faults.onDone(run, nowMillis)
        interference.onDone(task, run, nowMillis)
        task.runs.remove(run)
        if (!task.job.markDone(task) || !isOpen(task.job)) return
        stopRuns(task, "another copy completed", nowMillis)
        saveProgress(task.job)
        advance(task.job, nowMillis)
    }

    private fun recordDuration(
        run: TrackedRun,
        task: TrackedTask,
        nowMillis: Long,
    ) {
        val observedMillis = nowMillis - run.sentAtMillis
        if (run.target.warmUp.includes(run.sentAtMillis)) {
            durations.onDoneWhileCold(task, run.target, observedMillis, nowMillis)
        } else {
            durations.onDone(task, run.target, observedMillis)
        }
    }

    override fun onFailed(
        run: TrackedRun,
        nowMillis: Long,
    ) {
        val task = run.owner ?: return
        if (task.spec.longRunning) {
            onLost(run, "a run of a long-running task failed", nowMillis)
            return
        }
        task.runs.remove(run)
        task.failedAttempts += run.attempt
        task.avoidedTarget = run.target
        faults.onFault(run, "consecutive runs failed", nowMillis)
        if (task.done || !isOpen(task.job)) return
        if (task.failures >= task.job.spec.maxAttempts) {
            failTask(task, nowMillis)
        } else {
            saveProgress(task.job)
            requeue(task)
        }
    }

    override fun onLost(
        run: TrackedRun,
        reason: String,
        nowMillis: Long,
    ) {
        val task = run.owner ?: return
        task.runs.remove(run)
        task.avoidedTarget = run.target
        if (task.done || !isOpen(task.job)) return
        effects.report(ShardDecision.RunLost(run.key, run.attempt, run.target.id, reason))
        if (run.checkpoint != null || !task.crashes.isEmpty) saveProgress(task.job)
        if (task.spec.longRunning) task.delayStart(nowMillis - run.sentAtMillis, nowMillis)
        requeue(task)
    }

    override fun onAtRisk(run: TrackedRun) {
        val task = run.owner ?: return
        // A holder that is replaced before it knows more leaves the suspicion to the next one.
        if (!run.isSound && !task.done && isOpen(task.job)) saveProgress(task.job)
    }

    override fun onTargetLost(
        run: TrackedRun,
        nowMillis: Long,
    ) {
        val task = run.owner ?: return
        if (task.done || !isOpen(task.job)) return
        val hadCrashes = !task.crashes.isEmpty
        crashes.suspect(run, nowMillis)
        if (hadCrashes && task.crashes.isEmpty) saveProgress(task.job)
    }

    override fun onAnswered(
        target: TargetId,
        incarnationStartMillis: Long?,
        nowMillis: Long,
    ) = crashes.onAnswered(target, incarnationStartMillis, nowMillis)

    private fun onCrashProven(
        task: TrackedTask,
        nowMillis: Long,
    ) {
        if (task.done || !isOpen(task.job) || task.job.isMoving) return
        // Until the ended runs of previous holders are applied, the task may be done, and progress must not be stored.
        if (previousRuns.isAwaitingRecovery(task.job.spec.id)) return
        if (task.crashes.isExhausted) failCrashing(task, nowMillis) else saveProgress(task.job)
    }

    /** Queues the task again unless a speculative copy of it still runs. */
    private fun requeue(task: TrackedTask) {
        if (task.runs.isEmpty()) waiting.add(task)
    }

    override fun onInvalid(
        run: TrackedRun,
        nowMillis: Long,
    ) {
        val task = run.owner ?: return
        task.runs.remove(run)
        if (isOpen(task.job)) fail(task.job, "the target says that the order is invalid", nowMillis)
    }

    override fun onUnknownEnd(
        end: EndedRun,
        nowMillis: Long,
    ): Long? {
        val job = jobs[end.task.jobId] ?: durable.findUnsaved(end.task.jobId)
        val task = job?.find(end.task)
        if (job == null || job.isMoving || previousRuns.isAwaitingRecovery(job.spec.id)) {
            previousRuns.onEnd(end, nowMillis)
            if (task != null && job.isDurable && previousRuns.applyEnds(task)) durable.saveProgress(job)
        } else if (task != null && !task.done && isOpen(job)) {
            applyLateEnd(task, end, nowMillis)
        }
        if (job == null) return null
        return job.progressVersion.takeIf { job.isSaving }
    }

    private fun applyLateEnd(
        task: TrackedTask,
        end: EndedRun,
        nowMillis: Long,
    ) {
        task.job.started = true
        if (task.spec.longRunning) return
        if (end.ending == EndedRun.Ending.DONE) {
            completeLate(task, nowMillis)
            return
        }
        val failed = end.ending == EndedRun.Ending.FAILED && task.failedAttempts.add(end.attempt)
        val saved = task.recordCheckpoint(end.checkpoint?.let { Checkpoint(it, end.attempt) })
        when {
            failed && task.failures >= task.job.spec.maxAttempts -> failTask(task, nowMillis)
            failed || saved -> saveProgress(task.job)
        }
    }

    /** Completes a task whose run was given up as lost but succeeded; stops newer runs, which are redundant. */
    private fun completeLate(
        task: TrackedTask,
        nowMillis: Long,
    ) {
        waiting.remove(task)
        task.job.markDone(task)
        stopRuns(task, "an earlier run completed", nowMillis)
        saveProgress(task.job)
        advance(task.job, nowMillis)
    }

    private fun failTask(
        task: TrackedTask,
        nowMillis: Long,
    ) = fail(task.job, "task ${task.key.step}.${task.key.index} failed ${task.failures} times", nowMillis)

    private fun failCrashing(
        task: TrackedTask,
        nowMillis: Long,
    ) {
        val crashed = task.crashes.provenCount
        val reason = "$crashed targets crashed while running task ${task.key.step}.${task.key.index}"
        fail(task.job, reason, nowMillis)
    }

    private fun fail(
        job: TrackedJob,
        reason: String,
        nowMillis: Long,
    ) = if (job.isDurable) {
        endDurable(job, JobState.FAILED, reason, nowMillis)
    } else {
        finish(job, JobOutcome.Failed(reason), nowMillis)
    }

    /**
     * Ends a durable job, removes its waiting tasks and stops its runs.
     *
     * A job with tasks in other shards ends in [completeEnding], when these have stopped.
     */
    fun endDurable(
        job: TrackedJob,
        state: JobState,
        reason: String,
        nowMillis: Long,
    ) {
        if (!job.isPart && job.hasTasksElsewhere) {
            if (job.ending == null) {
                job.ending = state
                job.endingReason = reason
            }
            durable.saveProgress(job)
        } else {
            durable.end(job, job.ending ?: state, reason)
        }
        endTasks(job, nowMillis)
    }

    /** Ends [job], which is to end, if no task of it is elsewhere any more. */
    fun completeEnding(
        job: TrackedJob,
        nowMillis: Long,
    ) {
        val state = job.ending ?: return
        if (!job.hasTasksElsewhere) endDurable(job, state, job.endingReason, nowMillis)
    }

    /** Answers all waiters of the job, removes its waiting tasks and stops its runs. */
    fun finish(
        job: TrackedJob,
        outcome: JobOutcome,
        nowMillis: Long,
    ) {
        jobs.remove(job.spec.id)
        val isFinal = outcome is JobOutcome.Completed || outcome is JobOutcome.Failed
        if (isFinal) recordOutcome(job.spec.id, outcome, nowMillis)
        if (!isFinal && job.started) abandonRuns(job, nowMillis)
        val age = nowMillis - job.arrivedAtMillis
        effects.report(ShardDecision.JobAnswered(job.spec.id, job.spec.queue, outcome, age, job.spec.objectiveMillis))
        job.waiters.forEach { waiter ->
            jobsByWaiter.remove(waiter)
            effects.answer(waiter, outcome)
        }
        endTasks(job, nowMillis)
    }

    private fun abandonRuns(
        job: TrackedJob,
        nowMillis: Long,
    ) {
        val lastWaitedMillis = job.withoutWaitersSinceMillis ?: minOf(nowMillis, job.deadlineMillis)
        abandon(job.spec.id, lastWaitedMillis, nowMillis)
    }

    /** Stops the runs of durable jobs, whose tasks wait again afterwards. */
    fun stopDurableRuns(
        reason: String,
        nowMillis: Long,
    ) = durable.openJobs.flatMap { it.tasks() }.forEach { stopRuns(it, reason, nowMillis) }

    fun endTasks(
        job: TrackedJob,
        nowMillis: Long,
    ) {
        for (task in job.tasks()) {
            waiting.remove(task)
            stopRuns(task, "the job ended", nowMillis)
        }
    }

    fun stopRuns(
        task: TrackedTask,
        reason: String,
        nowMillis: Long,
    ) = task.runs.forEach { control.stop(it, reason, nowMillis) }

    fun removeExpired(nowMillis: Long) {
        outcomes.removeExpired(nowMillis)
        abandoned.removeExpired(nowMillis, control::withUnclaimedRuns)
        previousRuns.removeExpired(nowMillis)
        crashes.removeExpired(nowMillis)
        interference.tick(nowMillis)
    }

    /** Answers every waiter with [JobOutcome.Moved] and drops all open jobs. */
    fun release() {
        jobsByWaiter.keys.toList().forEach { effects.answer(it, JobOutcome.Moved) }
        jobsByWaiter.clear()
        jobs.clear()
        durable.clear()
        interference.release()
    }

    private companion object {
        /** Bounds the message to a successor. */
        const val MAX_ABANDONED_JOBS = 200
    }
}
