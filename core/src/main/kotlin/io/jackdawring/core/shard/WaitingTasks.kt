package io.jackdawring.core.shard

import java.util.TreeSet

/**
 * Tasks that wait for a target, in the order in which they are placed.
 *
 * Jobs that can still meet their objective come first, by the latest time at which they must start; their order follows
 * from the objective of the queue, which is short for urgent queues.
 */
internal class WaitingTasks(
    private val latestStart: (HeldTask) -> Long,
) {
    private class Entry(
        val task: HeldTask,
        val latestStartMillis: Long,
    )

    private val entries =
        TreeSet<Entry>(
            compareBy<Entry> { it.latestStartMillis }
                .thenBy { it.task.job.spec.priority }
                .thenBy { it.task.job.sequence }
                .thenBy { it.task.key.step }
                .thenBy { it.task.key.index },
        )
    private val byKey = HashMap<TaskKey, Entry>()

    /** Declared work of the waiting tasks by service, in thousandths of a core times milliseconds. */
    private val workByService = HashMap<String, Long>()

    val size: Int get() = entries.size
    val isEmpty: Boolean get() = entries.isEmpty()

    fun add(task: HeldTask) {
        if (task.waiting) return
        task.waiting = true
        workByService.merge(task.job.spec.service, work(task), Long::plus)
        val entry = Entry(task, latestStart(task))
        byKey[task.key] = entry
        entries.add(entry)
    }

    fun remove(task: HeldTask) {
        if (!task.waiting) return
        task.waiting = false
        workByService.merge(task.job.spec.service, -work(task), Long::plus)
        byKey.remove(task.key)?.let(entries::remove)
    }

    fun work(service: String): Long = workByService[service] ?: 0

    private fun work(task: HeldTask): Long = task.spec.estimateMillis * task.spec.demand.cpuMillis

    /** The waiting tasks in order; a copy, so that tasks may be removed meanwhile. */
    fun inOrder(): List<HeldTask> = entries.map { it.task }

    fun latestStartMillis(task: HeldTask): Long = byKey[task.key]?.latestStartMillis ?: latestStart(task)
}
