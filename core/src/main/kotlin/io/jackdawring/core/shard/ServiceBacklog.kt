package io.jackdawring.core.shard

import java.util.TreeMap

/** Sums over the tasks that wait for the targets of one service. */
internal class ServiceBacklog {
    /** Declared work, in thousandths of a core times milliseconds. */
    var work = 0L
        private set

    /** Needed processor capacity, in thousandths of a core. */
    var cpuMillis = 0L
        private set

    /** Number of tasks by the processor capacity that they need. */
    private val tasksByCpuMillis = TreeMap<Int, Int>()

    /** Number of tasks whose jobs can be in time, by the span in which they must start. */
    private val tasksByStartSpan = TreeMap<Long, Int>()

    /** Least processor capacity that a task needs, in thousandths of a core; null if there is none. */
    val smallestCpuMillis: Int? get() = if (tasksByCpuMillis.isEmpty()) null else tasksByCpuMillis.firstKey()

    fun add(task: HeldTask) = count(task, 1)

    fun remove(task: HeldTask) = count(task, -1)

    private fun count(
        task: HeldTask,
        change: Int,
    ) {
        val demandMillis = task.spec.demand.cpuMillis
        work += change * task.spec.estimateMillis * demandMillis
        cpuMillis += change * demandMillis
        tasksByCpuMillis.count(demandMillis, change)
    }

    /** Counts a task in or out whose job is in time if it starts until [latestStartMillis]. */
    fun countStart(
        latestStartMillis: Long,
        change: Int,
    ) = tasksByStartSpan.count(Math.floorDiv(latestStartMillis, SPAN_MILLIS), change)

    /** About the number of tasks that must start until [latestStartMillis]. */
    fun countStartsUntil(latestStartMillis: Long): Int =
        tasksByStartSpan.headMap(Math.floorDiv(latestStartMillis, SPAN_MILLIS), true).values.sum()

    private fun <K> TreeMap<K, Int>.count(
        key: K,
        change: Int,
    ) {
        merge(key, change) { before, more -> (before + more).takeIf { it > 0 } }
    }

    private companion object {
        /** Resolution of the count of starts; short against the latency objectives. */
        const val SPAN_MILLIS = 64L
    }
}
