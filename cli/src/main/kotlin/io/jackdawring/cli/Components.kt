package io.jackdawring.cli

import io.jackdawring.load.LoadOptions
import io.jackdawring.load.ScenarioOptions
import io.jackdawring.load.bench.BenchOptions
import io.jackdawring.server.EntryServer
import io.jackdawring.server.ServerOptions
import java.io.PrintStream

/** Servers and tools that subcommands start. */
interface Components {
    fun startEntry(options: ServerOptions): EntryServer

    /** Starts the stand-in platform; returns it with its bound address. */
    fun startPlatform(listen: String): RunningServer

    fun startTarget(options: TargetStandinOptions): RunningServer

    /** Runs the load tool; returns 0 if no answer was wrong and no task started twice. */
    fun runLoad(
        options: LoadOptions,
        out: PrintStream,
    ): Int

    /** Runs benchmarks; returns 0 unless one failed. */
    fun runBench(
        options: BenchOptions,
        out: PrintStream,
    ): Int

    /** Compares policies in scenarios; returns 0 if no answer was wrong and no task started twice. */
    fun runScenarios(
        options: ScenarioOptions,
        out: PrintStream,
    ): Int

    /** Runs the demo; returns its exit code. */
    fun runDemo(out: PrintStream): Int
}

/** A server in this process with its bound address. */
class RunningServer(
    val address: String,
    private val stop: () -> Unit,
) : AutoCloseable {
    override fun close() = stop()
}

/** Options of `standin target`. */
data class TargetStandinOptions(
    val id: String,
    val failureDomain: String,
    val listen: String,
    val platform: String,
    val slots: Int,
    val connections: Int,
    val services: List<String>,
)
