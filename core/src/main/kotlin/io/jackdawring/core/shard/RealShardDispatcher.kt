package io.jackdawring.core.shard

import io.jackdawring.core.TargetId
import kotlinx.collections.immutable.ImmutableCollection
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

internal class RealShardDispatcher(
    private val options: ShardOptions,
    private val outlet: ShardOutlet,
) : ShardDispatcher,
    RunListener {
    private val durations = DurationEstimator()
    private val control = TargetControl(options, outlet, this)
    private val choice = TargetChoice(durations, options.farFactor)
    private val forecast = WaitForecast(durations, options.farFactor)
    private val admissions = JobAdmissions(control, choice)
    private val waiting = WaitingTasks(::latestStartMillis)
    private val jobs = LinkedHashMap<JobId, HeldJob>()
    private val jobsByWaiter = HashMap<WaiterId, HeldJob>()
    private val outcomes = RecentMap<JobId, JobOutcome>(options.outcomeRetentionMillis)

    /** Ends of runs that an earlier holder started, until their jobs arrive again. */
    private val unclaimedEnds = RecentMap<TaskKey, EndedRun.Ending>(options.outcomeRetentionMillis)

    /** Jobs that an earlier holder may have started, until it is known what runs. */
    private val undecided = LinkedHashSet<HeldJob>()
    private var nextJobSequence = 0L
    private var released = false

    override fun updateTargets(
        targets: ImmutableCollection<ShardTarget>,
        nowMillis: Long,
    ) {
        if (released) return
        control.updateTargets(targets, nowMillis)
        place(nowMillis)
    }

    override fun knownTargets(): ImmutableList<ShardTarget> = control.targets.map { it.facts }.toImmutableList()

    override fun inherit(
        targets: ImmutableCollection<ShardTarget>,
        nowMillis: Long,
    ) {
        control.inherit(targets, nowMillis)
    }

    override fun submit(
        request: JobRequest,
        waiter: WaiterId,
        nowMillis: Long,
    ) {
        val known = jobs[request.job.id]
        val outcome =
            outcomes
                .find(
                    request.job.id,
                    nowMillis,
                ).takeUnless { it is JobOutcome.GivenUp && !request.mayRun }
        when {
            released -> outlet.answer(waiter, JobOutcome.Moved)
            known != null -> join(known, waiter)
            outcome != null -> outlet.answer(waiter, outcome)
            else -> admit(request, waiter, nowMillis)
        }
    }

    private fun join(
        job: HeldJob,
        waiter: WaiterId,
    ) {
        job.waiters.add(waiter)
        job.withoutWaitersSinceMillis = null
        jobsByWaiter[waiter] = job
    }

    private fun admit(
        request: JobRequest,
        waiter: WaiterId,
        nowMillis: Long,
    ) {
        val spec = request.job
        val job = HeldJob(spec, nextJobSequence++, nowMillis, nowMillis + request.remainingMillis)
        if (request.mayRun && !control.allSeen(nowMillis)) {
            jobs[spec.id] = job
            job.started = true
            join(job, waiter)
            undecided.add(job)
            return
        }
        claimEarlierRuns(job, nowMillis)
        val completion = forecast.completionMillis(job, control.targets, waiting, nowMillis)
        val undecidable = job.started || admissions.isWarmingUp(nowMillis)
        val refusal = if (undecidable) null else admissions.refusal(job, completion, request.admission, nowMillis)
        if (refusal != null) {
            outlet.report(ShardDecision.JobAnswered(spec.id, spec.queue, refusal, 0, spec.objectiveMillis))
            outlet.answer(waiter, refusal)
            return
        }
        jobs[spec.id] = job
        join(job, waiter)
        val forecastMillis = completion?.let { it.toLong() - nowMillis } ?: -1
        outlet.report(
            ShardDecision.JobAdmitted(spec.id, spec.queue, forecastMillis, spec.objectiveMillis, waiting.size),
        )
        proceed(job, nowMillis)
        place(nowMillis)
    }

    private fun proceed(
        job: HeldJob,
        nowMillis: Long,
    ) = if (job.isComplete) finish(job, JobOutcome.Completed, nowMillis) else releaseSteps(job)

    /** Decides on jobs that may run already, once every target has told what runs there. */
    private fun decideOnEarlierJobs(nowMillis: Long) {
        if (undecided.isEmpty() || !control.allSeen(nowMillis)) return
        val decided = undecided.filter { jobs[it.spec.id] === it }
        undecided.clear()
        for (job in decided) {
            claimEarlierRuns(job, nowMillis)
            proceed(job, nowMillis)
        }
    }

    /** Finds runs and ends of an earlier holder that belong to [job]. */
    private fun claimEarlierRuns(
        job: HeldJob,
        nowMillis: Long,
    ) {
        for (task in job.tasks()) {
            when (unclaimedEnds.take(task.key, nowMillis)) {
                EndedRun.Ending.DONE -> {
                    job.markDone(task)
                    job.started = true
                }

                EndedRun.Ending.FAILED -> {
                    task.failures++
                    job.started = true
                }

                else -> {
                    if (control.claim(task)) job.started = true
                }
            }
        }
    }

    private fun releaseSteps(job: HeldJob) = job.releaseSteps().forEach(waiting::add)

    override fun withdraw(
        waiter: WaiterId,
        nowMillis: Long,
    ) {
        val job = jobsByWaiter.remove(waiter) ?: return
        job.waiters.remove(waiter)
        if (job.waiters.isNotEmpty()) return
        job.withoutWaitersSinceMillis = nowMillis
        if (!job.started) abandon(job, "nobody waits for it", nowMillis)
    }

    override fun dismiss(
        waiter: WaiterId,
        nowMillis: Long,
    ) {
        val job = jobsByWaiter[waiter] ?: return
        withdraw(waiter, nowMillis)
        if (job.waiters.isEmpty()) outcomes.put(job.spec.id, JobOutcome.GivenUp("its relay fell silent"), nowMillis)
        outlet.answer(waiter, JobOutcome.GivenUp("its relay fell silent"))
    }

    override fun onStart(
        targetId: TargetId,
        order: StartOrder,
        result: StartResult,
        nowMillis: Long,
    ) {
        if (released) return
        control.onStart(targetId, order, result, nowMillis)
        place(nowMillis)
    }

    override fun onStop(
        targetId: TargetId,
        task: TaskKey,
        attempt: Int,
        result: StopResult,
        nowMillis: Long,
    ) {
        if (released) return
        control.onStop(targetId, task, attempt, result, nowMillis)
        place(nowMillis)
    }

    override fun onLook(
        targetId: TargetId,
        order: LookOrder,
        result: LookResult,
        nowMillis: Long,
    ) {
        if (released) return
        control.onLook(targetId, order, result, nowMillis)
        place(nowMillis)
    }

    override fun tick(nowMillis: Long) {
        if (released) return
        control.tick(nowMillis)
        jobs.values.toList().forEach { checkJob(it, nowMillis) }
        control.targets.forEach { target ->
            target.runs.values
                .toList()
                .forEach { checkHang(it, nowMillis) }
        }
        outcomes.forgetOld(nowMillis)
        unclaimedEnds.forgetOld(nowMillis)
        place(nowMillis)
    }

    private fun checkJob(
        job: HeldJob,
        nowMillis: Long,
    ) {
        val orphanSince = job.withoutWaitersSinceMillis
        when {
            orphanSince != null && nowMillis - orphanSince >= options.orphanMillis ->
                abandon(
                    job,
                    "nobody waits for it",
                    nowMillis,
                )
            nowMillis >= job.deadlineMillis -> giveUp(job, "the caller's deadline has passed", nowMillis)
        }
    }

    private fun checkHang(
        run: HeldRun,
        nowMillis: Long,
    ) {
        val elapsed = nowMillis - run.sentAtMillis
        if (run.owner == null || run.state != HeldRun.State.RUNNING || run.expectedMillis <= 0) return
        if (elapsed < HANG_FACTOR * run.expectedMillis + HANG_SLACK_MILLIS) return
        control.fault(run.target, "a run takes over $HANG_FACTOR times as long as expected", HANGS_ALLOWED, nowMillis)
        control.stop(run, "takes too long", nowMillis)
    }

    private fun place(nowMillis: Long) {
        decideOnEarlierJobs(nowMillis)
        if (waiting.isEmpty) return
        val fullFor = HashSet<Triple<String, Resources, String?>>()
        for (task in waiting.inOrder()) {
            val kind = Triple(task.job.spec.service, task.spec.demand, task.spec.requiredLabel)
            // A run of an earlier request for the job may still be stopping.
            if (kind in fullFor || control.isPresent(task.key)) continue
            val target = choice.choose(task, control.targets, nowMillis)
            if (target == null) {
                if (task.spec.maxPerTarget == null) fullFor.add(kind)
                continue
            }
            waiting.remove(task)
            task.job.started = true
            val expected = durations.onTargetMillis(task, target, options.farFactor).toLong()
            control.start(task, target, expected, nowMillis)
        }
    }

    private fun latestStartMillis(task: HeldTask): Long =
        task.job.objectiveAtMillis - durations.atUnitSpeedMillis(task.job.spec.queue, task.spec.estimateMillis).toLong()

    override fun onDone(
        run: HeldRun,
        nowMillis: Long,
    ) {
        val task = run.owner ?: return
        if (run.expectedMillis > 0) durations.onDone(task, run.target, nowMillis - run.sentAtMillis)
        task.run = null
        val job = task.job
        job.markDone(task)
        if (jobs[job.spec.id] !== job) return
        proceed(job, nowMillis)
    }

    override fun onFailed(
        run: HeldRun,
        nowMillis: Long,
    ) {
        val task = run.owner ?: return
        task.run = null
        task.failures++
        task.avoid = run.target
        control.fault(run.target, "runs fail", FAILURES_ALLOWED, nowMillis)
        if (jobs[task.job.spec.id] !== task.job) return
        if (task.failures >= task.job.spec.maxAttempts) {
            fail(task.job, "task ${task.key.step}.${task.key.index} failed ${task.failures} times", nowMillis)
        } else {
            waiting.add(task)
        }
    }

    override fun onLost(
        run: HeldRun,
        reason: String,
        nowMillis: Long,
    ) {
        val task = run.owner ?: return
        task.run = null
        task.avoid = run.target
        outlet.report(ShardDecision.RunRepeated(run.key, run.attempt, run.target.id, reason))
        if (jobs[task.job.spec.id] === task.job && !task.done) waiting.add(task)
    }

    override fun onInvalid(run: HeldRun) {
        val task = run.owner ?: return
        task.run = null
        if (jobs[task.job.spec.id] ===
            task.job
        ) {
            fail(task.job, "the target says that the order is invalid", run.sentAtMillis)
        }
    }

    override fun onUnclaimedEnd(
        end: EndedRun,
        nowMillis: Long,
    ) = unclaimedEnds.put(end.task, end.ending, nowMillis)

    private fun fail(
        job: HeldJob,
        reason: String,
        nowMillis: Long,
    ) = finish(job, JobOutcome.Failed(reason), nowMillis)

    private fun giveUp(
        job: HeldJob,
        reason: String,
        nowMillis: Long,
    ) {
        val outcome =
            if (job.started) {
                JobOutcome.GivenUp(
                    reason,
                )
            } else {
                JobOutcome.NotRun(reason, job.spec.objectiveMillis)
            }
        finish(job, outcome, nowMillis)
    }

    private fun abandon(
        job: HeldJob,
        reason: String,
        nowMillis: Long,
    ) = finish(job, JobOutcome.GivenUp(reason), nowMillis)

    /** Answers all waiters and ends everything of the job that still waits or runs. */
    private fun finish(
        job: HeldJob,
        outcome: JobOutcome,
        nowMillis: Long,
    ) {
        jobs.remove(job.spec.id)
        if (outcome is JobOutcome.Completed ||
            outcome is JobOutcome.Failed
        ) {
            outcomes.put(job.spec.id, outcome, nowMillis)
        }
        val age = nowMillis - job.arrivedAtMillis
        outlet.report(ShardDecision.JobAnswered(job.spec.id, job.spec.queue, outcome, age, job.spec.objectiveMillis))
        job.waiters.forEach { waiter ->
            jobsByWaiter.remove(waiter)
            outlet.answer(waiter, outcome)
        }
        for (task in job.tasks()) {
            waiting.remove(task)
            task.run?.let { control.stop(it, "its job has ended", nowMillis) }
        }
    }

    override fun release(nowMillis: Long) {
        if (released) return
        released = true
        jobsByWaiter.keys.toList().forEach { outlet.answer(it, JobOutcome.Moved) }
        jobsByWaiter.clear()
        jobs.clear()
    }

    override fun pendingJobs(queue: String): Int = jobs.values.count { it.spec.queue == queue && !it.started }

    private companion object {
        /** A run that takes this much longer than expected hangs; durations vary by about a factor of two. */
        const val HANG_FACTOR = 4
        const val HANG_SLACK_MILLIS = 100L

        /** Hangs in a row after which a target is suspended; a single one may be the task's fault. */
        const val HANGS_ALLOWED = 2

        /** Failures in a row after which a target is suspended; a single one may be the task's fault. */
        const val FAILURES_ALLOWED = 2
    }
}
