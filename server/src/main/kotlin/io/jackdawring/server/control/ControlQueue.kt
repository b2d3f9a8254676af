package io.jackdawring.server.control

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.LockSupport

/**
 * Queue from many producers to a single consumer, the control thread.
 *
 * Items of a [Bound] are refused while [capacityPerBound] items of that bound wait; other items, such as results of
 * started operations, must not be lost and are always accepted.
 */
internal class ControlQueue<T : Any>(
    private val capacityPerBound: Int,
) {
    /** Classes of items that are bounded independently of each other. */
    enum class Bound {
        CALLER_REQUESTS,
        PEER_MESSAGES,
    }

    private class Entry<T>(
        val item: T,
        val bound: Bound?,
    )

    private val entries = ConcurrentLinkedQueue<Entry<T>>()
    private val waitingPerBound = Array(Bound.entries.size) { AtomicInteger() }

    @Volatile
    private var parkedThread: Thread? = null

    /** Adds [item] unless [bound] is at capacity; returns whether it was added. */
    fun offer(
        item: T,
        bound: Bound,
    ): Boolean {
        val waiting = waitingPerBound[bound.ordinal]
        while (true) {
            val present = waiting.get()
            if (present >= capacityPerBound) return false
            if (waiting.compareAndSet(present, present + 1)) break
        }
        entries.add(Entry(item, bound))
        wake()
        return true
    }

    /** Adds [item] regardless of the number of waiting items. */
    fun add(item: T) {
        entries.add(Entry(item, null))
        wake()
    }

    /** Removes the oldest item, or returns null if there is none. */
    fun poll(): T? {
        val entry = entries.poll() ?: return null
        if (entry.bound != null) waitingPerBound[entry.bound.ordinal].decrementAndGet()
        return entry.item
    }

    /** Number of waiting items of [bound]. */
    fun waiting(bound: Bound): Int = waitingPerBound[bound.ordinal].get()

    /** Wakes the consumer if it sleeps. */
    fun wake() {
        val thread = parkedThread ?: return
        LockSupport.unpark(thread)
    }

    /** Blocks the consumer until an item arrives, [wake] is called or [nanos] have passed; may return early. */
    fun sleep(nanos: Long) {
        parkedThread = Thread.currentThread()
        // An item added before the assignment above is seen here; one added after it unparks this thread.
        if (entries.isEmpty()) LockSupport.parkNanos(this, nanos)
        parkedThread = null
    }
}
