package io.jackdawring.standins

import java.io.Writer
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Accepted starts in memory and, with [file], as JSON lines that a separate thread writes and flushes one by one. */
internal class StartLog(
    file: Path?,
) : AutoCloseable {
    private val starts = ConcurrentLinkedQueue<TaskStart>()
    private val writer: Writer? =
        file?.let { Files.newBufferedWriter(it, StandardOpenOption.CREATE, StandardOpenOption.APPEND) }
    private val executor =
        writer?.let { Executors.newSingleThreadExecutor { Thread(it, "start-log").apply { isDaemon = true } } }

    fun add(start: TaskStart) {
        starts.add(start)
        val line = line(start)
        // Each line is flushed, because the log must contain every start even if the process is killed.
        executor?.execute {
            writer?.write(line)
            writer?.flush()
        }
    }

    fun toList(): List<TaskStart> = starts.toList()

    fun toJsonLines(): String = starts.joinToString("", transform = ::line)

    override fun close() {
        executor?.shutdown()
        executor?.awaitTermination(CLOSE_LIMIT_MILLIS, TimeUnit.MILLISECONDS)
        writer?.close()
    }

    private fun line(start: TaskStart): String = messageJson.encodeToString(TaskStart.serializer(), start) + "\n"

    private companion object {
        const val CLOSE_LIMIT_MILLIS = 2_000L
    }
}
