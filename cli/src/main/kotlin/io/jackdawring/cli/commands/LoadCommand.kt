package io.jackdawring.cli.commands

import io.jackdawring.cli.Command
import io.jackdawring.cli.CommandContext
import io.jackdawring.cli.ExitCode
import io.jackdawring.cli.settings.ResolvedSettings
import io.jackdawring.cli.settings.SettingTable
import io.jackdawring.core.Submission
import io.jackdawring.load.LoadClass
import io.jackdawring.load.LoadPattern
import io.jackdawring.load.loadOptions
import org.kohsuke.args4j.Option

/** Sends jobs at a fixed rate and reports latencies and outcomes. */
internal class LoadCommand :
    Command(
        "load",
        "send jobs at a fixed rate and report latencies and outcomes",
        "jackdawring load --entry 127.0.0.1:7410 --service orders --kind allergen-check --rate 200 --seconds 10",
        listOf(SettingTable.entry),
    ) {
    @Option(name = "--service", metaVar = "NAME", required = true, usage = "service of the jobs")
    var service: String = ""

    @Option(name = "--kind", metaVar = "NAME", required = true, usage = "kind of the jobs")
    var kind: String = ""

    @Option(name = "--rate", metaVar = "N", usage = "jobs per second (1 to 100000; default 100)")
    var rate: Int = 100

    @Option(name = "--tasks", metaVar = "N", usage = "tasks per job (1 to 1200; default 1)")
    var tasks: Int = 1

    @Option(name = "--seconds", metaVar = "N", usage = "duration in seconds (1 to 3600; default 10)")
    var seconds: Int = 10

    @Option(name = "--json", usage = "print the result as JSON")
    var json: Boolean = false

    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        requireRange("--rate", rate, 1..100_000)
        requireRange("--tasks", tasks, 1..Submission.MAX_TASKS)
        requireRange("--seconds", seconds, 1..3_600)
        val command = this
        val options =
            loadOptions {
                entries = listOf(settings.text(SettingTable.entry))
                service = command.service
                classes = listOf(LoadClass(kind, share = 1.0))
                pattern = LoadPattern.OpenLoop(rate.toDouble())
                tasksPerJob = tasks..tasks
                durationMillis = seconds * 1_000L
                json = command.json
            }
        return if (context.components.runLoad(options, context.out) == 0) ExitCode.OK else ExitCode.FAILED
    }
}

/** Runs a small fleet in this process and sends jobs to it. */
internal class DemoCommand :
    Command(
        "demo",
        "run a small fleet in this process, send jobs to it, and print a summary",
        "jackdawring demo",
    ) {
    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode = if (context.components.runDemo(context.out) == 0) ExitCode.OK else ExitCode.FAILED
}
