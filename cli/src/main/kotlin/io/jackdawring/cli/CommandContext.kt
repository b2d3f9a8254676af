package io.jackdawring.cli

import io.jackdawring.cli.client.ApiClient
import java.io.InputStream
import java.io.PrintStream

/** Streams, environment and services that a subcommand uses; replaced in tests. */
class CommandContext(
    val out: PrintStream,
    val err: PrintStream,
    val input: InputStream,
    val environment: Map<String, String>,
    val terminal: Boolean,
    val components: Components,
    val lifecycle: ProcessLifecycle,
    val client: ApiClient,
    val clock: ProcessClock,
)
