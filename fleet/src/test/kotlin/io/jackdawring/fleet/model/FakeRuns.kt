package io.jackdawring.fleet.model

import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.TaskKey

/**
 * All runs on the targets of all failure domains.
 *
 * It fails when a task has two at the same time, or when a task of a durable job starts again although one of its runs
 * was done and that was, or is later, taken note of.
 */
internal class FakeRuns(
    private val trace: FleetTrace,
) {
    private val targetsByTask = HashMap<TaskKey, MutableList<String>>()
    private val begun = HashMap<JobId, Int>()
    private val durableJobs = HashSet<JobId>()

    /** Number of starts of each task so far. */
    private val starts = HashMap<TaskKey, Int>()

    /** Number of starts of the task at the time when a run of it was done. */
    private val startsUntilDone = HashMap<Pair<TaskKey, Int>, Int>()
    private val noted = HashSet<TaskKey>()

    /** Called with the target of each run that begins. */
    var onStarted: (target: String) -> Unit = {}

    /** Lets the rules for durable jobs hold for [jobId]. */
    fun addDurable(jobId: JobId) = durableJobs.add(jobId)

    /** A holder has taken note of the run [attempt] of [task], which was done. */
    fun onNoted(
        task: TaskKey,
        attempt: Int,
        target: String,
    ) {
        if (task.jobId !in durableJobs) return
        trace.add("end of ${task.step}.${task.index}#$attempt on $target is taken note of", task.jobId)
        noted.add(task)
        if (starts[task] != startsUntilDone[task to attempt]) failRepeated(task)
    }

    private fun failRepeated(task: TaskKey): Nothing =
        throw AssertionError("task $task was done and has started again\n${trace.describe(task.jobId)}")

    fun onBegin(
        run: FakeFleetTarget.Run,
        target: String,
    ) {
        val jobId = run.task.jobId
        begun.merge(jobId, 1, Int::plus)
        if (run.attempt <= (lastAttempts.put(run.task, run.attempt) ?: 0)) repeatedAttempts += "${name(run)} on $target"
        trace.add("run ${name(run)} begins on $target", jobId)
        onStarted(target)
        starts.merge(run.task, 1, Int::plus)
        if (run.task in noted) failRepeated(run.task)
        val targets = targetsByTask.getOrPut(run.task) { ArrayList(1) }
        targets.add(target)
        if (targets.size > 1) {
            throw AssertionError("task ${run.task} runs on $targets at the same time\n${trace.describe(jobId)}")
        }
    }

    fun onEnd(
        run: FakeFleetTarget.Run,
        target: String,
        ending: String,
    ) {
        trace.add("run ${name(run)} ends on $target: $ending", run.task.jobId)
        targetsByTask.getValue(run.task).remove(target)
        if (ending == "DONE") startsUntilDone[run.task to run.attempt] = starts.getValue(run.task)
    }

    /** The targets that run tasks of [jobId] now. */
    fun targetsOf(jobId: JobId): List<String> = targetsByTask.filterKeys { it.jobId == jobId }.values.flatten()

    /** Tasks of [jobId] that run now. */
    fun runningTasksOf(jobId: JobId): Set<TaskKey> =
        targetsByTask.filter { (task, targets) -> task.jobId == jobId && targets.isNotEmpty() }.keys

    /** Runs whose attempt does not exceed that of an earlier run of the same task. */
    val repeatedAttempts = ArrayList<String>()
    private val lastAttempts = HashMap<TaskKey, Int>()

    fun countOf(jobId: JobId): Int = begun[jobId] ?: 0

    fun hasBegun(jobId: JobId): Boolean = jobId in begun

    val total: Int get() = begun.values.sum()

    private fun name(run: FakeFleetTarget.Run) =
        "${run.task.jobId.value}.${run.task.step}.${run.task.index}#${run.attempt}"
}
