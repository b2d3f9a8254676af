package io.jackdawring.cli

import io.jackdawring.cli.settings.ResolvedSettings
import io.jackdawring.cli.settings.Setting
import org.kohsuke.args4j.Option

/**
 * One subcommand; args4j annotations on its properties declare the flags that are not settings.
 *
 * [name] may have two words (`config publish`); [example] is a complete command line.
 */
abstract class Command(
    val name: String,
    val summary: String,
    val example: String,
    val settings: List<Setting> = emptyList(),
) {
    @Option(name = "--help", aliases = ["-h"], help = true, usage = "print this help")
    var help: Boolean = false

    /** Values of the flags of [settings] by setting name. */
    val settingFlags: MutableMap<String, String> = mutableMapOf()

    /** Whether a missing required setting is an error before [run]. */
    open val checkRequired: Boolean get() = true

    /** Whether [run] configures the logging of the process itself. */
    open val configuresLogging: Boolean get() = false

    /** Whether the command line may end with the name; its flags are then not parsed, which shortens the start. */
    open val needsNoArguments: Boolean get() = false

    abstract fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode
}

/** A usage error that a subcommand detects after parsing. */
class UsageException(
    message: String,
) : Exception(message)

/** A server could not be started, for example because its address is in use. */
class StartException(
    message: String,
) : Exception(message)
