package io.jackdawring.core.shard

import java.util.TreeSet

/**
 * Tasks that wait for a target, in the order in which they are placed.
 *
 * Jobs come in the order of the latest times at which their tasks must start to meet their objectives, which are short
 * for urgent queues. Kept jobs that miss their objective come after all others: a backlog that is served in the order of
 * its objectives makes every job miss them. Jobs that a caller waits for are refused on arrival instead, and those that
 * are accepted keep their turn.
 */
internal class WaitingTasks(
    private val latestStart: (HeldTask) -> Long,
) {
    private class Entry(
        val task: HeldTask,
        val prospect: Prospect,
        val latestStartMillis: Long,
    )

    private val entries = Prospect.entries.associateWith { newQueue() }

    /** Tasks that last come first: they have no objective to miss, and take a place once. */
    private val lasting = newQueue()
    private val byKey = HashMap<TaskKey, Entry>()

    /** Declared work of the waiting tasks by service, in thousandths of a core times milliseconds. */
    private val workByService = HashMap<String, Long>()

    private fun newQueue() =
        TreeSet<Entry>(
            compareBy<Entry> { it.latestStartMillis }
                .thenBy { it.task.job.spec.priority }
                .thenBy { it.task.job.sequence }
                .thenBy { it.task.key.step }
                .thenBy { it.task.key.index },
        )

    private fun queueOf(entry: Entry) = if (entry.task.spec.lasting) lasting else entries.getValue(entry.prospect)

    val size: Int get() = byKey.size
    val isEmpty: Boolean get() = byKey.isEmpty()

    fun add(task: HeldTask) {
        if (task.waiting) return
        task.waiting = true
        workByService.merge(task.job.spec.service, work(task), Long::plus)
        enqueue(task)
    }

    fun remove(task: HeldTask) {
        if (!task.waiting) return
        task.waiting = false
        workByService.merge(task.job.spec.service, -work(task), Long::plus)
        dequeue(task)
    }

    private fun enqueue(task: HeldTask) {
        val prospect = task.job.prospect
        val entry = Entry(task, prospect, latestStart(task) + allowanceMillis(task.job))
        byKey[task.key] = entry
        queueOf(entry).add(entry)
    }

    private fun dequeue(task: HeldTask) {
        byKey.remove(task.key)?.let { queueOf(it).remove(it) }
    }

    /** Time past the objective within which the job is useful by its prospect. */
    private fun allowanceMillis(job: HeldJob): Long =
        if (job.prospect == Prospect.IN_TIME) 0 else (Prospect.LATE_FACTOR - 1) * job.spec.objectiveMillis

    /** Lowers the prospect of kept jobs of which a waiting task would start too late at [nowMillis]. */
    fun lowerProspects(nowMillis: Long) {
        for (prospect in listOf(Prospect.IN_TIME, Prospect.LATE)) {
            val tooLate = entries.getValue(prospect).takeWhile { it.latestStartMillis < nowMillis }
            tooLate
                .map { it.task.job }
                .filter { it.isKept }
                .distinct()
                .forEach(::lower)
        }
    }

    private fun lower(job: HeldJob) {
        val moved = job.tasks().filter { it.waiting }.toList()
        moved.forEach(::dequeue)
        job.prospect = Prospect.entries[job.prospect.ordinal + 1]
        moved.forEach(::enqueue)
    }

    fun work(service: String): Long = workByService[service] ?: 0

    private fun work(task: HeldTask): Long = task.spec.estimateMillis * task.spec.demand.cpuMillis

    /** The waiting tasks in order; a copy, so that tasks may be removed meanwhile. */
    fun inOrder(): List<HeldTask> = (listOf(lasting) + entries.values).flatMap { queue -> queue.map { it.task } }

    /** Latest time at which a waiting task must start to end in time for its prospect. */
    fun latestStartMillis(task: HeldTask): Long = byKey.getValue(task.key).latestStartMillis

    /** Tasks that are placed before the first step of [job], which does not wait yet, in order. */
    fun before(job: HeldJob): List<HeldTask> {
        val latestMillis = latestStart(job.steps.first().first())
        return entries
            .getValue(Prospect.IN_TIME)
            .asSequence()
            .takeWhile { it.latestStartMillis <= latestMillis }
            .map { it.task }
            .filter { it.job.spec.service == job.spec.service }
            .toList()
    }
}
