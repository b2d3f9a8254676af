package io.jackdawring.cli

/** Creates the subcommand with [name]; a new object each time, because parsing modifies it. */
class CommandFactory(
    val name: String,
    val create: () -> Command,
)
