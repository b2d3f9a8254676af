package io.jackdawring.server.logging

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.spi.ILoggingEvent
import java.util.concurrent.atomic.AtomicLong

/** Writes log lines on its own thread; drops and counts lines while its queue is full, and never blocks a caller. */
internal class BoundedAppender : AsyncAppender() {
    init {
        isNeverBlock = true
        queueSize = QUEUE_LINES
        // Lines of all levels are kept until the queue is full.
        discardingThreshold = 0
        maxFlushTime = FLUSH_LIMIT_MILLIS
    }

    override fun append(event: ILoggingEvent) {
        if (remainingCapacity == 0) dropped.incrementAndGet() else super.append(event)
    }

    companion object {
        /** About a second of lines at a few thousand requests a second. */
        private const val QUEUE_LINES = 4_096
        private const val FLUSH_LIMIT_MILLIS = 500
        private val dropped = AtomicLong()

        /** Lines dropped since the start of the process. */
        val droppedLines: Long get() = dropped.get()
    }
}
