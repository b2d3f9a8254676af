package io.jackdawring.cli

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import io.jackdawring.cli.client.RealApiClient
import io.jackdawring.server.logging.LogFormat
import io.jackdawring.server.logging.configureLogging
import org.slf4j.LoggerFactory
import kotlin.system.exitProcess

/** Entry point of the binary. */
fun main(args: Array<String>) {
    configureLogging(LogFormat.TEXT)
    // Hides state changes, of which the demo would log hundreds; a server configures its own logging.
    (LoggerFactory.getLogger("io.jackdawring") as Logger).level = Level.WARN
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
