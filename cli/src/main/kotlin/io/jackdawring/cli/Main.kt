package io.jackdawring.cli

import kotlin.system.exitProcess

/** Entry point of the one binary. */
fun main(args: Array<String>) {
    val context =
        CommandContext(
            out = System.out,
            err = System.err,
            input = System.`in`,
            environment = System.getenv(),
            terminal = System.console() != null,
            components = RealComponents,
            lifecycle = RealProcessLifecycle,
        )
    exitProcess(CommandLine(::allCommands).run(args.toList(), context).code)
}
