package io.jackdawring.core.shard

import java.util.TreeSet

/**
 * Tasks that wait for a target, in the order in which they are placed.
 *
 * Tasks are ordered by the latest time at which they must start to meet their job's objective; urgent queues have short
 * objectives. Durable jobs that miss their objective come after all others: serving a backlog strictly in the order
 * of the objectives makes every job miss its own. Jobs that a caller waits for are refused on arrival instead, or
 * admitted as late ones, and keep their position once they are admitted.
 */
internal class WaitingTasks(
    private val latestStart: (TrackedTask) -> Long,
) {
    private class Entry(
        val task: TrackedTask,
        val timeliness: Timeliness,
        val latestStartMillis: Long,
    )

    private val queues = Timeliness.entries.associateWith { newQueue() }

    /** Entries of durable jobs whose [Timeliness] can still be lowered. */
    private val demotable = newQueue()

    /** Long-running tasks, which come first: they have no objective to miss, and take a slot only once. */
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
        if (entry.task.spec.longRunning) longRunning else queues.getValue(entry.timeliness)

    val size: Int get() = byKey.size
    val isEmpty: Boolean get() = byKey.isEmpty()

    fun add(task: TrackedTask) {
        if (task.waiting) return
        task.waiting = true
        backlogOf(task).add(task)
        enqueue(task)
    }

    fun remove(task: TrackedTask) {
        if (!task.waiting) return
        task.waiting = false
        backlogOf(task).remove(task)
        dequeue(task)
    }

    private fun backlogOf(task: TrackedTask) = backlogs.getOrPut(task.job.spec.service, ::ServiceBacklog)

    private fun enqueue(task: TrackedTask) {
        val timeliness = task.job.timeliness
        val entry = Entry(task, timeliness, latestStart(task) + allowanceMillis(task.job))
        byKey[task.key] = entry
        queueOf(entry).add(entry)
        countStart(entry, 1)
        if (task.job.isDurable && !task.spec.longRunning && timeliness != Timeliness.OVERDUE) demotable.add(entry)
    }

    private fun dequeue(task: TrackedTask) {
        val entry = byKey.remove(task.key) ?: return
        queueOf(entry).remove(entry)
        countStart(entry, -1)
        demotable.remove(entry)
    }

    private fun countStart(
        entry: Entry,
        change: Int,
    ) {
        if (entry.task.spec.longRunning || entry.timeliness != Timeliness.ON_TIME) return
        backlogOf(entry.task).countStart(entry.latestStartMillis, change)
    }

    /** Time past the objective that the [Timeliness] of the job still allows. */
    private fun allowanceMillis(
        job: TrackedJob,
        timeliness: Timeliness = job.timeliness,
    ): Long = if (timeliness == Timeliness.ON_TIME) 0 else (Timeliness.LATE_FACTOR - 1) * job.spec.objectiveMillis

    /** Lowers the [Timeliness] of durable jobs of which a waiting task would start too late at [nowMillis]. */
    fun demoteLateJobs(nowMillis: Long) {
        while (demotable.isNotEmpty() &&
            demotable.first().latestStartMillis < nowMillis
        ) {
            demote(demotable.first().task.job)
        }
    }

    private fun demote(job: TrackedJob) {
        val moved = job.tasks().filter { it.waiting }.toList()
        moved.forEach(::dequeue)
        job.timeliness = Timeliness.entries[job.timeliness.ordinal + 1]
        moved.forEach(::enqueue)
    }

    /** Declared work of the waiting tasks of [service], in thousandths of a core times milliseconds. */
    fun work(service: String): Long = backlogs[service]?.work ?: 0

    /** CPU demand of the waiting tasks of [service], in thousandths of a core. */
    fun demand(service: String): Long = backlogs[service]?.cpuMillis ?: 0

    /** Smallest CPU demand of a waiting task, in thousandths of a core; null if no task waits. */
    val smallestCpuMillis: Int? get() = backlogs.values.mapNotNull { it.smallestCpuMillis }.minOrNull()

    /** Smallest CPU demand of the tasks that wait for [service], in thousandths of a core; null if there are none. */
    fun smallestCpuMillis(service: String): Int? = backlogs[service]?.smallestCpuMillis

    /** The waiting tasks in placement order; tasks may be removed during the iteration. */
    fun inOrder(): Sequence<TrackedTask> = (sequenceOf(longRunning) + queues.values.asSequence()).flatMap(::walk)

    /** Tasks whose jobs can still meet their objective, in the order of their latest start times. */
    fun onTime(): Sequence<TrackedTask> = walk(queues.getValue(Timeliness.ON_TIME))

    private fun walk(queue: TreeSet<Entry>): Sequence<TrackedTask> =
        generateSequence(queue.firstOrNull()) { queue.higher(it) }.map { it.task }

    /** Latest time at which a waiting task must start to end in time for its [Timeliness]. */
    fun latestStartMillis(task: TrackedTask): Long = byKey.getValue(task.key).latestStartMillis

    /**
     * Tasks of the same service, in order, that are placed before the first step of [job], which is not queued yet, if
     * it is queued as one that is [timeliness].
     */
    fun ahead(
        job: TrackedJob,
        timeliness: Timeliness,
    ): Sequence<TrackedTask> {
        val latestMillis = latestStart(job.steps.first().first()) + allowanceMillis(job, timeliness)
        return Timeliness.entries
            .asSequence()
            .filter { it <= timeliness }
            .flatMap { earlier ->
                val queue = queues.getValue(earlier).asSequence()
                if (earlier < timeliness) queue else queue.takeWhile { it.latestStartMillis <= latestMillis }
            }.map { it.task }
            .filter { it.job.spec.service == job.spec.service }
    }

    /** Approximate number of the tasks that [ahead] returns. */
    fun countAhead(
        job: TrackedJob,
        timeliness: Timeliness,
    ): Int =
        if (timeliness == Timeliness.ON_TIME) {
            backlogs[job.spec.service]?.countStartsUntil(latestStart(job.steps.first().first())) ?: 0
        } else {
            ahead(job, timeliness).count()
        }
}
