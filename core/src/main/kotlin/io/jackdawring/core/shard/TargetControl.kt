package io.jackdawring.core.shard

import io.jackdawring.core.TargetId
import kotlinx.collections.immutable.ImmutableCollection

/** Keeps the lists, leases and runs of the shard's targets in step with what the targets say. */
internal class TargetControl(
    private val options: ShardOptions,
    private val outlet: ShardEffects,
    private val listener: RunListener,
) {
    /** What the decisions about these targets have looked at. */
    val cost = DecisionCost()
    private val roster = TargetRoster(cost, ::report)
    private val looks = TargetLooks(options, outlet)
    private val stops = StopOrders(outlet)
    private val index = RunIndex()

    val targets: Collection<HeldTarget> get() = roster.targets
    val byRoom: TargetsByRoom get() = roster.byRoom

    /** Time of the first list of targets; null before. */
    val listedAtMillis: Long? get() = roster.listedAtMillis

    /** Whether the stored jobs of earlier holders are known; ends of others need not be kept by the targets then. */
    var recovered = false
        private set

    /** Whether nothing that an earlier holder started can run unseen. */
    fun allSeen(nowMillis: Long): Boolean {
        val since = roster.listedAtMillis ?: return false
        return (roster.inherited && targets.all { it.seen }) || nowMillis - since >= looks.longestLeaseMillis
    }

    fun updateTargets(
        listed: ImmutableCollection<ShardTarget>,
        nowMillis: Long,
    ) {
        roster.update(listed, nowMillis) { forgetIncarnation(it, "its address has changed", nowMillis) }
        targets.forEach { looks.poll(it, nowMillis) }
    }

    /** Adds the targets that the holder before knew. */
    fun inherit(
        known: ImmutableCollection<ShardTarget>,
        nowMillis: Long,
    ) {
        roster.inherit(known, nowMillis)
        targets.forEach { looks.poll(it, nowMillis) }
    }

    fun start(
        task: HeldTask,
        target: HeldTarget,
        expectedMillis: Long,
        nowMillis: Long,
    ) {
        val offset = target.clockOffsetMillis ?: return
        task.lastAttempt++
        val run = HeldRun(task.key, task.lastAttempt, target, task, nowMillis, expectedMillis)
        looks.extendLease(target, nowMillis)
        task.runs.add(run)
        add(run)
        val leaseUntil = nowMillis + offset + options.leaseMillis
        val request = StartRequest(task.key, run.attempt, task.job.spec.payload, leaseUntil, task.checkpoint?.value)
        outlet.start(target.facts, request)
    }

    /** Stops [run]; its listener method is called when it is over. */
    fun stop(
        run: HeldRun,
        reason: String,
        nowMillis: Long,
    ) = stops.stop(run, reason, nowMillis)

    fun onStart(
        id: TargetId,
        request: StartRequest,
        result: StartResult,
        nowMillis: Long,
    ) {
        val target = roster[id] ?: return
        val run = target.runs[request.task]?.takeIf { it.attempt == request.attempt } ?: return
        when (result) {
            is StartResult.Accepted -> onAccepted(run, nowMillis)
            is StartResult.Rejected -> onRejected(run, result.reason, nowMillis)
            is StartResult.NotSent -> onNotSent(run, result.detail, nowMillis)
            is StartResult.Unknown -> onUnanswered(run, result.detail, nowMillis)
        }
    }

    private fun onAccepted(
        run: HeldRun,
        nowMillis: Long,
    ) {
        if (run.state == HeldRun.State.STOPPING) return
        run.state = HeldRun.State.RUNNING
        run.listedFromMillis = nowMillis
    }

    private fun onRejected(
        run: HeldRun,
        reason: StartResult.Reason,
        nowMillis: Long,
    ) {
        val target = run.target
        when (reason) {
            StartResult.Reason.FENCED -> {
                outlet.fenced(target.facts)
                return
            }

            StartResult.Reason.OLD_ATTEMPT -> {
                run.owner?.let { it.lastAttempt += OLD_ATTEMPT_STEP }
            }

            StartResult.Reason.LATE, StartResult.Reason.NO_ROOM -> {
                looks.lookAgain(target, nowMillis)
            }

            StartResult.Reason.UNHEALTHY -> {
                fault(target, "rejects starts as unhealthy", 1, nowMillis)
            }

            StartResult.Reason.OTHER_INCARNATION -> {
                forgetIncarnation(target, "another incarnation answers", nowMillis)
                return
            }

            StartResult.Reason.INVALID -> {
                remove(run)
                listener.onInvalid(run)
                return
            }
        }
        lose(run, "rejected: ${reason.name}", nowMillis)
    }

    private fun onNotSent(
        run: HeldRun,
        detail: String,
        nowMillis: Long,
    ) {
        looks.silence(run.target, detail, nowMillis)
        lose(run, "not sent: $detail", nowMillis)
    }

    private fun onUnanswered(
        run: HeldRun,
        detail: String,
        nowMillis: Long,
    ) {
        if (run.state == HeldRun.State.STARTING) run.state = HeldRun.State.UNCERTAIN
        looks.silence(run.target, detail, nowMillis)
    }

    fun onStop(
        id: TargetId,
        task: TaskKey,
        attempt: Int,
        result: StopResult,
        nowMillis: Long,
    ) {
        val target = roster[id] ?: return
        val run = target.runs[task]?.takeIf { it.attempt == attempt } ?: return
        when (result) {
            is StopResult.Accepted -> {
                run.state = HeldRun.State.STOPPING
                run.listedFromMillis = nowMillis
                looks.lookAgain(target, nowMillis)
            }

            is StopResult.Fenced -> {
                outlet.fenced(target.facts)
            }

            is StopResult.Unknown -> {
                looks.silence(target, result.detail, nowMillis)
            }
        }
    }

    fun onPoll(
        id: TargetId,
        request: PollRequest,
        result: PollResult,
        nowMillis: Long,
    ) {
        val target = roster[id] ?: return
        // Answers of looks that were replaced may be older than what is known.
        if (request.sequence != target.lookSequence) return
        target.lookOpen = false
        when (result) {
            is PollResult.Snapshot -> onSeen(target, request, result, nowMillis)
            is PollResult.Fenced -> outlet.fenced(target.facts)
            is PollResult.OtherIncarnation -> forgetIncarnation(target, "another incarnation answers", nowMillis)
            is PollResult.Unknown -> looks.silence(target, result.detail, nowMillis)
        }
        looks.poll(target, nowMillis)
    }

    private fun onSeen(
        target: HeldTarget,
        request: PollRequest,
        seen: PollResult.Snapshot,
        nowMillis: Long,
    ) {
        if (target.bornMillis != null && target.bornMillis != seen.bornMillis) {
            // Which runs are over follows from the lists; an order of just now may have reached the new incarnation.
            resetIncarnation(target, "it has started anew")
        }
        target.bornMillis = seen.bornMillis
        target.forgottenEnd = maxOf(target.forgottenEnd, request.acknowledgedEnd)
        target.answeredAtMillis = nowMillis
        target.seen = true
        target.clockOffsetMillis = seen.clockMillis - nowMillis
        if (target.contact != HeldTarget.Contact.HELD) {
            target.contact = HeldTarget.Contact.HELD
            target.nextLookMillis = nowMillis
            report(target, "held", "answered after ${nowMillis - target.lookSentAtMillis} ms")
        }
        seen.ended.forEach { applyEnd(target, it, nowMillis) }
        applyRunning(target, seen.running, nowMillis)
    }

    private fun applyEnd(
        target: HeldTarget,
        end: EndedRun,
        nowMillis: Long,
    ) {
        if (end.sequence <= target.processedEnd) return
        target.processedEnd = end.sequence
        val run = target.runs[end.task]?.takeIf { it.attempt == end.attempt }
        val owner = run?.owner
        run?.saved(end.checkpoint)
        if (owner == null) {
            run?.let(::remove)
            val version = listener.onUnknownEnd(end, nowMillis) ?: if (recovered) return else 0
            target.openEnds.addLast(OpenEnd(end.sequence, end.task.jobId, version))
            return
        }
        remove(run)
        when (end.ending) {
            EndedRun.Ending.DONE -> listener.onDone(run, nowMillis)
            EndedRun.Ending.FAILED -> listener.onFailed(run, nowMillis)
            else -> listener.onLost(run, run.stopReason ?: "ended as ${end.ending.name}", nowMillis)
        }
        val job = owner.job
        if (job.isSaving) target.openEnds.addLast(OpenEnd(end.sequence, job.spec.id, job.progressVersion))
    }

    /** Lets targets forget the ends of jobs that have nothing to store, as [isUnsaved] tells. */
    fun onRecovered(isUnsaved: (JobId) -> Boolean) {
        recovered = true
        targets.forEach { target -> target.openEnds.removeAll { !isUnsaved(it.jobId) } }
    }

    /** Lets targets forget the ends of [jobId] that are stored with [version] of its progress. */
    fun onSaved(
        jobId: JobId,
        version: Long,
        nowMillis: Long,
    ) {
        for (target in targets) {
            if (target.openEnds.isEmpty()) continue
            target.openEnds.removeAll { it.jobId == jobId && it.version <= version }
            looks.poll(target, nowMillis)
        }
    }

    private fun applyRunning(
        target: HeldTarget,
        running: List<RunningRun>,
        nowMillis: Long,
    ) {
        val listed = running.associateBy { it.task }
        for (run in target.runs.values.toList()) {
            val entry = listed[run.key]?.takeIf { it.attempt == run.attempt }
            if (entry != null) onListed(run, entry, nowMillis) else onAbsent(run, nowMillis)
        }
        for (entry in running) {
            if (entry.task !in target.runs) adopt(target, entry, nowMillis)
        }
    }

    private fun onListed(
        run: HeldRun,
        entry: RunningRun,
        nowMillis: Long,
    ) {
        run.saved(entry.checkpoint)
        if (run.state == HeldRun.State.UNCERTAIN) onAccepted(run, nowMillis)
        // A stop that a target has confirmed has no effect on an order that reaches it later.
        val outlivedStop = run.state == HeldRun.State.STOPPING && run.target.lookSentAtMillis > run.listedFromMillis
        if (outlivedStop) stops.send(run, nowMillis)
    }

    private fun onAbsent(
        run: HeldRun,
        nowMillis: Long,
    ) {
        val provesEnd = run.target.lookSentAtMillis > run.listedFromMillis
        when (run.state) {
            HeldRun.State.STARTING -> Unit
            HeldRun.State.UNCERTAIN -> stops.send(run, nowMillis)
            HeldRun.State.RUNNING -> if (provesEnd) lose(run, "no longer listed", nowMillis)
            HeldRun.State.STOPPING -> if (provesEnd) lose(run, run.stopReason ?: "not started", nowMillis)
        }
    }

    private fun adopt(
        target: HeldTarget,
        entry: RunningRun,
        nowMillis: Long,
    ) {
        val run = HeldRun(entry.task, entry.attempt, target, null, nowMillis, expectedMillis = 0, isAdopted = true)
        run.state = HeldRun.State.RUNNING
        run.listedFromMillis = nowMillis
        run.saved(entry.checkpoint)
        add(run)
    }

    /** Whether a run of [key] is, or may be, on a target. */
    fun isPresent(key: TaskKey): Boolean = index.find(key).isNotEmpty()

    /** Gives the unclaimed runs of [task] to it, and returns whether there were any. */
    fun claim(task: HeldTask): Boolean {
        val unclaimed = index.find(task.key).filter { it.owner == null && it.stopReason == null }
        for (run in unclaimed) {
            run.claim(task)
            task.runs.add(run)
            task.lastAttempt = maxOf(task.lastAttempt, run.attempt)
            run.target.recount()
        }
        return unclaimed.isNotEmpty()
    }

    fun tick(nowMillis: Long) {
        for (target in targets.toList()) {
            if (target.contact != HeldTarget.Contact.HELD && nowMillis >= target.leaseOverAtMillis) {
                target.runs.values
                    .toList()
                    .forEach { lose(it, "the lease on its silent target is over", nowMillis) }
            }
            target.runs.values
                .toList()
                .forEach { checkRun(it, nowMillis) }
            looks.poll(target, nowMillis)
        }
        roster.forgetGone(nowMillis)
    }

    private fun checkRun(
        run: HeldRun,
        nowMillis: Long,
    ) {
        val unclaimed = run.owner == null && nowMillis - run.sentAtMillis >= options.adoptMillis
        if (unclaimed) stop(run, "no job claims it", nowMillis)
        stops.sendAgain(run, nowMillis)
    }

    private fun forgetIncarnation(
        target: HeldTarget,
        reason: String,
        nowMillis: Long,
    ) {
        resetIncarnation(target, reason)
        target.runs.values
            .toList()
            .forEach { lose(it, reason, nowMillis) }
    }

    private fun resetIncarnation(
        target: HeldTarget,
        reason: String,
    ) {
        report(target, "new", reason)
        target.contact = HeldTarget.Contact.NEW
        target.bornMillis = null
        target.clockOffsetMillis = null
        target.processedEnd = 0
        target.forgottenEnd = 0
        target.openEnds.clear()
        target.record.reset()
    }

    fun fault(
        target: HeldTarget,
        reason: String,
        faultsAllowed: Int,
        nowMillis: Long,
    ) {
        if (target.record.onFault(nowMillis, faultsAllowed)) report(target, "suspended", reason)
    }

    private fun add(run: HeldRun) {
        run.target.add(run)
        index.add(run)
    }

    private fun remove(run: HeldRun) {
        run.target.remove(run)
        index.remove(run)
    }

    private fun lose(
        run: HeldRun,
        reason: String,
        nowMillis: Long,
    ) {
        remove(run)
        if (run.owner != null) listener.onLost(run, run.stopReason ?: reason, nowMillis)
    }

    private fun report(
        target: HeldTarget,
        state: String,
        reason: String,
    ) = outlet.report(ShardDecision.TargetChanged(target.id, state, reason))

    private companion object {
        /** Added to an attempt that its target knows already, after a job was sent again to another holder. */
        const val OLD_ATTEMPT_STEP = 3
    }
}
