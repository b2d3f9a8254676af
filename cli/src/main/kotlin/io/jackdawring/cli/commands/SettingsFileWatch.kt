package io.jackdawring.cli.commands

import io.github.oshai.kotlinlogging.KotlinLogging
import sun.misc.Signal
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

private val logger = KotlinLogging.logger("io.jackdawring.settings")

/** Calls [onChange] with the text of [file] after a change: immediately on SIGHUP, otherwise within seconds. */
internal class SettingsFileWatch(
    private val file: Path,
    private var text: String,
    private val onChange: (String) -> Unit,
) {
    private val signals = Semaphore(0)

    /** Starts watching; the handler also keeps SIGHUP from terminating the JVM. */
    fun start() {
        Signal.handle(Signal("HUP")) { signals.release() }
        thread(isDaemon = true, name = "settings") { watch() }
    }

    private fun watch() {
        while (true) {
            if (signals.tryAcquire(POLL_MILLIS, TimeUnit.MILLISECONDS)) signals.drainPermits()
            readIfChanged()
        }
    }

    private fun readIfChanged() {
        val current =
            try {
                Files.readString(file)
            } catch (e: IOException) {
                logger.warn { "cannot read settings file $file: ${e.message}" }
                return
            }
        if (current == text) return
        text = current
        onChange(current)
    }

    private companion object {
        /** The file may change without a signal; the platform specifies no limit for the detection time. */
        const val POLL_MILLIS = 2_000L
    }
}
