package io.jackdawring.cli.commands

import me.tongfei.progressbar.ProgressBar
import me.tongfei.progressbar.ProgressBarBuilder
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Shows how much of a job's deadline has elapsed; a job reports no other progress, because it is answered once. */
internal class SubmitProgress private constructor(
    private val bar: ProgressBar,
    private val tickMillis: Long,
) : AutoCloseable {
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it, "progress").apply { isDaemon = true } }

    private fun start() {
        timer.scheduleAtFixedRate({ bar.stepBy(tickMillis) }, tickMillis, tickMillis, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        timer.shutdownNow()
        bar.close()
    }

    companion object {
        private const val TICK_MILLIS = 100L

        /** A progress bar on a terminal; nothing elsewhere, so that logs and pipes stay clean. */
        fun start(
            terminal: Boolean,
            deadlineMillis: Long,
        ): AutoCloseable {
            if (!terminal) return AutoCloseable { }
            val bar =
                ProgressBarBuilder()
                    .setTaskName("deadline")
                    .setInitialMax(deadlineMillis)
                    .setUnit(" ms", 1)
                    .hideEta()
                    .clearDisplayOnFinish()
                    .build()
            return SubmitProgress(bar, TICK_MILLIS).apply { start() }
        }
    }
}
