package io.jackdawring.cli.process

import java.io.File
import java.util.Collections
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.assertTrue

/** A `jackdawring` command in a separate JVM; its log goes to `target/process-tests/<name>.log`. */
internal class ProgramProcess(
    private val name: String,
    arguments: List<String>,
    environment: Map<String, String> = emptyMap(),
) : AutoCloseable {
    private val lines = CopyOnWriteArrayList<String>()
    private val process = start(arguments, environment)
    private val reader = thread(isDaemon = true, name = "output of $name") { readOutput() }

    val output: String get() = lines.joinToString("\n")

    val isAlive: Boolean get() = process.isAlive

    private fun start(
        arguments: List<String>,
        environment: Map<String, String>,
    ): Process {
        val log = File("target/process-tests/$name.log").apply { parentFile.mkdirs() }
        val builder = ProcessBuilder(listOf(JAVA) + FLAGS + listOf("-cp", CLASS_PATH, MAIN_CLASS) + arguments)
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log)).environment().putAll(environment)
        return builder.start().also(running::add)
    }

    private fun readOutput() = process.inputStream.bufferedReader().forEachLine(lines::add)

    /** Address that the program prints as `<listener> <address>` once it is bound. */
    fun address(listener: String): String =
        await("$name prints the address of its listener '$listener'") {
            check(isAlive) { "$name ended with ${process.exitValue()}: $output" }
            lines.firstOrNull { it.startsWith("$listener ") }?.substringAfter(' ')
        }

    fun signal(signal: String) {
        val kill = ProcessBuilder("/bin/kill", "-$signal", "${process.pid()}").start()
        assertTrue(kill.waitFor(END_LIMIT_SECONDS, TimeUnit.SECONDS) && kill.exitValue() == 0, "$signal for $name")
    }

    /** Sends SIGTERM and returns without waiting for the process to end. */
    fun terminate() = process.destroy()

    /** Waits for the end of the process and returns its exit code. */
    fun exitCode(): Int {
        assertTrue(process.waitFor(END_LIMIT_SECONDS, TimeUnit.SECONDS), "$name did not end: $output")
        reader.join()
        return process.exitValue()
    }

    /** Ends the process with SIGKILL. */
    override fun close() {
        process.destroyForcibly().waitFor()
        running.remove(process)
    }

    private companion object {
        val JAVA = File(System.getProperty("java.home"), "bin/java").path
        val FLAGS = listOf("-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")
        val CLASS_PATH: String = System.getProperty("java.class.path")
        const val MAIN_CLASS = "io.jackdawring.cli.MainKt"
        const val END_LIMIT_SECONDS = 60L
        val running: MutableSet<Process> = Collections.newSetFromMap(ConcurrentHashMap())

        init {
            // For a test JVM that is interrupted before the tests close their processes.
            Runtime.getRuntime().addShutdownHook(Thread { running.forEach { it.destroyForcibly() } })
        }
    }
}

/** Polls until [poll] returns a value; the limit is far above the expected time, so that a busy machine passes. */
internal fun <T : Any> await(
    what: String,
    limitMillis: Long = 30_000,
    poll: () -> T?,
): T {
    val endNanos = System.nanoTime() + limitMillis * 1_000_000
    while (true) {
        poll()?.let { return it }
        check(System.nanoTime() < endNanos) { "not within $limitMillis ms: $what" }
        Thread.sleep(20)
    }
}

/** Runs [body] on a new thread; the result fails if [body] does. */
internal fun inThread(body: () -> Unit): CompletableFuture<Void> =
    CompletableFuture.runAsync(body) { thread(isDaemon = true, block = it::run) }

internal fun awaitTrue(
    what: String,
    condition: () -> Boolean,
) {
    await(what) { if (condition()) Unit else null }
}
