package io.jackdawring.core.shard

import java.util.BitSet

/** A job at the holder; times are steady milliseconds. */
internal class HeldJob(
    val spec: JobSpec,
    val sequence: Long,
    val arrivedAtMillis: Long,
    val deadlineMillis: Long,
    /** Whether the job is stored and runs on without anyone waiting for it. */
    val isKept: Boolean = false,
) {
    val waiters = LinkedHashSet<WaiterId>()
    val steps: List<List<HeldTask>> =
        spec.steps.mapIndexed { step, stepSpec ->
            List(stepSpec.count) { HeldTask(TaskKey(spec.id, 0, step, it), this, stepSpec) }
        }
    private val openTasks = IntArray(steps.size) { steps[it].size }
    private val released = BooleanArray(steps.size)

    /** Whether an order to start one of the tasks was ever sent. */
    var started = false
    var withoutWaitersSinceMillis: Long? = null
    var prospect = Prospect.IN_TIME

    /** State in which a kept job has ended; null while it goes on. */
    var endState: JobState? = null

    /** Counts the changes of the progress of a kept job. */
    var progressVersion = 0L

    /** Last [progressVersion] that is stored. */
    var savedVersion = 0L

    val isSaving: Boolean get() = progressVersion > savedVersion

    val objectiveAtMillis: Long = arrivedAtMillis + spec.objectiveMillis
    val isComplete: Boolean get() = openTasks.all { it == 0 }

    fun tasks(): Sequence<HeldTask> = steps.asSequence().flatten()

    fun find(key: TaskKey): HeldTask? = steps.getOrNull(key.step)?.getOrNull(key.index)

    /** Returns whether the task was not done before. */
    fun markDone(task: HeldTask): Boolean {
        if (task.done) return false
        task.done = true
        openTasks[task.key.step]--
        return true
    }

    /** Tasks of the steps whose turn has come since the last call. */
    fun releaseSteps(): List<HeldTask> =
        steps.indices
            .filter { !released[it] && spec.steps[it].after.all { before -> openTasks[before] == 0 } }
            .onEach { released[it] = true }
            .flatMap { steps[it] }
            .filter { !it.done && it.runs.isEmpty() }

    fun progress(): JobProgress =
        JobProgress(
            endState ?: JobState.RUNNING,
            steps.map { tasks -> doneBits(tasks).toLongArray().toList() },
            tasks().filter { it.failures > 0 }.associate { progressKey(it) to it.failedAttempts.toList() },
            tasks()
                .filterNot { it.done }
                .mapNotNull { task ->
                    task.checkpoint?.let { progressKey(task) to it }
                }.toMap(),
        )

    /** Applies what earlier holders have stored; attempts are numbered from above [attemptBase]. */
    fun restore(
        progress: JobProgress,
        attemptBase: Int,
    ) {
        steps.zip(progress.done).forEach { (tasks, words) ->
            val bits = BitSet.valueOf(words.toLongArray())
            tasks.filter { bits[it.key.index] }.forEach { markDone(it) }
        }
        for (task in tasks()) {
            task.failedAttempts += progress.failures[progressKey(task)].orEmpty()
            task.saved(progress.checkpoints[progressKey(task)])
            task.lastAttempt = attemptBase
        }
        started = progress.state == JobState.RUNNING || tasks().any { it.done || it.failures > 0 }
    }

    private fun doneBits(tasks: List<HeldTask>) = BitSet().apply { tasks.forEach { if (it.done) set(it.key.index) } }

    private fun progressKey(task: HeldTask) = "${task.key.step}.${task.key.index}"
}
