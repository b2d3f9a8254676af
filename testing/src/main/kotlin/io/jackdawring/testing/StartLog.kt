package io.jackdawring.testing

import io.jackdawring.core.TaskReference

/** Counts the starts of each task and passes them to listeners in the order of the starts. */
class StartLog {
    private val counts = HashMap<TaskReference, Int>()
    private val listeners = ArrayList<(TaskReference) -> Unit>()

    /** Total number of starts. */
    var total: Int = 0
        private set

    fun record(task: TaskReference) {
        counts.merge(task, 1, Int::plus)
        total++
        listeners.forEach { it(task) }
    }

    fun onStart(listener: (TaskReference) -> Unit) {
        listeners.add(listener)
    }

    /** Tasks that were started more than once. */
    fun startedTwice(): List<TaskReference> = counts.filterValues { it > 1 }.keys.toList()
}
