package io.jackdawring.cli.commands

import io.jackdawring.cli.Command
import io.jackdawring.cli.CommandContext
import io.jackdawring.cli.ExitCode
import io.jackdawring.cli.UsageException
import io.jackdawring.cli.settings.ResolvedSettings
import io.jackdawring.load.bench.Benchmark
import io.jackdawring.load.bench.benchOptions
import org.kohsuke.args4j.Option

/** Runs benchmarks on this machine. */
internal class BenchCommand :
    Command(
        "bench",
        "measure processor time, messages, memory and store calls on this machine",
        "jackdawring bench --only core --json",
    ) {
    @Option(name = "--only", metaVar = "NAME", usage = "core, shard, starts, control, memory or store (default all)")
    var only: String? = null

    @Option(name = "--case-millis", metaVar = "N", usage = "time per case in milliseconds (100 to 10000; default 1000)")
    var caseMillis: Int = 1_000

    @Option(name = "--json", usage = "print one JSON object per benchmark")
    var json: Boolean = false

    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        requireRange("--case-millis", caseMillis, 100..10_000)
        val command = this
        val options =
            benchOptions {
                command.only?.let { benchmarks = listOf(benchmark(it)) }
                caseMillis = command.caseMillis.toLong()
                json = command.json
            }
        return if (context.components.runBench(options, context.out) == 0) ExitCode.OK else ExitCode.FAILED
    }

    private fun benchmark(label: String): Benchmark =
        Benchmark.entries.find { it.label == label }
            ?: throw UsageException(
                "--only: '$label' is not allowed; allowed are ${Benchmark.entries.joinToString { it.label }}",
            )
}
