package io.jackdawring.core.shard

import io.jackdawring.core.TargetId
import kotlinx.collections.immutable.ImmutableCollection

/** Keeps the lists, leases and runs of the shard's targets in step with what the targets say. */
internal class TargetControl(
    private val options: ShardOptions,
    private val outlet: ShardOutlet,
    private val listener: RunListener,
) {
    private val byId = LinkedHashMap<TargetId, HeldTarget>()
    private val looks = TargetLooks(options, outlet)

    val targets: Collection<HeldTarget> get() = byId.values

    /** Time of the first list of targets; null before. */
    var listedAtMillis: Long? = null
        private set

    /** Whether the targets of the holder before are known; the list alone may lack some that still run. */
    private var inherited = false

    /** Whether nothing that an earlier holder started can run unseen. */
    fun allSeen(nowMillis: Long): Boolean {
        val since = listedAtMillis ?: return false
        return (inherited && byId.values.all { it.seen }) || nowMillis - since >= looks.longestLeaseMillis
    }

    fun updateTargets(
        listed: ImmutableCollection<ShardTarget>,
        nowMillis: Long,
    ) {
        if (listedAtMillis == null && listed.isNotEmpty()) listedAtMillis = nowMillis
        val seen = HashSet<TargetId>()
        for (facts in listed) {
            seen.add(facts.id)
            val target = byId.getOrPut(facts.id) { HeldTarget(facts) }
            if (target.facts.draining !=
                facts.draining
            ) {
                report(target, if (facts.draining) "draining" else "ready", "listed so")
            }
            if (target.facts.address != facts.address) forgetIncarnation(target, "its address has changed", nowMillis)
            target.facts = facts
            target.unlistedSinceMillis = null
            looks.look(target, nowMillis)
        }
        for (target in byId.values) {
            if (target.id in seen || target.unlistedSinceMillis != null) continue
            target.unlistedSinceMillis = nowMillis
            report(target, "unlisted", "no longer in the store")
        }
    }

    /** Adds the targets that the holder before knew. */
    fun inherit(
        targets: ImmutableCollection<ShardTarget>,
        nowMillis: Long,
    ) {
        inherited = true
        if (listedAtMillis == null) listedAtMillis = nowMillis
        for (facts in targets) {
            if (facts.id in byId) continue
            val target = HeldTarget(facts)
            target.unlistedSinceMillis = nowMillis
            byId[facts.id] = target
            looks.look(target, nowMillis)
        }
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
        run.leaseOverAtMillis = looks.extendLease(target, nowMillis)
        task.run = run
        target.add(run)
        val leaseUntil = nowMillis + offset + options.leaseMillis
        outlet.start(target.facts, StartOrder(task.key, run.attempt, task.job.spec.payload, leaseUntil))
    }

    /** Stops [run]; its listener method is called when it is over. */
    fun stop(
        run: HeldRun,
        reason: String,
        nowMillis: Long,
    ) {
        if (run.stopReason != null) return
        run.stopReason = reason
        run.state = HeldRun.State.STOPPING
        sendStop(run, nowMillis)
    }

    fun onStart(
        id: TargetId,
        order: StartOrder,
        result: StartResult,
        nowMillis: Long,
    ) {
        val target = byId[id] ?: return
        val run = target.runs[order.task]?.takeIf { it.attempt == order.attempt } ?: return
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
                target.remove(run)
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
        val target = byId[id] ?: return
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

    fun onLook(
        id: TargetId,
        order: LookOrder,
        result: LookResult,
        nowMillis: Long,
    ) {
        val target = byId[id] ?: return
        // Answers of looks that were replaced may be older than what is known.
        if (order.sequence != target.lookSequence) return
        target.lookOpen = false
        when (result) {
            is LookResult.Seen -> onSeen(target, result, nowMillis)
            is LookResult.Fenced -> outlet.fenced(target.facts)
            is LookResult.OtherIncarnation -> forgetIncarnation(target, "another incarnation answers", nowMillis)
            is LookResult.Unknown -> looks.silence(target, result.detail, nowMillis)
        }
        looks.look(target, nowMillis)
    }

    private fun onSeen(
        target: HeldTarget,
        seen: LookResult.Seen,
        nowMillis: Long,
    ) {
        if (target.bornMillis != null && target.bornMillis != seen.bornMillis) {
            forgetIncarnation(target, "it has started anew", nowMillis)
        }
        target.bornMillis = seen.bornMillis
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
        if (end.sequence <= target.acknowledgedEnd) return
        target.acknowledgedEnd = end.sequence
        val run = target.runs[end.task]?.takeIf { it.attempt == end.attempt }
        if (run?.owner == null) {
            run?.let(target::remove)
            listener.onUnclaimedEnd(end, nowMillis)
            return
        }
        target.remove(run)
        when (end.ending) {
            EndedRun.Ending.DONE -> listener.onDone(run, nowMillis)
            EndedRun.Ending.FAILED -> listener.onFailed(run, nowMillis)
            else -> listener.onLost(run, run.stopReason ?: "ended as ${end.ending.name}", nowMillis)
        }
    }

    private fun applyRunning(
        target: HeldTarget,
        running: List<RunningRun>,
        nowMillis: Long,
    ) {
        val listed = running.associateBy { it.task }
        for (run in target.runs.values.toList()) {
            if (listed[run.key]?.attempt == run.attempt) onListed(run, nowMillis) else onAbsent(run, nowMillis)
        }
        for (entry in running) {
            if (entry.task !in target.runs) adopt(target, entry, nowMillis)
        }
    }

    private fun onListed(
        run: HeldRun,
        nowMillis: Long,
    ) {
        if (run.state == HeldRun.State.UNCERTAIN) onAccepted(run, nowMillis)
    }

    private fun onAbsent(
        run: HeldRun,
        nowMillis: Long,
    ) {
        val provesEnd = run.target.lookSentAtMillis > run.listedFromMillis
        when (run.state) {
            HeldRun.State.STARTING -> Unit
            HeldRun.State.UNCERTAIN -> sendStop(run, nowMillis)
            HeldRun.State.RUNNING -> if (provesEnd) lose(run, "no longer listed", nowMillis)
            HeldRun.State.STOPPING -> if (provesEnd) lose(run, run.stopReason ?: "not started", nowMillis)
        }
    }

    private fun adopt(
        target: HeldTarget,
        entry: RunningRun,
        nowMillis: Long,
    ) {
        val run = HeldRun(entry.task, entry.attempt, target, null, nowMillis, 0)
        run.state = HeldRun.State.RUNNING
        run.listedFromMillis = nowMillis
        target.add(run)
    }

    /** Whether a run of [key] is, or may be, on a target. */
    fun isPresent(key: TaskKey): Boolean = byId.values.any { key in it.runs }

    /** Gives an unclaimed run of [task] to it, and returns whether there was one. */
    fun claim(task: HeldTask): Boolean {
        val run = byId.values.firstNotNullOfOrNull { it.runs[task.key] } ?: return false
        if (run.owner != null || run.stopReason != null) return false
        run.owner = task
        task.run = run
        task.lastAttempt = run.attempt
        run.target.recount()
        return true
    }

    fun tick(nowMillis: Long) {
        for (target in byId.values.toList()) {
            if (target.contact != HeldTarget.Contact.HELD && nowMillis >= target.leaseOverAtMillis) {
                target.runs.values
                    .toList()
                    .forEach { lose(it, "the lease on its silent target is over", nowMillis) }
            }
            target.runs.values
                .toList()
                .forEach { checkRun(it, nowMillis) }
            looks.look(target, nowMillis)
            if (!target.isListed(nowMillis) && target.runs.isEmpty()) byId.remove(target.id)
        }
    }

    private fun checkRun(
        run: HeldRun,
        nowMillis: Long,
    ) {
        val unclaimed = run.owner == null && nowMillis - run.sentAtMillis >= options.adoptMillis
        if (unclaimed) stop(run, "no job claims it", nowMillis)
        val unconfirmed = run.state == HeldRun.State.STOPPING && run.listedFromMillis == Long.MAX_VALUE
        if (unconfirmed && nowMillis - run.stopSentAtMillis >= STOP_RETRY_MILLIS) sendStop(run, nowMillis)
    }

    private fun forgetIncarnation(
        target: HeldTarget,
        reason: String,
        nowMillis: Long,
    ) {
        report(target, "new", reason)
        target.contact = HeldTarget.Contact.NEW
        target.bornMillis = null
        target.clockOffsetMillis = null
        target.acknowledgedEnd = 0
        target.record.reset()
        target.runs.values
            .toList()
            .forEach { lose(it, reason, nowMillis) }
    }

    fun fault(
        target: HeldTarget,
        reason: String,
        faultsAllowed: Int,
        nowMillis: Long,
    ) {
        if (target.record.onFault(nowMillis, faultsAllowed)) report(target, "suspended", reason)
    }

    private fun lose(
        run: HeldRun,
        reason: String,
        nowMillis: Long,
    ) {
        run.target.remove(run)
        if (run.owner != null) listener.onLost(run, run.stopReason ?: reason, nowMillis)
    }

    private fun sendStop(
        run: HeldRun,
        nowMillis: Long,
    ) {
        if (nowMillis - run.stopSentAtMillis < STOP_RETRY_MILLIS && run.stopSentAtMillis != Long.MIN_VALUE) return
        run.stopSentAtMillis = nowMillis
        outlet.stop(run.target.facts, run.key, run.attempt)
    }

    private fun report(
        target: HeldTarget,
        state: String,
        reason: String,
    ) = outlet.report(ShardDecision.TargetChanged(target.id, state, reason))

    private companion object {
        /** Interval of stop orders without an answer; above the usual round trip by far. */
        const val STOP_RETRY_MILLIS = 200L

        /** Added to an attempt that its target knows already, after a job was sent again to another holder. */
        const val OLD_ATTEMPT_STEP = 3
    }
}
