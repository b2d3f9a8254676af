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

    /** Entries of kept jobs that can miss the objective of their prospect. */
    private val lowerable = newQueue()

    /** Tasks that last come first: they have no objective to miss, and take a place once. */
    private val longRunning = newQueue()
    private val byKey = HashMap<TaskKey, Entry>()
    private val backlogs = HashMap<String, ServiceBacklog>()

    private fun newQueue() =
        TreeSet<Entry>(
            compareBy<Entry> { it.latestStartMillis }
                .thenBy { it.task.job.spec.priority }
                .thenBy { it.task.job.sequence }
                .thenBy { it.task.key.step }
                .thenBy { it.task.key.index },
        )

    private fun queueOf(entry: Entry) =
        if (entry.task.spec.longRunning) longRunning else entries.getValue(entry.prospect)

    val size: Int get() = byKey.size
    val isEmpty: Boolean get() = byKey.isEmpty()

    fun add(task: HeldTask) {
        if (task.waiting) return
        task.waiting = true
        backlogOf(task).add(task)
        enqueue(task)
    }

    fun remove(task: HeldTask) {
        if (!task.waiting) return
        task.waiting = false
        backlogOf(task).remove(task)
        dequeue(task)
    }

    private fun backlogOf(task: HeldTask) = backlogs.getOrPut(task.job.spec.service, ::ServiceBacklog)

    private fun enqueue(task: HeldTask) {
        val prospect = task.job.prospect
        val entry = Entry(task, prospect, latestStart(task) + allowanceMillis(task.job))
        byKey[task.key] = entry
        queueOf(entry).add(entry)
        countStart(entry, 1)
        if (task.job.isKept && !task.spec.longRunning && prospect != Prospect.OVERDUE) lowerable.add(entry)
    }

    private fun dequeue(task: HeldTask) {
        val entry = byKey.remove(task.key) ?: return
        queueOf(entry).remove(entry)
        countStart(entry, -1)
        lowerable.remove(entry)
    }

    private fun countStart(
        entry: Entry,
        change: Int,
    ) {
        if (entry.task.spec.longRunning || entry.prospect != Prospect.IN_TIME) return
        backlogOf(entry.task).countStart(entry.latestStartMillis, change)
    }

    /** Time past the objective within which the job is useful by its prospect. */
    private fun allowanceMillis(job: HeldJob): Long =
        if (job.prospect == Prospect.IN_TIME) 0 else (Prospect.LATE_FACTOR - 1) * job.spec.objectiveMillis

    /** Lowers the prospect of kept jobs of which a waiting task would start too late at [nowMillis]. */
    fun lowerProspects(nowMillis: Long) {
        while (lowerable.isNotEmpty() &&
            lowerable.first().latestStartMillis < nowMillis
        ) {
            lower(lowerable.first().task.job)
        }
    }

    private fun lower(job: HeldJob) {
        val moved = job.tasks().filter { it.waiting }.toList()
        moved.forEach(::dequeue)
        job.prospect = Prospect.entries[job.prospect.ordinal + 1]
        moved.forEach(::enqueue)
    }

    /** Declared work of the waiting tasks of [service], in thousandths of a core times milliseconds. */
    fun work(service: String): Long = backlogs[service]?.work ?: 0

    /** Processor capacity that the waiting tasks of [service] need, in thousandths of a core. */
    fun demand(service: String): Long = backlogs[service]?.cpuMillis ?: 0

    /** Least processor capacity that a waiting task needs, in thousandths of a core; null if none waits. */
    val smallestCpuMillis: Int? get() = backlogs.values.mapNotNull { it.smallestCpuMillis }.minOrNull()

    /** The same for the tasks that wait for [service]. */
    fun smallestCpuMillis(service: String): Int? = backlogs[service]?.smallestCpuMillis

    /** The waiting tasks in order; tasks may be removed meanwhile. */
    fun inOrder(): Sequence<HeldTask> = (sequenceOf(longRunning) + entries.values.asSequence()).flatMap(::walk)

    /** Tasks whose jobs can still be in time, in the order of their latest starts. */
    fun inTime(): Sequence<HeldTask> = walk(entries.getValue(Prospect.IN_TIME))

    private fun walk(queue: TreeSet<Entry>): Sequence<HeldTask> =
        generateSequence(queue.firstOrNull()) { queue.higher(it) }.map { it.task }

    /** Latest time at which a waiting task must start to end in time for its prospect. */
    fun latestStartMillis(task: HeldTask): Long = byKey.getValue(task.key).latestStartMillis

    /** Tasks of its service that are placed before the first step of [job], which does not wait yet, in order. */
    fun before(job: HeldJob): Sequence<HeldTask> {
        val latestMillis = latestStart(job.steps.first().first())
        return entries
            .getValue(Prospect.IN_TIME)
            .asSequence()
            .takeWhile { it.latestStartMillis <= latestMillis }
            .map { it.task }
            .filter { it.job.spec.service == job.spec.service }
    }

    /** About the number of the tasks that [before] gives. */
    fun countBefore(job: HeldJob): Int =
        backlogs[job.spec.service]?.countStartsUntil(latestStart(job.steps.first().first())) ?: 0
}
