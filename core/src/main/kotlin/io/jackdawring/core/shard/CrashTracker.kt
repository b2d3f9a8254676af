package io.jackdawring.core.shard

import io.jackdawring.core.TargetId

/**
 * Finds out which of the targets that were lost with a run have crashed.
 *
 * Silence does not prove a crash, because a target that is cut off is silent too. The next answer of the target does:
 * it comes from the same incarnation or from another one. [onProven] is called for the task of a proven crash.
 */
internal class CrashTracker(
    private val effects: ShardEffects,
    private val onProven: (TrackedTask, Long) -> Unit,
) {
    private class Suspicion(
        val task: TrackedTask,
        val crash: TargetCrash,
        val sinceMillis: Long,
    )

    /** In the order of time, so that expired ones are at the front. */
    private val suspicions = LinkedHashSet<Suspicion>()
    private val byTarget = HashMap<TargetId, MutableList<Suspicion>>()

    /** Records that the target of [run] was lost with it. */
    fun suspect(
        run: TrackedRun,
        nowMillis: Long,
    ) {
        val task = run.owner ?: return
        val crash = run.toSuspectedCrash() ?: return
        if (run.isSound) {
            task.crashes.clear()
        } else {
            task.crashes.add(crash, nowMillis)
            add(task, crash, nowMillis)
        }
    }

    private fun add(
        task: TrackedTask,
        crash: TargetCrash,
        nowMillis: Long,
    ) {
        val suspicion = Suspicion(task, crash, nowMillis)
        suspicions.add(suspicion)
        byTarget.getOrPut(crash.targetId) { ArrayList(1) }.add(suspicion)
    }

    /** Applies the stored [crashes] of [task]; [incarnationOf] has the incarnations of the targets that answer now. */
    fun restore(
        task: TrackedTask,
        crashes: List<TargetCrash>,
        nowMillis: Long,
        incarnationOf: (TargetId) -> Long?,
    ) {
        task.crashes.restore(crashes, nowMillis)
        for (crash in crashes.filterNot { it.isProven }) {
            val suspicion = Suspicion(task, crash, nowMillis)
            val incarnation = incarnationOf(crash.targetId)
            if (incarnation == null) add(task, crash, nowMillis) else resolve(suspicion, incarnation, nowMillis)
        }
    }

    /** Decides about the suspected crashes of [target]; [incarnationStartMillis] is null for a different target. */
    fun onAnswered(
        target: TargetId,
        incarnationStartMillis: Long?,
        nowMillis: Long,
    ) {
        val resolved = byTarget.remove(target) ?: return
        suspicions.removeAll(resolved.toSet())
        resolved.forEach { resolve(it, incarnationStartMillis, nowMillis) }
    }

    private fun resolve(
        suspicion: Suspicion,
        incarnationStartMillis: Long?,
        nowMillis: Long,
    ) {
        val task = suspicion.task
        val crash = suspicion.crash
        if (crash.incarnationStartMillis == incarnationStartMillis) {
            task.crashes.drop(crash)
            return
        }
        task.crashes.prove(crash)
        effects.report(
            ShardDecision.TargetCrashed(task.key, crash.attempt, crash.targetId, task.crashes.provenCount),
        )
        onProven(task, nowMillis)
    }

    /** Drops the suspicions about targets that have not come back. */
    fun removeExpired(nowMillis: Long) {
        while (suspicions.isNotEmpty() && nowMillis - suspicions.first().sinceMillis >= MAX_ABSENCE_MILLIS) {
            val expired = suspicions.first()
            suspicions.remove(expired)
            expired.task.crashes.drop(expired.crash)
            val remaining = byTarget[expired.crash.targetId] ?: continue
            remaining.remove(expired)
            if (remaining.isEmpty()) byTarget.remove(expired.crash.targetId)
        }
    }

    private companion object {
        /** Time after which a silent target is not expected to come back; crashed ones take seconds. */
        const val MAX_ABSENCE_MILLIS = 60_000L
    }
}
