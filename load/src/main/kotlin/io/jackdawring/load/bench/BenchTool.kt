package io.jackdawring.load.bench

import kotlinx.serialization.json.Json
import java.io.PrintStream
import java.lang.management.ManagementFactory
import java.util.Locale

/** Runs the benchmarks of [options] and prints a table or a JSON line for each; returns 0, or 1 if one failed. */
fun runBench(
    options: BenchOptions,
    out: PrintStream,
): Int {
    var failed = false
    for (benchmark in options.benchmarks) {
        val table = BenchTable(benchmark.label)
        try {
            table.notes += "load average before: ${loadAverage()} on ${processors()} processors"
            run(benchmark, options, table)
        } catch (e: IllegalStateException) {
            failed = true
            table.notes += "failed: ${e.message}"
        }
        table.notes += "load average after: ${loadAverage()}"
        out.print(if (options.json) Json.encodeToString(BenchTable.serializer(), table) + "\n" else table.toText())
    }
    return if (failed) 1 else 0
}

private fun run(
    benchmark: Benchmark,
    options: BenchOptions,
    table: BenchTable,
) = when (benchmark) {
    Benchmark.CORE -> CoreBench(options, table).run()
    Benchmark.SHARD -> ShardBench(options, table).run()
    Benchmark.STARTS -> StartsBench(options, table).run()
    Benchmark.CONTROL -> ControlBench(options, table).run()
    Benchmark.MEMORY -> MemoryBench(options, table).run()
    Benchmark.STORE -> StoreBench(options, table).run()
}

private fun loadAverage(): String =
    "%.1f".format(Locale.ROOT, ManagementFactory.getOperatingSystemMXBean().systemLoadAverage)

private fun processors(): Int = Runtime.getRuntime().availableProcessors()
