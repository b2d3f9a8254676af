package io.jackdawring.server.logging

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.Appender
import ch.qos.logback.core.UnsynchronizedAppenderBase
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** Writes log lines on its own thread; drops and counts lines while its queue is full, and never blocks a caller. */
internal class BoundedAppender(
    private val sink: Appender<ILoggingEvent>,
) : UnsynchronizedAppenderBase<ILoggingEvent>() {
    private val writer =
        ThreadPoolExecutor(
            1,
            1,
            0,
            TimeUnit.MILLISECONDS,
            ArrayBlockingQueue(QUEUE_LINES),
            { action -> Thread(action, "log").apply { isDaemon = true } },
            { _, _ -> dropped.incrementAndGet() },
        )

    override fun append(event: ILoggingEvent) {
        event.prepareForDeferredProcessing()
        writer.execute { sink.doAppend(event) }
    }

    /** Writes the lines that are queued. */
    override fun stop() {
        super.stop()
        writer.shutdown()
        writer.awaitTermination(FLUSH_LIMIT_MILLIS, TimeUnit.MILLISECONDS)
        sink.stop()
    }

    companion object {
        /** About a second of lines at a few thousand requests a second. */
        private const val QUEUE_LINES = 4_096
        private const val FLUSH_LIMIT_MILLIS = 500L
        private val dropped = AtomicLong()

        /** Lines dropped since the start of the process. */
        val droppedLines: Long get() = dropped.get()
    }
}
