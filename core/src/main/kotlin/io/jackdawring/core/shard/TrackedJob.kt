package io.jackdawring.core.shard

import java.util.BitSet

/** Scheduling state of a job; times are milliseconds of the dispatcher's monotonic clock. */
internal class TrackedJob(
    val spec: JobSpec,
    val sequence: Long,
    val arrivedAtMillis: Long,
    val deadlineMillis: Long,
    /** Whether the job is stored and runs without a waiting request. */
    val isDurable: Boolean = false,
    /** Whether the job is another shard's, and only some of its tasks are here. */
    val isPart: Boolean = false,
) {
    val waiters = LinkedHashSet<WaiterId>()
    val steps: List<List<TrackedTask>> =
        spec.steps.mapIndexed { step, stepSpec ->
            List(stepSpec.count) { TrackedTask(TaskKey(spec.id, 0, step, it), this, stepSpec) }
        }
    val stepRecords: List<StepRecord> = steps.map { StepRecord() }
    private val openTasks = IntArray(steps.size) { steps[it].size }
    private val released = BooleanArray(steps.size)

    /** Whether a start request for one of the tasks was, or may have been, sent by any holder. */
    var started = false

    /** Whether the relay said that the job may have run when this holder got it first. */
    var mayHaveRunBefore = false

    /** Fencing token of the first holder to which the job was sent; 0 if that is not known. */
    var firstFencingToken = 0L
    var withoutWaitersSinceMillis: Long? = null

    /** Whether somebody still waits for the job, or it is durable. */
    fun isAwaited(nowMillis: Long): Boolean = isDurable || waiters.isNotEmpty() && nowMillis < deadlineMillis

    var timeliness = Timeliness.ON_TIME

    /** Final state of a durable job; null while the job is open. */
    var endState: JobState? = null

    /** State in which a durable job ends once no task of it is elsewhere; null while it goes on. */
    var ending: JobState? = null
    var endingReason = "it was to end when its holder was replaced"

    val hasLongRunningTasks: Boolean = spec.steps.any { it.longRunning }

    /** Whether tasks of the job are in other shards. */
    val hasTasksElsewhere: Boolean get() = hasLongRunningTasks && tasks().any { it.isElsewhere }

    /** Time since which none of its tasks has a run although some wait; null if that is not so. */
    var stalledSinceMillis: Long? = null

    /** Whether the job is being moved to another shard; nothing of it starts here any more. */
    var isMoving = false

    /** Whether an earlier holder may have started runs, possibly on targets that this one does not reach. */
    var mayHaveForeignRuns = false

    /** Counts the changes to the progress of a durable job. */
    var progressVersion = 0L

    /** Highest [progressVersion] that is stored. */
    var savedVersion = 0L

    val isSaving: Boolean get() = progressVersion > savedVersion

    val objectiveAtMillis: Long = arrivedAtMillis + spec.objectiveMillis

    /** Time after which a result is of little use to the caller. */
    val latestUsefulMillis: Long =
        minOf(deadlineMillis, arrivedAtMillis + Timeliness.LATE_FACTOR * spec.objectiveMillis)
    val isComplete: Boolean get() = openTasks.all { it == 0 }

    fun tasks(): Sequence<TrackedTask> = steps.asSequence().flatten()

    fun find(key: TaskKey): TrackedTask? = steps.getOrNull(key.step)?.getOrNull(key.index)

    /** Marks [task] as done; returns false if it already was. */
    fun markDone(task: TrackedTask): Boolean {
        if (task.done) return false
        task.done = true
        openTasks[task.key.step]--
        return true
    }

    /** Releases steps whose dependencies have completed since the last call; returns their tasks that need a run. */
    fun releaseReadySteps(): List<TrackedTask> =
        steps.indices
            .filter { !released[it] && spec.steps[it].after.all { before -> openTasks[before] == 0 } }
            .onEach { released[it] = true }
            .flatMap { steps[it] }
            .filter { !it.done && it.runs.isEmpty() && !it.isElsewhere }

    fun progress(): JobProgress =
        JobProgress(
            endState ?: if (started) JobState.RUNNING else JobState.QUEUED,
            steps.map { tasks -> doneBits(tasks).toLongArray().toList() },
            tasks().filter { it.failures > 0 }.associate { progressKey(it) to it.failedAttempts.toList() },
            tasks()
                .filterNot { it.done }
                .mapNotNull { task ->
                    task.checkpoint?.let { progressKey(task) to it }
                }.toMap(),
            tasks()
                .filterNot { it.done }
                .map { progressKey(it) to crashes(it) }
                .filter { (_, crashes) -> crashes.isNotEmpty() }
                .toMap(),
            ending,
            tasks().filter { it.attemptFloor > 0 }.associate { progressKey(it) to it.attemptFloor },
        )

    /** Applies the progress that previous holders stored; new attempts are numbered above [attemptBase]. */
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
            task.recordCheckpoint(progress.checkpoints[progressKey(task)])
            task.attemptFloor = progress.attempts[progressKey(task)] ?: 0
            task.lastAttempt = maxOf(attemptBase, task.attemptFloor)
        }
        ending = progress.ending
        started = progress.state == JobState.RUNNING || tasks().any { it.done || it.failures > 0 }
    }

    /** Crashes under [task], and its present runs that may crash their targets: a later holder finds out. */
    private fun crashes(task: TrackedTask): List<TargetCrash> {
        val suspected = task.runs.filter { !it.isSound && (it.isAtRisk || !task.crashes.isEmpty) }
        return task.crashes.toList() + suspected.mapNotNull { it.toSuspectedCrash() }
    }

    private fun doneBits(tasks: List<TrackedTask>) = BitSet().apply { tasks.forEach { if (it.done) set(it.key.index) } }

    fun findByProgressKey(key: String): TrackedTask? = tasks().firstOrNull { progressKey(it) == key }

    fun progressKey(task: TrackedTask) = "${task.key.step}.${task.key.index}"
}
