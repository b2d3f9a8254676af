package io.jackdawring.core.shard

import io.jackdawring.core.TargetId
import kotlinx.collections.immutable.ImmutableCollection
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap

internal class RealShardDispatcher(
    private val options: ShardOptions,
    private val outlet: ShardEffects,
) : ShardDispatcher {
    private val lifecycle = JobLifecycle(options, outlet)
    private val control = lifecycle.control
    private val waiting = lifecycle.waiting
    private val kept = lifecycle.kept
    private val choice = TargetChoice(lifecycle.durations, options.offRackFactor)
    private val forecast = WaitForecast(lifecycle.durations, options, control.cost)
    private val admissions = JobAdmissions(control, choice)
    private val placement = Placement(options, control, lifecycle.durations, choice, waiting)
    private val preemption = Preemption(options, control, lifecycle.durations)
    private val copies = SpeculativeCopies(options, control, lifecycle.durations, choice)
    private val hangs = HangWatch(control)
    private var nextJobSequence = 0L
    private var released = false

    override val waitingTasks: Int get() = waiting.size

    override val examined: Long get() = control.cost.examined

    override fun updateTargets(
        targets: ImmutableCollection<ShardTarget>,
        nowMillis: Long,
    ) {
        if (released) return
        control.updateTargets(targets, nowMillis)
        place(nowMillis)
    }

    override fun targetViews(nowMillis: Long): ImmutableList<TargetView> =
        control.targets.map { it.describe(nowMillis) }.toImmutableList()

    override fun knownTargets(): ImmutableList<ShardTarget> = control.targets.map { it.facts }.toImmutableList()

    override fun inherit(
        targets: ImmutableCollection<ShardTarget>,
        nowMillis: Long,
    ) = control.inherit(targets, nowMillis)

    override fun submit(
        request: JobRequest,
        waiter: WaiterId,
        nowMillis: Long,
    ) {
        val id = request.job.id
        val known = lifecycle.find(id)
        val outcome = lifecycle.findOutcome(id, nowMillis).takeUnless { it is JobOutcome.GivenUp && !request.mayRun }
        when {
            released -> outlet.answer(waiter, JobOutcome.Moved)
            known != null -> lifecycle.join(known, waiter)
            outcome != null -> outlet.answer(waiter, outcome)
            else -> admit(request, waiter, nowMillis)
        }
    }

    private fun admit(
        request: JobRequest,
        waiter: WaiterId,
        nowMillis: Long,
    ) {
        val spec = request.job
        val job = HeldJob(spec, nextJobSequence++, nowMillis, nowMillis + request.remainingMillis)
        if (request.mayRun && !control.allSeen(nowMillis)) {
            job.started = true
            lifecycle.add(job, waiter)
            lifecycle.earlier.add(job)
            return
        }
        lifecycle.earlier.claim(job)
        val completion = forecast.completionMillis(job, control.targets, waiting, nowMillis)
        val undecidable = job.started || admissions.isWarmingUp(nowMillis)
        val refusal = if (undecidable) null else admissions.refusal(job, completion, request.admission, nowMillis)
        if (refusal != null) {
            outlet.report(ShardDecision.JobAnswered(spec.id, spec.queue, refusal, 0, spec.objectiveMillis))
            outlet.answer(waiter, refusal)
            return
        }
        lifecycle.add(job, waiter)
        val forecastMillis = completion?.let { it.toLong() - nowMillis } ?: -1
        outlet.report(
            ShardDecision.JobAdmitted(spec.id, spec.queue, forecastMillis, spec.objectiveMillis, waiting.size),
        )
        lifecycle.proceed(job, nowMillis)
        place(nowMillis)
        preempt(nowMillis)
    }

    override fun withdraw(
        waiter: WaiterId,
        nowMillis: Long,
    ) {
        val job = lifecycle.leave(waiter, nowMillis) ?: return
        if (!job.started) abandon(job, nowMillis)
    }

    override fun expire(
        waiter: WaiterId,
        nowMillis: Long,
    ) {
        val job = lifecycle.findByWaiter(waiter) ?: return
        withdraw(waiter, nowMillis)
        val outcome = JobOutcome.GivenUp("its relay fell silent")
        if (job.waiters.isEmpty()) lifecycle.remember(job.spec.id, outcome, nowMillis)
        outlet.answer(waiter, outcome)
    }

    override fun submitDurable(
        job: DurableJob,
        nowMillis: Long,
    ) {
        if (released || kept.knows(job.spec.id)) return
        val held = toHeldJob(job, nowMillis)
        kept.add(held)
        lifecycle.proceed(held, nowMillis)
        place(nowMillis)
        preempt(nowMillis)
    }

    override fun recover(
        jobs: ImmutableCollection<DurableJob>,
        attemptBase: Int,
        nowMillis: Long,
    ) {
        if (released) return
        for (job in jobs.filterNot { kept.knows(it.spec.id) }) {
            if (job.progress.state.isEnded) {
                kept.addEnded(job.spec.id, job.progress.state)
                continue
            }
            val held = toHeldJob(job, nowMillis)
            held.restore(job.progress, attemptBase)
            kept.add(held)
            lifecycle.earlier.add(held)
        }
        control.onRecovered { kept.findUnsaved(it) != null }
        place(nowMillis)
    }

    private fun toHeldJob(
        job: DurableJob,
        nowMillis: Long,
    ) = HeldJob(job.spec, nextJobSequence++, nowMillis - job.ageMillis, Long.MAX_VALUE, isKept = true)

    override fun onSaved(
        jobId: JobId,
        version: Long,
        nowMillis: Long,
    ) {
        if (!released) kept.onSaved(jobId, version, nowMillis)
    }

    override fun cancel(
        jobId: JobId,
        nowMillis: Long,
    ) {
        val job = kept.find(jobId) ?: return
        lifecycle.endKept(job, JobState.CANCELLED, "cancelled by its caller", nowMillis)
    }

    override fun durableJobState(jobId: JobId): JobState? = kept.stateOf(jobId)

    override fun isEndUnsaved(jobId: JobId): Boolean = kept.isEndUnsaved(jobId)

    override fun forget(jobId: JobId) = kept.forget(jobId)

    override fun backlogMillis(
        service: String,
        nowMillis: Long,
    ): Long? {
        val usable = control.targets.filter { it.facts.service == service && TargetChoice.isUsable(it, nowMillis) }
        val cpuMillis =
            usable.sumOf {
                it.facts.capacity.cpuMillis
                    .toLong()
            }
        return if (cpuMillis > 0) waiting.work(service) / cpuMillis else null
    }

    override fun loadPercents(nowMillis: Long): ImmutableMap<String, Int> =
        control.targets
            .filter { TargetChoice.isUsable(it, nowMillis) }
            .groupBy { it.facts.service }
            .mapNotNull { (service, usable) -> loadPercent(service, usable)?.let { service to it } }
            .toMap()
            .toImmutableMap()

    private fun loadPercent(
        service: String,
        usable: List<HeldTarget>,
    ): Int? {
        val capacity = usable.fold(0L) { sum, target -> sum + target.facts.capacity.cpuMillis }
        val free = usable.fold(0L) { sum, target -> sum + target.free.cpuMillis }
        return if (capacity > 0) (PERCENT * (capacity - free + waiting.demand(service)) / capacity).toInt() else null
    }

    override fun pendingJobs(queue: String): Int =
        (lifecycle.awaitedJobs + kept.openJobs).count { it.spec.queue == queue && !it.started }

    override fun onStart(
        targetId: TargetId,
        request: StartRequest,
        result: StartResult,
        nowMillis: Long,
    ) = learn(nowMillis) { control.onStart(targetId, request, result, nowMillis) }

    override fun onStop(
        targetId: TargetId,
        task: TaskKey,
        attempt: Int,
        result: StopResult,
        nowMillis: Long,
    ) = learn(nowMillis) { control.onStop(targetId, task, attempt, result, nowMillis) }

    override fun onPoll(
        targetId: TargetId,
        request: PollRequest,
        result: PollResult,
        nowMillis: Long,
    ) = learn(nowMillis) { control.onPoll(targetId, request, result, nowMillis) }

    /** Applies what a target has answered, and uses the room that this may free. */
    private inline fun learn(
        nowMillis: Long,
        apply: () -> Unit,
    ) {
        if (released) return
        apply()
        place(nowMillis)
    }

    override fun tick(nowMillis: Long) {
        if (released) return
        control.tick(nowMillis)
        lifecycle.awaitedJobs.toList().forEach { checkJob(it, nowMillis) }
        hangs.check(nowMillis)
        lifecycle.forgetOld(nowMillis)
        place(nowMillis)
        preempt(nowMillis)
        if (waiting.isEmpty) copies.start(nowMillis)
    }

    private fun checkJob(
        job: HeldJob,
        nowMillis: Long,
    ) {
        val orphanSince = job.withoutWaitersSinceMillis
        when {
            orphanSince != null && nowMillis - orphanSince >= options.orphanMillis -> abandon(job, nowMillis)
            nowMillis >= job.deadlineMillis -> giveUp(job, nowMillis)
        }
    }

    private fun giveUp(
        job: HeldJob,
        nowMillis: Long,
    ) {
        val reason = "the caller's deadline has passed"
        val notRun = JobOutcome.NotRun(reason, job.spec.objectiveMillis)
        lifecycle.finish(job, if (job.started) JobOutcome.GivenUp(reason) else notRun, nowMillis)
    }

    private fun abandon(
        job: HeldJob,
        nowMillis: Long,
    ) = lifecycle.finish(job, JobOutcome.GivenUp("nobody waits for it"), nowMillis)

    private fun place(nowMillis: Long) {
        lifecycle.decideOnEarlierJobs(nowMillis)
        if (waiting.isEmpty) return
        waiting.lowerProspects(nowMillis)
        placement.place(nowMillis)
    }

    private fun preempt(nowMillis: Long) {
        // Only runs of kept jobs are stopped for others.
        if (kept.openJobs.isNotEmpty() && !waiting.isEmpty) preemption.makeRoom(waiting, nowMillis)
    }

    override fun release(nowMillis: Long) {
        if (released) return
        released = true
        lifecycle.release()
    }

    private companion object {
        const val PERCENT = 100
    }
}
