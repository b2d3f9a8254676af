package io.jackdawring.cli

import io.jackdawring.cli.client.RealApiClient
import io.jackdawring.server.logging.LogFormat
import io.jackdawring.server.logging.configureLogging
import kotlin.system.exitProcess

/** Entry point of the one binary. */
fun main(args: Array<String>) {
    configureLogging(LogFormat.TEXT)
    val context =
        CommandContext(
            out = System.out,
            err = System.err,
            input = System.`in`,
            environment = System.getenv(),
            terminal = System.console() != null,
            components = RealComponents,
            lifecycle = RealProcessLifecycle,
            client = RealApiClient(),
            clock = RealProcessClock,
        )
    exitProcess(CommandLine(::allCommands).run(args.toList(), context).code)
}
