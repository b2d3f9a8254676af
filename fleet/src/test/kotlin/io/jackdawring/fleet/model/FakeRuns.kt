package io.jackdawring.fleet.model

import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.TaskKey

/** All runs on the targets of all failure domains; fails when a task has two at the same time. */
internal class FakeRuns(
    private val trace: FleetTrace,
) {
    private val targetsByTask = HashMap<TaskKey, MutableList<String>>()
    private val begun = HashMap<JobId, Int>()

    fun onBegin(
        run: FakeFleetTarget.Run,
        target: String,
    ) {
        val jobId = run.task.jobId
        begun.merge(jobId, 1, Int::plus)
        trace.add("run ${name(run)} begins on $target", jobId)
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
    }

    fun hasBegun(jobId: JobId): Boolean = jobId in begun

    val total: Int get() = begun.values.sum()

    private fun name(run: FakeFleetTarget.Run) =
        "${run.task.jobId.value}.${run.task.step}.${run.task.index}#${run.attempt}"
}
