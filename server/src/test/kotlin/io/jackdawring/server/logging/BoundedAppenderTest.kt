package io.jackdawring.server.logging

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.LoggingEvent
import ch.qos.logback.core.AppenderBase
import org.junit.jupiter.api.Test
import java.util.concurrent.CountDownLatch
import kotlin.test.assertEquals

/** Guards against log output that blocks the control thread, and against lines that are lost without being counted. */
class BoundedAppenderTest {
    private val context = UnconfiguredLogback().apply { initialize() }.loggerFactory as LoggerContext
    private val opened = CountDownLatch(1)
    private val written = ArrayList<String>()

    /** Writes nothing until [opened] is released. */
    private val sink =
        object : AppenderBase<ILoggingEvent>() {
            override fun append(event: ILoggingEvent) {
                opened.await()
                written += event.formattedMessage
            }
        }.apply { start() }

    private fun event(number: Int) =
        LoggingEvent("test", context.getLogger("test"), Level.INFO, "line $number", null, null)

    @Test
    fun `lines beyond the queue are dropped and counted, and the others are written in order`() {
        val appender = BoundedAppender(sink).apply { start() }
        val droppedBefore = droppedLogLines
        // One line is being written while the queue holds its limit.
        repeat(LINES) { appender.doAppend(event(it)) }
        opened.countDown()
        appender.stop()
        val dropped = (droppedLogLines - droppedBefore).toInt()
        assertEquals(LINES - QUEUE_LINES - 1, dropped)
        assertEquals(List(LINES - dropped) { "line $it" }, written)
    }

    private companion object {
        const val QUEUE_LINES = 4_096
        const val LINES = QUEUE_LINES + 10
    }
}
