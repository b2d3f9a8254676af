package io.jackdawring.load.bench

import com.sun.management.ThreadMXBean
import java.lang.management.ManagementFactory

private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean

/** Processor time in nanoseconds by thread id, for the threads whose name starts with one of [prefixes]. */
internal fun cpuNanosOf(vararg prefixes: String): Map<Long, Long> =
    threads
        .getThreadInfo(threads.allThreadIds)
        .filterNotNull()
        .filter { info -> prefixes.any(info.threadName::startsWith) }
        .associate { it.threadId to threads.getThreadCpuTime(it.threadId) }

/** Processor time in nanoseconds that was used between two readings of [cpuNanosOf]. */
internal fun cpuNanosBetween(
    before: Map<Long, Long>,
    after: Map<Long, Long>,
): Long = after.entries.sumOf { (id, nanos) -> nanos - (before[id] ?: 0) }

internal fun currentThreadCpuNanos(): Long = threads.currentThreadCpuTime

internal fun currentThreadAllocatedBytes(): Long = threads.currentThreadAllocatedBytes

/** Time in milliseconds that the garbage collectors have used since the JVM started. */
internal fun collectionMillis(): Long =
    ManagementFactory.getGarbageCollectorMXBeans().sumOf { maxOf(0, it.collectionTime) }

/** Heap in use after [collections] full collections. */
internal fun usedHeapBytes(collections: Int): Long {
    repeat(collections) {
        System.gc()
        Thread.sleep(GC_PAUSE_MILLIS)
    }
    return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
}

/** Name prefixes of the threads of an entry instance: event loops, control thread and housekeeping timer. */
internal val ENTRY_THREADS = arrayOf("traffic", "control", "housekeeping")

private const val GC_PAUSE_MILLIS = 20L
