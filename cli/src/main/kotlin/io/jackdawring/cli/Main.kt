package io.jackdawring.cli

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import io.jackdawring.cli.client.RealApiClient
import io.jackdawring.server.logging.LogFormat
import io.jackdawring.server.logging.UnconfiguredLogback
import io.jackdawring.server.logging.configureLogging
import org.slf4j.LoggerFactory
import kotlin.system.exitProcess

/** Entry point of the binary. */
fun main(args: Array<String>) {
    UnconfiguredLogback.select()
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
    exitProcess(CommandLine(commandFactories, ::prepareLogging).run(args.toList(), context).code)
}

/** Sends warnings to the terminal; state changes are hidden, because a demo would log hundreds. */
private fun prepareLogging(command: Command) {
    if (command.configuresLogging) return
    configureLogging(LogFormat.TEXT)
    (LoggerFactory.getLogger("io.jackdawring") as Logger).level = Level.WARN
}
