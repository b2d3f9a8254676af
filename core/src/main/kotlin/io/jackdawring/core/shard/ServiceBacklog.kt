package io.jackdawring.core.shard

import java.util.TreeMap

/** Totals of the tasks that wait for targets of one service. */
internal class ServiceBacklog {
    /** Declared work of the tasks that end by themselves: CPU demand in thousandths of a core times milliseconds. */
    var work = 0L
        private set

    /** CPU demand, in thousandths of a core. */
    var cpuMillis = 0L
        private set

    /** Number of tasks by CPU demand. */
    private val tasksByCpuMillis = TreeMap<Int, Int>()

    /** Histogram of the latest start times of tasks whose jobs can still meet their objective, by bucket number. */
    private val tasksByStartBucket = TreeMap<Long, Int>()

    /** Smallest CPU demand of a task, in thousandths of a core; null if no task waits. */
    val smallestCpuMillis: Int? get() = if (tasksByCpuMillis.isEmpty()) null else tasksByCpuMillis.firstKey()

    fun add(task: TrackedTask) = count(task, 1)

    fun remove(task: TrackedTask) = count(task, -1)

    private fun count(
        task: TrackedTask,
        change: Int,
    ) {
        val demandMillis = task.spec.demand.cpuMillis
        if (!task.spec.longRunning) work += change * task.spec.estimateMillis * demandMillis
        cpuMillis += change * demandMillis
        tasksByCpuMillis.count(demandMillis, change)
    }

    /** Adds [change] tasks that must start by [latestStartMillis] for their job to meet its objective. */
    fun countStart(
        latestStartMillis: Long,
        change: Int,
    ) = tasksByStartBucket.count(Math.floorDiv(latestStartMillis, BUCKET_MILLIS), change)

    /** Approximate number of tasks that must start by [latestStartMillis]. */
    fun countStartsUntil(latestStartMillis: Long): Int =
        tasksByStartBucket.headMap(Math.floorDiv(latestStartMillis, BUCKET_MILLIS), true).values.sum()

    private fun <K> TreeMap<K, Int>.count(
        key: K,
        change: Int,
    ) {
        merge(key, change) { before, more -> (before + more).takeIf { it > 0 } }
    }

    private companion object {
        /** Bucket width of the latest start times; short compared with the latency objectives. */
        const val BUCKET_MILLIS = 64L
    }
}
