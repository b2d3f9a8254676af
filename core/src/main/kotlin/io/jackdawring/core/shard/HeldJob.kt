package io.jackdawring.core.shard

/** A job at the holder; times are steady milliseconds. */
internal class HeldJob(
    val spec: JobSpec,
    val sequence: Long,
    val arrivedAtMillis: Long,
    val deadlineMillis: Long,
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

    val objectiveAtMillis: Long = arrivedAtMillis + spec.objectiveMillis
    val isComplete: Boolean get() = openTasks.all { it == 0 }

    fun tasks(): Sequence<HeldTask> = steps.asSequence().flatten()

    fun markDone(task: HeldTask) {
        if (task.done) return
        task.done = true
        openTasks[task.key.step]--
    }

    /** Tasks of the steps whose turn has come since the last call. */
    fun releaseSteps(): List<HeldTask> =
        steps.indices
            .filter { !released[it] && spec.steps[it].after.all { before -> openTasks[before] == 0 } }
            .onEach { released[it] = true }
            .flatMap { steps[it] }
            .filter { !it.done && it.run == null }
}
