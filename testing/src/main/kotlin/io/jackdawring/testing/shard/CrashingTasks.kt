package io.jackdawring.testing.shard

import io.jackdawring.core.TargetId
import io.jackdawring.core.shard.TaskKey

/** Tasks that crash every target that starts them, and a record of all crashes of targets and of the starts since. */
class CrashingTasks {
    private val delaysMillis = HashMap<TaskKey, Long>()

    /** Time for which a crashed target refuses connections. */
    var downMillis = 4_000L

    /** Whether another target has the address of a crashed one afterwards. */
    var replacesTargets = false

    /** Start requests that a target never received, by target; a holder cannot tell that they did not run. */
    private val undelivered = HashMap<TargetId, MutableSet<TaskKey>>()
    private val crashes = HashMap<TaskKey, Int>()
    private val possibleCrashes = HashMap<TaskKey, Int>()
    private val startsSince = HashMap<TaskKey, Int>()

    /** Makes [task] crash its target [delayMillis] after each start; without a delay, the start is not answered. */
    fun add(
        task: TaskKey,
        delayMillis: Long,
    ) {
        delaysMillis[task] = delayMillis
    }

    /** Time from a start of [task] to the crash of its target; null if it does not crash targets. */
    internal fun delayMillis(task: TaskKey): Long? = delaysMillis[task]

    /** Number of crashes of targets that ran [task] at the time. */
    fun crashesUnder(task: TaskKey): Int = crashes[task] ?: 0

    /** Number of crashes of targets that ran [task] at the time, or may have, as far as a holder can tell. */
    fun possibleCrashesUnder(task: TaskKey): Int = possibleCrashes[task] ?: 0

    /** Number of starts of [task] after [BUDGET_CRASHES] targets had crashed while running it. */
    fun startsAfterBudget(task: TaskKey): Int = startsSince[task] ?: 0

    internal fun onStarted(task: TaskKey) {
        if (crashesUnder(task) >= BUDGET_CRASHES) startsSince.merge(task, 1, Int::plus)
    }

    internal fun onUndelivered(
        target: TargetId,
        task: TaskKey,
    ) {
        undelivered.getOrPut(target) { HashSet() }.add(task)
    }

    internal fun onCrash(
        target: TargetId,
        running: Set<TaskKey>,
        unheardEnds: Set<TaskKey>,
    ) {
        running.forEach { crashes.merge(it, 1, Int::plus) }
        val possible = running + unheardEnds + undelivered.remove(target).orEmpty()
        possible.forEach { possibleCrashes.merge(it, 1, Int::plus) }
    }

    companion object {
        /** Crashes after which only few further starts are permitted. */
        const val BUDGET_CRASHES = 3
    }
}
