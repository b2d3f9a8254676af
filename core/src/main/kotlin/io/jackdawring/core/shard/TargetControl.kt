package io.jackdawring.core.shard

import io.jackdawring.core.TargetId
import kotlinx.collections.immutable.ImmutableCollection
import kotlinx.collections.immutable.toImmutableList

/** Tracks the targets of a shard with their leases and runs, and reconciles them with the runs that targets list. */
internal class TargetControl(
    private val options: ShardOptions,
    private val effects: ShardEffects,
    private val listener: RunListener,
) {
    /** Cost of the decisions about these targets. */
    val cost = DecisionCost()
    val evacuation = Evacuation()
    private val registry = TargetRegistry(cost, evacuation, ::report)
    private val poller = TargetPoller(options, effects, ::mayRenewLease, ::leaseLimitMillis)
    private val cutOffHolders = CutOffHolders()
    private val adoption = AdoptionWindow(options, poller.maxLeaseMillis, cutOffHolders)
    private val stopper = RunStopper(effects, adoption)
    private val index = RunIndex()
    private val previousRunsCheck = PreviousRunsCheck(registry, cutOffHolders, poller.maxLeaseMillis)

    val targets: Collection<TrackedTarget> get() = registry.targets
    val byFreeCpu: TargetsByFreeCpu get() = registry.byFreeCpu

    /** Time at which targets first became known; null before. */
    val firstListedAtMillis: Long? get() = registry.firstListedAtMillis

    /** Whether the stored jobs of previous holders are known; targets may then forget ended runs of unknown jobs. */
    var recovered = false
        private set

    /** What is known about the runs of [job] that previous holders started. */
    fun previousRuns(
        job: TrackedJob,
        nowMillis: Long,
    ): PreviousRuns = previousRunsCheck.state(job, nowMillis)

    /** Records that earlier holders up to [holderToken] may be cut off; with [isPredecessor], there was none since. */
    fun onHoldersCutOff(
        holderToken: Long,
        isPredecessor: Boolean,
    ) {
        cutOffHolders.onCutOff(holderToken)
        if (!isPredecessor) return
        registry.knowsAllWithRuns = true
        previousRunsCheck.mayDurableRunsGoOn = true
    }

    /** Whether leases of durable runs may be renewed; asked before each renewal, as the process may have been paused. */
    var mayHoldDurableRuns: (nowMillis: Long) -> Boolean = { true }

    /** Whether no successor can have renewed a lease that ended at a given time. */
    var wasHeldAt: (leaseEndMillis: Long) -> Boolean = { true }

    /** Whether a durable run on a silent target would be over if [wasHeldAt] showed that. */
    var awaitsConfirmation = false
        private set

    /** Records that no earlier holder starts durable runs, or renews their leases, from [nowMillis] on. */
    fun onEarlierHoldersStopped(nowMillis: Long) = previousRunsCheck.onEarlierHoldersStopped(nowMillis)

    /** Records that the holder with [holderToken] stopped at [stoppedAtMillis], and adds the targets that it knew. */
    fun onHolderStopped(
        holderToken: Long,
        handOver: HandOver,
        stoppedAtMillis: Long,
        nowMillis: Long,
    ) {
        cutOffHolders.onStopped(holderToken, handOver, stoppedAtMillis)
        if (holderToken == adoption.predecessorToken) {
            adoption.onPredecessorServed(stoppedAtMillis - handOver.unservedMillis, stoppedAtMillis)
        }
        registry.add(handOver.targets, nowMillis)
        targets.forEach { poller.poll(it, nowMillis) }
    }

    /** Time for which this holder has held the shard. */
    fun heldMillis(nowMillis: Long): Long = previousRunsCheck.heldMillis(nowMillis)

    /** Whether no durable run that previous holders started goes on, not even on targets that are out of reach. */
    fun areDurableRunsOver(nowMillis: Long): Boolean = previousRunsCheck.areDurableRunsOver(nowMillis)

    fun updateTargets(
        listed: ImmutableCollection<ShardTarget>,
        nowMillis: Long,
    ) {
        registry.update(listed, nowMillis) { onMoved(it, nowMillis) }
        targets.forEach { poller.poll(it, nowMillis) }
    }

    /** An entry in the list does not prove that the target has left its address, nor that its runs are over. */
    private fun onMoved(
        target: TrackedTarget,
        nowMillis: Long,
    ) {
        report(target, "moved", "listed at ${target.listedAddress}, in use is ${target.registration.address}")
        if (target.contact == TrackedTarget.Contact.HELD || !target.useListedAddress()) return
        poller.pollNow(target, nowMillis)
    }

    /** What a successor has to know; targets that are listed later get no starts until [cancelHandOver]. */
    fun handOver(nowMillis: Long): HandOver {
        registry.isHandingOver = true
        // Those that are held back have no runs of this holder, but perhaps of earlier ones.
        val registrations = targets.map { it.confirmedRegistration }.toImmutableList()
        val areLaterRunsKnown = previousRunsCheck.awaitedState(Long.MAX_VALUE, nowMillis) != PreviousRuns.UNCERTAIN
        val areAllRunsThere = registry.knowsAllWithRuns && cutOffHolders.areRunsKnown || areLaterRunsKnown
        val areDurableRunsOver = previousRunsCheck.areDurableRunsOver(nowMillis)
        val unservedMillis = unclaimedSinceMillis(nowMillis)?.let { nowMillis - it } ?: 0
        return HandOver(registrations, areAllRunsThere, cutOffHolders.upToToken, areDurableRunsOver, unservedMillis)
    }

    /** Continues without a successor. */
    fun cancelHandOver() {
        registry.isHandingOver = false
        targets.forEach { it.isHeldBack = false }
    }

    private var returnedAtMillis: Long? = null

    /** Whether targets may be cold, so that they take some tasks and not others. */
    fun mayBeCold(nowMillis: Long): Boolean = returnedAtMillis?.let { nowMillis - it < WarmUp.MAX_MILLIS } == true

    /** Records that the targets may be used again and may be cold, so that their learned speeds no longer apply. */
    fun onReturnedToService(nowMillis: Long) {
        returnedAtMillis = nowMillis
        for (target in targets) {
            target.health.forgetSpeed()
            target.warmUp.start(target.registration.warmUpMillis, nowMillis)
        }
    }

    /** Adds the targets that the predecessor knew; see [ShardDispatcher.inherit]. */
    fun inherit(
        holderToken: Long,
        handOver: HandOver,
        madeAtMillis: Long,
        nowMillis: Long,
    ) {
        adoption.predecessorToken = holderToken
        adoption.onPredecessorServed(madeAtMillis - handOver.unservedMillis, madeAtMillis)
        if (handOver.cutOffToken != null) adoption.mayOthersBeCutOff = true
        handOver.cutOffToken?.let(cutOffHolders::onCutOff)
        if (!handOver.areDurableRunsOver) previousRunsCheck.mayDurableRunsGoOn = true
        if (handOver.areAllRunsThere) registry.knowsAllWithRuns = true
        registry.add(handOver.targets, nowMillis)
        targets.forEach { poller.poll(it, nowMillis) }
    }

    /** Records that all callers of the predecessor's runs were known to wait at [servedAtMillis]. */
    fun onPredecessorServed(servedAtMillis: Long) = adoption.onPredecessorServed(servedAtMillis, servedAtMillis)

    /** Records that the predecessor knew of cut off holders, whose runs it did not know. */
    fun onOthersCutOff() {
        adoption.mayOthersBeCutOff = true
    }

    fun start(
        task: TrackedTask,
        target: TrackedTarget,
        expectedMillis: Long,
        nowMillis: Long,
    ) {
        val leaseUntil = poller.leaseUntil(target, nowMillis) ?: return
        task.lastAttempt++
        val run = TrackedRun(task.key, task.lastAttempt, target, task, nowMillis, expectedMillis)
        task.runs.add(run)
        add(run, nowMillis)
        val request = StartRequest(task.key, run.attempt, task.job.spec.payload, leaseUntil, task.checkpoint?.value)
        effects.start(target.registration, request)
    }

    /** Requests the stop of [run]; a method of [RunListener] is called when it is over. */
    fun stop(
        run: TrackedRun,
        reason: String,
        nowMillis: Long,
    ) = stopper.stop(run, reason, nowMillis)

    /** Asks [target] which runs it has, unless a poll sent after [sinceMillis] is in flight. */
    fun confirmRuns(
        target: TrackedTarget,
        sinceMillis: Long,
        nowMillis: Long,
    ) {
        val isAsked = target.pollInFlight && target.pollSentAtMillis >= sinceMillis
        if (target.contact == TrackedTarget.Contact.HELD && !isAsked) poller.pollNow(target, nowMillis, waitMillis = 0)
    }

    fun onStart(
        id: TargetId,
        request: StartRequest,
        result: StartResult,
        nowMillis: Long,
    ) {
        val target = registry[id] ?: return
        val run = target.runs[request.task]?.takeIf { it.attempt == request.attempt } ?: return
        when (result) {
            is StartResult.Accepted -> onAccepted(run, nowMillis)
            is StartResult.Rejected -> {
                if (result.reason == StartResult.Reason.LATE) correctClock(target, result.clockMillis, nowMillis)
                onRejected(run, result.reason, nowMillis)
            }
            is StartResult.NotSent -> onNotSent(run, result.detail, nowMillis)
            is StartResult.Unknown -> onUnanswered(run, result.detail, nowMillis)
        }
    }

    /** A poll would tell the clock too, but each further rejection replaces the one in flight. */
    private fun correctClock(
        target: TrackedTarget,
        clockMillis: Long?,
        nowMillis: Long,
    ) {
        if (clockMillis != null) target.clockOffsetMillis = clockMillis - nowMillis
    }

    private fun onAccepted(
        run: TrackedRun,
        nowMillis: Long,
    ) {
        run.isStartConfirmed = true
        if (run.state == TrackedRun.State.STOPPING) return
        run.state = TrackedRun.State.RUNNING
        run.listedAfterMillis = nowMillis
    }

    private fun onRejected(
        run: TrackedRun,
        reason: StartResult.Reason,
        nowMillis: Long,
    ) {
        val target = run.target
        if (reason.isAboutStart && run.contradictsRejection) {
            onUnanswered(run, "rejected as ${reason.name} although the target lists the task", nowMillis)
            return
        }
        when (reason) {
            StartResult.Reason.FENCED -> {
                effects.fenced(target.registration)
                return
            }

            StartResult.Reason.OLD_ATTEMPT -> {
                run.owner?.let { it.lastAttempt += OLD_ATTEMPT_STEP }
            }

            StartResult.Reason.LATE, StartResult.Reason.NO_ROOM -> {
                poller.pollNow(target, nowMillis)
            }

            StartResult.Reason.UNHEALTHY -> {
                if (target.health.onUnhealthy(nowMillis)) reportSuspension(target, "rejected a start as unhealthy")
            }

            StartResult.Reason.OTHER_INCARNATION -> {
                onOtherIncarnation(target, nowMillis)
            }

            StartResult.Reason.INVALID -> {
                remove(run, nowMillis)
                listener.onInvalid(run, nowMillis)
                return
            }
        }
        markLost(run, "rejected: ${reason.name}", nowMillis)
    }

    private fun onNotSent(
        run: TrackedRun,
        detail: String,
        nowMillis: Long,
    ) {
        poller.markSilent(run.target, detail, nowMillis)
        markLost(run, "not sent: $detail", nowMillis)
    }

    private fun onUnanswered(
        run: TrackedRun,
        detail: String,
        nowMillis: Long,
    ) {
        if (run.state == TrackedRun.State.STARTING) run.state = TrackedRun.State.UNCERTAIN
        effects.report(ShardDecision.StartUnanswered(run.key, run.attempt, run.target.id, detail))
        poller.markSilent(run.target, detail, nowMillis)
    }

    fun onStop(
        id: TargetId,
        task: TaskKey,
        attempt: Int,
        result: StopResult,
        nowMillis: Long,
    ) {
        val target = registry[id] ?: return
        if (result is StopResult.Accepted && target.unansweredStarts.onStopAccepted(task, attempt)) {
            poller.pollNow(target, nowMillis)
        }
        val run = target.runs[task]?.takeIf { it.attempt == attempt } ?: return
        when (result) {
            is StopResult.Accepted -> {
                run.state = TrackedRun.State.STOPPING
                run.isStopAccepted = true
                run.isStopOverdue = false
                run.listedAfterMillis = nowMillis
                poller.pollNow(target, nowMillis)
            }

            is StopResult.Fenced -> {
                effects.fenced(target.registration)
            }

            is StopResult.Unknown -> {
                run.isStopOverdue = !run.isStopAccepted
                poller.markSilent(target, result.detail, nowMillis)
            }
        }
    }

    fun onPoll(
        id: TargetId,
        request: PollRequest,
        result: PollResult,
        nowMillis: Long,
    ) {
        val target = registry[id] ?: return
        // The answer to a replaced poll may be older than the known state, or come from another address.
        if (request.sequence != target.pollSequence) return
        target.pollInFlight = false
        when (result) {
            is PollResult.Snapshot -> onSnapshot(target, request, result, nowMillis)
            is PollResult.Fenced -> effects.fenced(target.registration)
            is PollResult.OtherIncarnation -> onOtherIncarnation(target, nowMillis)
            is PollResult.Unknown -> onUnreachable(target, result.detail, nowMillis)
        }
        poller.poll(target, nowMillis)
    }

    private fun onSnapshot(
        target: TrackedTarget,
        request: PollRequest,
        snapshot: PollResult.Snapshot,
        nowMillis: Long,
    ) {
        if (target.incarnationStartMillis != null && target.incarnationStartMillis != snapshot.incarnationStartMillis) {
            // Keeps the runs: the lists show which are over, and a recent start may have reached the new incarnation.
            resetIncarnation(target, "target restarted")
        }
        target.incarnationStartMillis = snapshot.incarnationStartMillis
        target.confirmedAcknowledgedEnd = maxOf(target.confirmedAcknowledgedEnd, request.acknowledgedEnd)
        target.lastAnswerAtMillis = nowMillis
        val isFirstList = !target.hasAnswered
        target.hasAnswered = true
        target.confirmAddress()
        // The previous holder may have renewed the lease just before.
        if (isFirstList) target.foreignLeaseExpiresAtMillis = nowMillis + poller.maxLeaseMillis
        target.clockOffsetMillis = snapshot.clockMillis - nowMillis
        if (target.contact != TrackedTarget.Contact.HELD) {
            target.contact = TrackedTarget.Contact.HELD
            target.nextPollAtMillis = nowMillis
            report(target, "held", "answered after ${nowMillis - target.pollSentAtMillis} ms")
        }
        stopUnansweredStarts(target, nowMillis)
        target.mayHaveMoreEnds = snapshot.mayHaveMoreEnds
        snapshot.ended.forEach { applyEnd(target, it, nowMillis) }
        applyRunning(target, snapshot.running, isFirstList, nowMillis)
        listener.onAnswered(target.id, snapshot.incarnationStartMillis, nowMillis)
    }

    private fun applyEnd(
        target: TrackedTarget,
        end: EndedRun,
        nowMillis: Long,
    ) {
        if (end.sequence <= target.processedEnd) return
        target.processedEnd = end.sequence
        val run = target.runs[end.task]?.takeIf { it.attempt == end.attempt }
        val owner = run?.owner
        run?.recordCheckpoint(end.checkpoint)
        if (owner == null) {
            run?.let { remove(it, nowMillis) }
            effects.report(ShardDecision.EndFound(end.task, end.attempt, target.id, end.ending))
            val version = listener.onUnknownEnd(end, nowMillis) ?: if (recovered) return else 0
            target.pendingEnds.addLast(PendingEnd(end.sequence, end.task.jobId, version))
            return
        }
        remove(run, nowMillis)
        when (end.ending) {
            EndedRun.Ending.DONE -> listener.onDone(run, nowMillis)
            EndedRun.Ending.FAILED -> listener.onFailed(run, nowMillis)
            else -> listener.onLost(run, run.stopReason ?: "ended as ${end.ending.name}", nowMillis)
        }
        val job = owner.job
        if (job.isSaving) target.pendingEnds.addLast(PendingEnd(end.sequence, job.spec.id, job.progressVersion))
    }

    /** Lets targets forget the ended runs of all jobs but those whose progress [isSaving]. */
    fun onRecovered(
        nowMillis: Long,
        isSaving: (JobId) -> Boolean,
    ) {
        recovered = true
        targets.forEach { target -> target.pendingEnds.removeAll { !isSaving(it.jobId) } }
        if (!adoption.mayRenewLeases(areJobsLoaded = false)) {
            targets.filter { it.contact == TrackedTarget.Contact.HELD }.forEach { poller.pollNow(it, nowMillis) }
        }
    }

    /** Lets targets forget the ended runs of [jobId] that [version] of its progress includes. */
    fun onSaved(
        jobId: JobId,
        version: Long,
        nowMillis: Long,
    ) {
        for (target in targets) {
            if (target.pendingEnds.isEmpty()) continue
            target.pendingEnds.removeAll { it.jobId == jobId && it.version <= version }
            poller.poll(target, nowMillis)
        }
    }

    private fun applyRunning(
        target: TrackedTarget,
        running: List<RunningRun>,
        isFirstList: Boolean,
        nowMillis: Long,
    ) {
        val listed = running.associateBy { it.task }
        for (run in target.runs.values.toList()) {
            val entry = listed[run.key]?.takeIf { it.attempt == run.attempt }
            if (entry != null) onListed(run, entry, nowMillis) else onAbsent(run, nowMillis)
        }
        for (entry in running) {
            val known = target.runs[entry.task]
            if (known != null) {
                known.isOtherAttemptListed = known.attempt != entry.attempt
                continue
            }
            val run = adopt(target, entry, nowMillis)
            // Later lists have no runs of previous holders, whose fencing tokens are outdated.
            if (!isFirstList) stop(run, "the run was given up before", nowMillis)
        }
    }

    private fun onListed(
        run: TrackedRun,
        entry: RunningRun,
        nowMillis: Long,
    ) {
        run.recordCheckpoint(entry.checkpoint)
        run.isStartConfirmed = true
        run.listedByPollSentAtMillis = run.target.pollSentAtMillis
        run.incarnationStartMillis = run.target.incarnationStartMillis
        run.isAtRisk = false
        run.target.onListed(run)
        if (run.state == TrackedRun.State.UNCERTAIN) onAccepted(run, nowMillis)
        // A confirmed stop does not affect a start request that reaches the target later.
        val listedAfterStop =
            run.state == TrackedRun.State.STOPPING && run.target.pollSentAtMillis > run.listedAfterMillis
        if (listedAfterStop) stopper.send(run, nowMillis)
    }

    private fun onAbsent(
        run: TrackedRun,
        nowMillis: Long,
    ) {
        // A run that has ended may be missing in an incomplete list of ended runs.
        val provesEnd = run.target.pollSentAtMillis > run.listedAfterMillis && !run.target.mayHaveMoreEnds
        val isRestarted = run.incarnationStartMillis != run.target.incarnationStartMillis
        when (run.state) {
            TrackedRun.State.STARTING -> Unit
            TrackedRun.State.UNCERTAIN -> stopper.send(run, nowMillis)
            TrackedRun.State.RUNNING ->
                if (provesEnd) markLost(run, "run no longer listed by the target", nowMillis, mayBeCrash = isRestarted)
            TrackedRun.State.STOPPING ->
                if (provesEnd) {
                    // The stop prevents a late start in this incarnation of the target only.
                    if (!run.isStartConfirmed) run.target.unansweredStarts.add(run, nowMillis)
                    markLost(run, run.stopReason ?: "run not started", nowMillis, mayBeCrash = isRestarted)
                }
        }
    }

    private fun adopt(
        target: TrackedTarget,
        entry: RunningRun,
        nowMillis: Long,
    ): TrackedRun {
        val run = TrackedRun(entry.task, entry.attempt, target, null, nowMillis, expectedMillis = 0, isAdopted = true)
        run.state = TrackedRun.State.RUNNING
        run.listedAfterMillis = nowMillis
        run.recordCheckpoint(entry.checkpoint)
        add(run, nowMillis)
        effects.report(ShardDecision.RunFound(run.key, run.attempt, target.id))
        return run
    }

    /** Incarnation of the target [id], or null unless the target answers. */
    fun incarnationOf(id: TargetId): Long? =
        registry[id]?.takeIf { it.contact == TrackedTarget.Contact.HELD }?.incarnationStartMillis

    /** Whether a run of [key] is, or may be, on a target. */
    fun isPresent(key: TaskKey): Boolean = index.find(key).isNotEmpty()

    /** Assigns the unclaimed runs of [task] to it, and returns whether there were any. */
    fun claim(task: TrackedTask): Boolean {
        val unclaimed = index.find(task.key).filter { it.owner == null && it.stopReason == null }
        for (run in unclaimed) {
            run.claim(task)
            task.runs.add(run)
            task.lastAttempt = maxOf(task.lastAttempt, run.attempt)
            run.target.updateFree()
        }
        return unclaimed.isNotEmpty()
    }

    /** Decides on which targets leases have to end, because this holder may not hold durable runs. */
    fun updateWithheldLeases(nowMillis: Long) {
        val mayHoldDurableRuns = mayHoldDurableRuns(nowMillis)
        targets.forEach { it.updateWithheldLease(mayHoldDurableRuns, nowMillis) }
    }

    fun tick(nowMillis: Long) {
        updateWithheldLeases(nowMillis)
        awaitsConfirmation = false
        previousRunsCheck.onTick(nowMillis)
        for (target in targets.toList()) {
            if (target.contact != TrackedTarget.Contact.HELD && target.isLeaseOver(nowMillis)) {
                target.mayHaveMoreEnds = false
                expireLease(target, nowMillis)
            }
            target.unansweredStarts.removeExpired(nowMillis)
            stopUnansweredStarts(target, nowMillis)
            checkSilence(target, nowMillis)
            if (target.warmUp.takeEnd(nowMillis)) target.health.forgetSpeed()
            target.runs.values
                .toList()
                .forEach { checkRun(it, nowMillis) }
            renewLimitedLease(target, nowMillis)
            poller.poll(target, nowMillis)
        }
        registry.forgetGone(nowMillis)
    }

    /** Gives up the runs of a silent target; a successor that has claimed the shard may keep durable ones there. */
    private fun expireLease(
        target: TrackedTarget,
        nowMillis: Long,
    ) {
        val isCertain = wasHeldAt(target.leaseEndMillis)
        for (run in target.runs.values.toList()) {
            if (isCertain || run.owner?.job?.isDurable == false) {
                onLeaseExpired(run, nowMillis)
            } else {
                awaitsConfirmation = true
            }
        }
    }

    private fun onLeaseExpired(
        run: TrackedRun,
        nowMillis: Long,
    ) {
        if (!run.isStartConfirmed) run.target.unansweredStarts.add(run, nowMillis)
        markLost(run, "lease of a silent target expired", nowMillis, mayBeCrash = true)
    }

    private fun stopUnansweredStarts(
        target: TrackedTarget,
        nowMillis: Long,
    ) {
        if (target.contact != TrackedTarget.Contact.HELD) return
        target.unansweredStarts.forEachDue(nowMillis) { task, attempt ->
            effects.stop(target.registration, task, attempt)
        }
    }

    private fun checkSilence(
        target: TrackedTarget,
        nowMillis: Long,
    ) {
        val isSilent = target.contact == TrackedTarget.Contact.SILENT
        target.silentSinceMillis = if (isSilent) target.silentSinceMillis ?: nowMillis else null
        val sinceMillis = target.silentSinceMillis ?: return
        if (nowMillis - sinceMillis < CRASH_SUSPICION_MILLIS) return
        for (run in target.runs.values) {
            if (run.isAtRisk) continue
            run.isAtRisk = true
            listener.onAtRisk(run)
        }
    }

    private fun mayRenewLease(
        target: TrackedTarget,
        nowMillis: Long,
    ): Boolean =
        target.mayRenewLease &&
            (mayHoldDurableRuns(nowMillis) || !target.hasDurableRuns) &&
            (adoption.mayRenewLeases(recovered) || target.runs.values.none { it.owner == null })

    /** Time at which a lease of [target] has to end, in case the stop of a run without a job does not arrive. */
    private fun leaseLimitMillis(target: TrackedTarget): Long? =
        target.runs.values
            .filter(::isUnclaimed)
            .minOfOrNull { adoption.leaseEndsAtMillis(it.sentAtMillis) }

    /** Extends the lease of [target] once jobs have claimed its runs; the next poll would come too late for that. */
    private fun renewLimitedLease(
        target: TrackedTarget,
        nowMillis: Long,
    ) {
        if (!target.isLeaseLimited || target.contact != TrackedTarget.Contact.HELD) return
        if (mayRenewLease(target, nowMillis) && leaseLimitMillis(target) == null) poller.pollNow(target, nowMillis)
    }

    private fun isUnclaimed(run: TrackedRun) = run.owner == null && !listener.awaitsRuns(run.key.jobId)

    private fun checkRun(
        run: TrackedRun,
        nowMillis: Long,
    ) {
        if (isUnclaimed(run)) {
            when {
                listener.isAbandoned(run.key.jobId) -> stop(run, "its job was abandoned", nowMillis)
                nowMillis >= adoption.endsAtMillis(run.sentAtMillis, recovered) -> stopUnclaimed(run, nowMillis)
            }
        }
        stopper.sendAgain(run, nowMillis)
    }

    private fun stopUnclaimed(
        run: TrackedRun,
        nowMillis: Long,
    ) {
        if (run.stopReason != null) return
        stop(run, "no job claimed the run", nowMillis)
        // A successor that finds the run again must not wait again. Before recovery, it may be one of a durable job.
        if (!recovered) return
        val servedAtMillis = adoption.servedAtMillis(run.sentAtMillis) ?: run.sentAtMillis
        listener.abandon(run.key.jobId, servedAtMillis, nowMillis)
    }

    /** Jobs of [jobIds] of which runs go on that no job has claimed. */
    fun withUnclaimedRuns(jobIds: Collection<JobId>): Set<JobId> = withRuns(jobIds, ::isUnclaimed)

    /** Jobs of [jobIds] of which runs may go on that fulfil [isCounted]. */
    fun withRuns(
        jobIds: Collection<JobId>,
        isCounted: (TrackedRun) -> Boolean = { true },
    ): Set<JobId> {
        if (jobIds.isEmpty()) return emptySet()
        val counted = targets.flatMap { it.runs.values }.filter(isCounted)
        return counted.map { it.key.jobId }.toSet() intersect jobIds.toSet()
    }

    /** Time since which callers of unclaimed runs of earlier holders may have gone; null if there can be no such run. */
    fun unclaimedSinceMillis(nowMillis: Long): Long? =
        adoption.openSinceMillis(nowMillis)?.takeUnless { previousRunsCheck.areAllListed && hasNoUnclaimedRuns }

    private val hasNoUnclaimedRuns: Boolean get() = targets.none { it.runs.values.any(::isUnclaimed) }

    private fun onUnreachable(
        target: TrackedTarget,
        detail: String,
        nowMillis: Long,
    ) {
        target.tryOtherAddress()
        poller.markSilent(target, detail, nowMillis)
    }

    /** Another target has the address; that does not prove that the runs are over, so they last until their lease ends. */
    private fun onOtherIncarnation(
        target: TrackedTarget,
        nowMillis: Long,
    ) {
        val isReplaced = target.isAddressCertain
        onUnreachable(target, "another target answered at ${target.registration.address}", nowMillis)
        if (isReplaced) listener.onAnswered(target.id, incarnationStartMillis = null, nowMillis)
    }

    private fun resetIncarnation(
        target: TrackedTarget,
        reason: String,
    ) {
        report(target, "new", reason)
        target.unansweredStarts.onRestarted()
        target.contact = TrackedTarget.Contact.NEW
        target.incarnationStartMillis = null
        target.clockOffsetMillis = null
        target.onRestarted()
        target.confirmedAcknowledgedEnd = 0
        target.pendingEnds.clear()
        target.mayHaveMoreEnds = false
        target.health.reset()
    }

    /**
     * Whether [target] may be suspended for its runs.
     *
     * If most targets of a service have faults, the tasks are more likely at fault than the targets.
     */
    fun maySuspend(
        target: TrackedTarget,
        nowMillis: Long,
    ): Boolean {
        val alike = targets.filter { it.registration.service == target.registration.service && it.isListed(nowMillis) }
        val closed = alike.count { it !== target && (it.health.isSuspended(nowMillis) || it.health.isOnProbation) }
        return closed == 0 || 2 * (closed + 1) <= alike.size
    }

    fun reportSuspension(
        target: TrackedTarget,
        reason: String,
    ) = report(target, "suspended", reason)

    fun reportSuspensionWithdrawn(target: TrackedTarget) =
        report(target, "no longer suspended", "its runs failed because of their tasks")

    private fun add(
        run: TrackedRun,
        nowMillis: Long,
    ) {
        run.target.add(run)
        index.add(run)
        listener.onAdded(run, nowMillis)
    }

    private fun remove(
        run: TrackedRun,
        nowMillis: Long,
    ) {
        run.target.remove(run)
        index.remove(run)
        listener.onRemoved(run, nowMillis)
    }

    private fun markLost(
        run: TrackedRun,
        reason: String,
        nowMillis: Long,
        mayBeCrash: Boolean = false,
    ) {
        remove(run, nowMillis)
        // A target that is draining may leave before its last runs end.
        if (mayBeCrash && !run.target.registration.draining) listener.onTargetLost(run, nowMillis)
        if (run.owner != null) listener.onLost(run, run.stopReason ?: reason, nowMillis)
    }

    private fun report(
        target: TrackedTarget,
        state: String,
        reason: String,
    ) = effects.report(ShardDecision.TargetChanged(target.id, state, reason))

    private companion object {
        /** Added to an attempt number that a target rejected as old, as after a resend of the job to another holder. */
        const val OLD_ATTEMPT_STEP = 3

        /** Silence after which a target may have crashed; a single lost answer is repeated within it. */
        const val CRASH_SUSPICION_MILLIS = 60L
    }
}
