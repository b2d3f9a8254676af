package io.jackdawring.core.shard

import io.jackdawring.core.PauseGuard
import io.jackdawring.core.TargetId
import io.jackdawring.core.shard.interference.PlacementPenalty
import kotlinx.collections.immutable.ImmutableCollection
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap

internal class RealShardDispatcher(
    private val options: ShardOptions,
    private val effects: ShardEffects,
    private val pauses: PauseGuard,
) : ShardDispatcher {
    private val lifecycle = JobLifecycle(options, effects)
    private val control = lifecycle.control
    private val waiting = lifecycle.waiting
    private val durable = lifecycle.durable
    private val penalty = if (options.avoidsInterference) lifecycle.interference else PlacementPenalty.NONE
    private val selector = TargetSelector(lifecycle.durations, options.offRackFactor, penalty)
    private val forecast = CompletionForecast(lifecycle.durations, options, control.cost)
    private val returns = ReturnTimes(control, lifecycle.durations, waiting)
    private val admissionCheck = JobAdmissionCheck(control, selector, forecast, waiting, returns)
    private val placement = Placement(options, control, lifecycle.durations, selector, waiting, lifecycle::onStarted)
    private val preemption = Preemption(options, control, lifecycle.durations)
    private val copies = SpeculativeCopies(options, control, lifecycle.durations, selector)
    private val hangDetector = HangDetector(control, lifecycle.faults)
    private val stalled = StalledJobs(control, waiting, durable, lifecycle.previousRuns)
    override val parts = RealJobParts(lifecycle, stalled, { nextJobSequence++ }) { if (!released) place(it) }
    private val ownership = ShardOwnership()
    private val evacuation = control.evacuation
    private val evacuatedJobs = EvacuatedJobs(lifecycle, effects)
    private var nextJobSequence = 0L
    private var released = false

    init {
        control.mayHoldDurableRuns = ::mayHoldDurableRuns
        control.wasHeldAt = { leaseEndMillis -> hasNoDurableJobs || ownership.wasHeldAt(leaseEndMillis) }
    }

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
        control.targets.map { it.toView(nowMillis) }.toImmutableList()

    override fun updateEvacuated(
        isEvacuated: Boolean?,
        nowMillis: Long,
        graceMillis: Long,
    ) {
        val wasEvacuated = evacuation.isEvacuated
        if (released || !evacuation.update(isEvacuated)) return
        if (evacuation.isEvacuated) evacuatedJobs.onEvacuated(nowMillis, graceMillis)
        if (wasEvacuated) evacuatedJobs.onReturned(nowMillis)
        place(nowMillis)
    }

    override fun handOver(nowMillis: Long): HandOver {
        val handOver = lifecycle.handOver(nowMillis)
        return handOver.copy(unservedMillis = maxOf(handOver.unservedMillis, unreadMillis(nowMillis)))
    }

    override fun unservedMillis(nowMillis: Long): Long =
        maxOf(lifecycle.unservedMillis(nowMillis), unreadMillis(nowMillis))

    /** Time for which news of callers that have gone may wait to be read, because the process was paused. */
    private fun unreadMillis(nowMillis: Long): Long = nowMillis - pauses.earliestArrivalMillis(nowMillis)

    override fun cancelHandOver() = control.cancelHandOver()

    override fun inherit(
        holderToken: Long,
        handOver: HandOver,
        madeAtMillis: Long,
        nowMillis: Long,
    ) {
        lifecycle.abandonAll(handOver, madeAtMillis, nowMillis)
        control.inherit(holderToken, handOver, madeAtMillis, nowMillis)
    }

    override fun onOthersCutOff() = control.onOthersCutOff()

    override fun onPredecessorServed(servedAtMillis: Long) = control.onPredecessorServed(servedAtMillis)

    override fun onHoldersCutOff(
        holderToken: Long,
        isPredecessor: Boolean,
    ) = control.onHoldersCutOff(holderToken, isPredecessor)

    override fun onHolderStopped(
        holderToken: Long,
        handOver: HandOver,
        stoppedAtMillis: Long,
        nowMillis: Long,
    ) {
        if (released) return
        lifecycle.abandonAll(handOver, stoppedAtMillis, nowMillis)
        control.onHolderStopped(holderToken, handOver, stoppedAtMillis, nowMillis)
        place(nowMillis)
    }

    override fun submit(
        request: JobRequest,
        waiter: WaiterId,
        nowMillis: Long,
    ) {
        val id = request.job.id
        val known = lifecycle.find(id)
        lifecycle.onAsked(id)
        val outcome = lifecycle.findOutcome(id, nowMillis).takeUnless { it is JobOutcome.GivenUp && !request.mayRun }
        when {
            released -> effects.answer(waiter, JobOutcome.Moved)
            known != null -> join(known, request, waiter)
            outcome != null -> effects.answer(waiter, outcome)
            else -> admit(request, waiter, nowMillis)
        }
    }

    private fun join(
        job: TrackedJob,
        request: JobRequest,
        waiter: WaiterId,
    ) {
        if (request.mayRun) job.firstFencingToken = minOf(job.firstFencingToken, request.firstFencingToken)
        lifecycle.join(job, waiter)
    }

    private fun admit(
        request: JobRequest,
        waiter: WaiterId,
        nowMillis: Long,
    ) {
        val spec = request.job
        val job = TrackedJob(spec, nextJobSequence++, nowMillis, nowMillis + request.remainingMillis)
        job.firstFencingToken = request.firstFencingToken
        job.mayHaveRunBefore = request.mayRun
        if (request.mayRun && control.previousRuns(job, nowMillis) == PreviousRuns.UNCERTAIN) {
            job.started = true
            lifecycle.add(job, waiter)
            lifecycle.previousRuns.add(job)
            effects.report(ShardDecision.JobDelayed(spec.id, control.targets.size))
            return
        }
        lifecycle.previousRuns.claim(job)
        if (request.mayRun) lifecycle.reportResumed(job, nowMillis)
        when (val decision = admissionCheck.decide(job, request.admission, nowMillis)) {
            is AdmissionDecision.Refused -> {
                effects.report(
                    ShardDecision.JobAnswered(spec.id, spec.queue, decision.outcome, 0, spec.objectiveMillis),
                )
                effects.answer(waiter, decision.outcome)
            }

            is AdmissionDecision.Admitted -> {
                enqueue(job, decision, waiter, nowMillis)
            }
        }
    }

    private fun enqueue(
        job: TrackedJob,
        decision: AdmissionDecision.Admitted,
        waiter: WaiterId,
        nowMillis: Long,
    ) {
        val spec = job.spec
        job.timeliness = decision.timeliness
        lifecycle.add(job, waiter)
        val forecastMillis = decision.completionMillis?.let { it.toLong() - nowMillis } ?: -1
        effects.report(
            ShardDecision.JobAdmitted(spec.id, waiter, spec.queue, forecastMillis, spec.objectiveMillis, waiting.size),
        )
        lifecycle.advance(job, nowMillis)
        place(nowMillis)
        preempt(nowMillis)
    }

    override fun withdraw(
        waiter: WaiterId,
        hasCallerLeft: Boolean,
        nowMillis: Long,
    ) {
        val job = lifecycle.leave(waiter, pauses.earliestArrivalMillis(nowMillis)) ?: return
        if (hasCallerLeft || !job.started) abandon(job, nowMillis)
    }

    override fun expire(
        waiter: WaiterId,
        sinceMillis: Long,
        nowMillis: Long,
    ) {
        val job = lifecycle.findByWaiter(waiter) ?: return
        if (lifecycle.leave(waiter, sinceMillis) != null && !job.started) abandon(job, nowMillis)
        // Not NotRun even if nothing started: the caller may have sent the job elsewhere, and the relay must not do so too.
        val outcome = JobOutcome.GivenUp("its relay fell silent")
        effects.answer(waiter, outcome)
        if (job.waiters.isNotEmpty()) return
        lifecycle.recordOutcome(job.spec.id, outcome, nowMillis)
        // A relay that fell silent does not replace its connection.
        if (lifecycle.find(job.spec.id) === job) abandon(job, nowMillis)
    }

    override fun submitDurable(
        job: DurableJob,
        nowMillis: Long,
    ) {
        if (released || durable.contains(job.spec.id)) return
        val tracked = toTrackedJob(job, nowMillis)
        durable.add(tracked)
        lifecycle.advance(tracked, nowMillis)
        place(nowMillis)
        preempt(nowMillis)
    }

    override fun recover(
        jobs: ImmutableCollection<DurableJob>,
        attemptBase: Int,
        nowMillis: Long,
    ) {
        if (released) return
        for (job in jobs.filterNot { durable.contains(it.spec.id) }) {
            if (job.progress.state.isEnded) {
                durable.addEnded(job.spec.id, job.progress.state)
                continue
            }
            val tracked = toTrackedJob(job, nowMillis)
            tracked.restore(job.progress, maxOf(attemptBase, job.attemptBase))
            tracked.mayHaveForeignRuns = !control.recovered
            tracked.tasks().forEach { it.isElsewhere = tracked.progressKey(it) in job.delegated }
            lifecycle.restoreCrashes(tracked, job.progress, nowMillis)
            lifecycle.addRecovered(tracked)
        }
        control.onRecovered(nowMillis) { durable.findUnsaved(it)?.isSaving == true }
        place(nowMillis)
    }

    private fun toTrackedJob(
        job: DurableJob,
        nowMillis: Long,
    ) = TrackedJob(job.spec, nextJobSequence++, nowMillis - job.ageMillis, Long.MAX_VALUE, isDurable = true)

    override fun onSaved(
        jobId: JobId,
        version: Long,
        nowMillis: Long,
    ) {
        if (!released) durable.onSaved(jobId, version, nowMillis)
    }

    override fun cancel(
        jobId: JobId,
        nowMillis: Long,
    ) {
        val job = durable.find(jobId)?.takeUnless { it.isMoving || it.isPart } ?: return
        lifecycle.endDurable(job, JobState.CANCELLED, "cancelled by the caller", nowMillis)
    }

    override fun durableJobState(jobId: JobId): JobState? = durable.stateOf(jobId)

    override fun isEndUnsaved(jobId: JobId): Boolean = durable.isEndUnsaved(jobId)

    override fun forget(jobId: JobId) = durable.forget(jobId)

    override fun stalledJobs(nowMillis: Long): ImmutableList<StalledJob> =
        if (released) persistentListOf() else stalled.find(nowMillis)

    override fun holdForMove(
        jobId: JobId,
        nowMillis: Long,
    ): (() -> JobSnapshot)? {
        val job = durable.find(jobId)
        if (released || job == null || !stalled.hold(jobId, nowMillis)) return null
        return { JobSnapshot(job.progress(), job.progressVersion) }
    }

    override fun onMoved(
        jobId: JobId,
        nowMillis: Long,
    ) {
        if (!released) durable.onMoved(jobId, nowMillis)
    }

    override fun onOwnershipExtended(untilMillis: Long) {
        ownership.validUntilMillis = untilMillis
    }

    override fun onOwnershipConfirmed(atMillis: Long) {
        ownership.confirmedAtMillis = atMillis
    }

    override val awaitsConfirmation: Boolean get() = control.awaitsConfirmation

    override fun onEarlierHoldersStopped(nowMillis: Long) = control.onEarlierHoldersStopped(nowMillis)

    override val openDurableJobs: Int get() = durable.openJobs.size

    private fun isOwnershipExpired(nowMillis: Long) = ownership.isExpired(pauses.elapsedMillis(nowMillis))

    /** Whether no durable job is known; until they are loaded, [AdoptionWindow] limits the runs that may be theirs. */
    private val hasNoDurableJobs: Boolean get() = durable.openJobs.isEmpty()

    /** Whether found runs that no job has claimed, and those of durable jobs, may last. */
    private fun mayHoldDurableRuns(nowMillis: Long): Boolean = hasNoDurableJobs || !isOwnershipExpired(nowMillis)

    override fun delayMillis(
        needs: JobNeeds,
        nowMillis: Long,
    ): Long? = CapacityForecast.delayMillis(needs, control.targets, waiting.work(needs.service), nowMillis)

    override fun loadPercents(nowMillis: Long): ImmutableMap<String, Int> =
        control.targets
            .filter { TargetSelector.isUsable(it, nowMillis) }
            .groupBy { it.registration.service }
            .mapNotNull { (service, usable) -> loadPercent(service, usable)?.let { service to it } }
            .toMap()
            .toImmutableMap()

    private fun loadPercent(
        service: String,
        usable: List<TrackedTarget>,
    ): Int? {
        val capacity = usable.fold(0L) { sum, target -> sum + target.registration.capacity.cpuMillis }
        val free = usable.fold(0L) { sum, target -> sum + target.free.cpuMillis }
        return if (capacity > 0) (PERCENT * (capacity - free + waiting.demand(service)) / capacity).toInt() else null
    }

    override fun pendingJobs(queue: String): Int =
        (lifecycle.awaitedJobs + durable.openJobs).count { it.spec.queue == queue && !it.started && !it.isPart }

    override fun onStart(
        targetId: TargetId,
        request: StartRequest,
        result: StartResult,
        nowMillis: Long,
    ) = applyAndPlace(nowMillis) { control.onStart(targetId, request, result, nowMillis) }

    override fun onStop(
        targetId: TargetId,
        task: TaskKey,
        attempt: Int,
        result: StopResult,
        nowMillis: Long,
    ) = applyAndPlace(nowMillis) { control.onStop(targetId, task, attempt, result, nowMillis) }

    override fun onPoll(
        targetId: TargetId,
        request: PollRequest,
        result: PollResult,
        nowMillis: Long,
    ) = applyAndPlace(nowMillis) { control.onPoll(targetId, request, result, nowMillis) }

    /** Applies a target's answer, and places tasks on the capacity that it may have freed. */
    private inline fun applyAndPlace(
        nowMillis: Long,
        apply: () -> Unit,
    ) {
        if (released) return
        apply()
        place(nowMillis)
    }

    override fun tick(nowMillis: Long) {
        if (released) return
        val isOwnershipExpired = isOwnershipExpired(nowMillis)
        if (isOwnershipExpired) lifecycle.stopDurableRuns("the ownership of the shard is not confirmed", nowMillis)
        control.tick(nowMillis)
        lifecycle.awaitedJobs.toList().forEach { checkJob(it, nowMillis) }
        hangDetector.check(nowMillis)
        lifecycle.removeExpired(nowMillis)
        place(nowMillis)
        preempt(nowMillis)
        val mayCopy = waiting.isEmpty && mayHoldDurableRuns(nowMillis) && evacuation.isInService
        if (mayCopy && !pauses.isCatchingUp(nowMillis)) copies.start(nowMillis)
    }

    private fun checkJob(
        job: TrackedJob,
        nowMillis: Long,
    ) {
        when {
            isOrphan(job, nowMillis) -> abandon(job, nowMillis)
            nowMillis >= job.deadlineMillis -> giveUp(job, nowMillis)
            isHopeless(job, nowMillis) -> refuseLate(job, nowMillis)
            evacuatedJobs.isStranded(job, nowMillis) ->
                lifecycle.finish(job, JobOutcome.GivenUp("the failure domain is evacuated"), nowMillis)
        }
    }

    /** Whether nobody waits for [job], nor may a relay that replaces its connection still do so. */
    private fun isOrphan(
        job: TrackedJob,
        nowMillis: Long,
    ): Boolean {
        val sinceMillis = job.withoutWaitersSinceMillis ?: return false
        return nowMillis - sinceMillis >= options.orphanTimeoutMillis && !pauses.isCatchingUp(nowMillis)
    }

    /** Whether [job] was admitted as a late one and can no longer end while its result is useful. */
    private fun isHopeless(
        job: TrackedJob,
        nowMillis: Long,
    ): Boolean {
        if (job.timeliness != Timeliness.LATE || job.started) return false
        return nowMillis > waiting.latestStartMillis(job.steps.first().first())
    }

    private fun refuseLate(
        job: TrackedJob,
        nowMillis: Long,
    ) = lifecycle.finish(
        job,
        JobOutcome.NotRun("jobs that are on time come first", returns.retryAfterBacklogMillis(job, nowMillis)),
        nowMillis,
    )

    private fun giveUp(
        job: TrackedJob,
        nowMillis: Long,
    ) = lifecycle.finish(job, unservedOutcome(job, "the caller's deadline has passed"), nowMillis)

    private fun abandon(
        job: TrackedJob,
        nowMillis: Long,
    ) = lifecycle.finish(job, unservedOutcome(job, "nobody waits for it"), nowMillis)

    /** Outcome of a job that ends without a result for [reason]. */
    private fun unservedOutcome(
        job: TrackedJob,
        reason: String,
    ): JobOutcome = if (job.started) JobOutcome.GivenUp(reason) else JobOutcome.NotRun(reason, job.spec.objectiveMillis)

    private fun place(nowMillis: Long) {
        lifecycle.resumeRecoveredJobs(nowMillis)
        if (waiting.isEmpty || pauses.isCatchingUp(nowMillis)) return
        waiting.demoteLateJobs(nowMillis)
        // The ownership may have expired since the last tick, and a start needs a lease that may be renewed.
        if (!mayHoldDurableRuns(nowMillis)) control.updateWithheldLeases(nowMillis)
        placement.place(nowMillis, mayStartDurable = !isOwnershipExpired(nowMillis))
    }

    private fun preempt(nowMillis: Long) {
        // Only runs of durable jobs can be preempted; an evacuation stops no run.
        if (durable.openJobs.isNotEmpty() &&
            !waiting.isEmpty &&
            evacuation.isInService
        ) {
            preemption.freeCapacity(waiting, nowMillis)
        }
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
