package io.jackdawring.server.logging

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.Appender
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** How log lines are written. */
enum class LogFormat {
    /** One JSON object a line, for collection. */
    JSON,

    /** Plain text, for a terminal. */
    TEXT,
}

/** Where log lines are written. */
enum class LogOutput {
    /** Standard error, on the thread that logs. */
    STANDARD_ERROR,

    /** Standard output, on a separate thread with a bounded queue. */
    STANDARD_OUTPUT_BOUNDED,
}

/** Lines that were dropped because the queue of [LogOutput.STANDARD_OUTPUT_BOUNDED] was full. */
val droppedLogLines: Long get() = BoundedAppender.droppedLines

/** Sends all logs of the process to [output] in [format]; libraries log warnings and errors only. */
fun configureLogging(
    format: LogFormat,
    debug: Boolean = false,
    output: LogOutput = LogOutput.STANDARD_ERROR,
) {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    context.reset()
    val appender =
        ConsoleAppender<ILoggingEvent>().apply {
            this.context = context
            target = if (output == LogOutput.STANDARD_ERROR) "System.err" else "System.out"
            encoder = createEncoder(context, format)
            start()
        }
    val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
    root.level = Level.WARN
    root.addAppender(if (output == LogOutput.STANDARD_ERROR) appender else bounded(context, appender))
    context.getLogger("io.jackdawring").level = if (debug) Level.DEBUG else Level.INFO
}

private fun bounded(
    loggerContext: LoggerContext,
    sink: Appender<ILoggingEvent>,
) = BoundedAppender(sink).apply {
    context = loggerContext
    start()
}

private fun createEncoder(
    loggerContext: LoggerContext,
    format: LogFormat,
): Encoder<ILoggingEvent> =
    when (format) {
        LogFormat.JSON -> JsonLineEncoder()
        LogFormat.TEXT -> PatternLayoutEncoder().apply { pattern = "%d{HH:mm:ss.SSS} %-5level %msg %kvp%n" }
    }.apply {
        context = loggerContext
        start()
    }
