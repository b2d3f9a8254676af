package io.jackdawring.core.shard

/** Index of the runs on all targets by task. */
internal class RunIndex {
    private val byTask = HashMap<TaskKey, MutableList<TrackedRun>>()

    fun add(run: TrackedRun) {
        byTask.getOrPut(run.key) { ArrayList(1) }.add(run)
    }

    fun remove(run: TrackedRun) {
        val runs = byTask[run.key] ?: return
        runs.remove(run)
        if (runs.isEmpty()) byTask.remove(run.key)
    }

    fun find(key: TaskKey): List<TrackedRun> = byTask[key].orEmpty()
}
