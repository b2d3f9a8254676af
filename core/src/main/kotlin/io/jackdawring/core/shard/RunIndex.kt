package io.jackdawring.core.shard

/** Finds the runs of a task on all targets. */
internal class RunIndex {
    private val byTask = HashMap<TaskKey, MutableList<HeldRun>>()

    fun add(run: HeldRun) {
        byTask.getOrPut(run.key) { ArrayList(1) }.add(run)
    }

    fun remove(run: HeldRun) {
        val runs = byTask[run.key] ?: return
        runs.remove(run)
        if (runs.isEmpty()) byTask.remove(run.key)
    }

    fun find(key: TaskKey): List<HeldRun> = byTask[key].orEmpty()
}
