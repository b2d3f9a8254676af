package io.jackdawring.cli

import arrow.core.getOrElse
import io.jackdawring.cli.settings.ResolvedSettings
import io.jackdawring.cli.settings.Setting
import io.jackdawring.core.configuration.nearestWord
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.NamedOptionDef
import org.kohsuke.args4j.Option
import org.kohsuke.args4j.OptionHandlerFilter
import org.kohsuke.args4j.ParserProperties
import org.kohsuke.args4j.spi.FieldSetter
import org.kohsuke.args4j.spi.OptionHandler
import org.kohsuke.args4j.spi.Setter
import org.kohsuke.args4j.spi.StringOptionHandler
import java.lang.reflect.AnnotatedElement

/** Finds the subcommand of a command line, parses its flags and settings, and runs it. */
class CommandLine(
    private val commands: List<CommandFactory>,
    private val prepare: (Command) -> Unit = {},
) {
    fun run(
        arguments: List<String>,
        context: CommandContext,
    ): ExitCode {
        if (arguments.isEmpty()) return usageError(context, "a subcommand is missing", null)
        if (arguments.first() in setOf("--help", "-h")) return run(listOf("help"), context)
        if (arguments.first() == "--version") return run(listOf("version"), context)
        val factory =
            commands.filter { arguments.take(it.wordCount) == it.name.split(' ') }.maxByOrNull { it.wordCount }
                ?: return unknownCommand(arguments, context)
        return runCommand(factory.create(), arguments.drop(factory.wordCount), context)
    }

    private fun unknownCommand(
        arguments: List<String>,
        context: CommandContext,
    ): ExitCode {
        val group = commands.filter { it.name.startsWith(arguments.first() + " ") }
        if (group.isEmpty()) {
            val word = arguments.first()
            return usageError(context, "unknown subcommand '$word'", nearestWord(word, commands.map { it.name }))
        }
        val rest = arguments.getOrNull(1)
        if (rest == null || rest == "--help" || rest == "-h") {
            val stream = if (rest == null) context.err else context.out
            group.map { it.create() }.forEach {
                stream.println("${it.name.padEnd(COMMAND_WIDTH)}${it.summary}")
            }
            return if (rest == null) ExitCode.USAGE else ExitCode.OK
        }
        val name = "${arguments.first()} $rest"
        return usageError(context, "unknown subcommand '$name'", nearestWord(name, group.map { it.name }))
    }

    private fun runCommand(
        command: Command,
        arguments: List<String>,
        context: CommandContext,
    ): ExitCode {
        if (arguments.isEmpty() && command.needsNoArguments) return execute(command, context)
        val parser = parser(command)
        try {
            parser.parseArgument(splitAssignments(arguments))
        } catch (e: CmdLineException) {
            if (command.help) return printHelp(command, parser, context)
            val flag = arguments.firstOrNull { e.message.orEmpty().startsWith("\"${it.substringBefore('=')}\" is not") }
            val hint = flag?.let { nearestWord(it.substringBefore('='), parser.flags()) }
            return usageError(context, "${command.name}: ${e.message}", hint)
        }
        if (command.help) return printHelp(command, parser, context)
        return execute(command, context)
    }

    private fun execute(
        command: Command,
        context: CommandContext,
    ): ExitCode {
        val settings =
            ResolvedSettings
                .resolve(command.settings, command.settingFlags, context.environment, command.checkRequired)
                .getOrElse { problems ->
                    problems.forEach { context.err.println("jackdawring ${command.name}: $it") }
                    return ExitCode.USAGE
                }
        return try {
            prepare(command)
            command.run(context, settings)
        } catch (e: UsageException) {
            usageError(context, "${command.name}: ${e.message}", null)
        } catch (e: StartException) {
            context.err.println("jackdawring ${command.name}: ${e.message}")
            ExitCode.FAILED
        } catch (e: Exception) {
            internalError(context, command, e)
        }
    }

    /** Prints one line for users; the stack trace, for debugging, only if [STACK_TRACE_VARIABLE] is `true`. */
    private fun internalError(
        context: CommandContext,
        command: Command,
        cause: Exception,
    ): ExitCode {
        val summary = cause.toString().lineSequence().first()
        val withTrace = context.environment[STACK_TRACE_VARIABLE] == "true"
        val hint = if (withTrace) "" else " (set $STACK_TRACE_VARIABLE=true for the stack trace)"
        context.err.println("jackdawring ${command.name}: internal fault: $summary$hint")
        if (withTrace) cause.printStackTrace(context.err)
        return ExitCode.INTERNAL
    }

    private fun usageError(
        context: CommandContext,
        message: String,
        suggestion: String?,
    ): ExitCode {
        context.err.println("jackdawring: $message" + if (suggestion == null) "" else "; did you mean '$suggestion'?")
        context.err.println("Run 'jackdawring help' for the list of subcommands.")
        return ExitCode.USAGE
    }

    private fun printHelp(
        command: Command,
        parser: CmdLineParser,
        context: CommandContext,
    ): ExitCode {
        context.out.println("${command.name}: ${command.summary}")
        context.out.println()
        context.out.print("Usage: jackdawring ${command.name}")
        parser.printSingleLineUsage(context.out)
        context.out.println()
        context.out.println()
        parser.printUsage(context.out.writer(), null, OptionHandlerFilter.PUBLIC)
        context.out.println()
        context.out.println("Example: ${command.example}")
        context.out.println("Exit codes: " + ExitCode.entries.joinToString { "${it.code} ${it.name.lowercase()}" })
        return ExitCode.OK
    }

    companion object {
        const val COMMAND_WIDTH = 23

        /** Environment variable that adds the stack trace to the message of an internal fault. */
        const val STACK_TRACE_VARIABLE = "JACKDAWRING_STACK_TRACE"

        /** args4j parser of [command] with the flags of its properties and of its settings. */
        fun parser(command: Command): CmdLineParser {
            val parser = CmdLineParser(command, ParserProperties.defaults().withUsageWidth(100).withShowDefaults(false))
            command.settings.forEach { setting ->
                parser.addOption(SettingSetter(setting, command.settingFlags), option(setting))
            }
            return parser
        }

        private fun option(setting: Setting): Option =
            Option(
                name = setting.flag,
                aliases = emptyArray<String>(),
                usage = usage(setting),
                metaVar = setting.type.metaVariable,
                required = false,
                help = false,
                hidden = false,
                handler = StringOptionHandler::class,
                depends = emptyArray<String>(),
                forbids = emptyArray<String>(),
            )

        private fun usage(setting: Setting): String {
            val unit = if (setting.unit.isEmpty()) "" else " ${setting.unit}"
            val default =
                when {
                    setting.required -> "required"
                    setting.default == null -> "no default"
                    else -> "default ${setting.default}"
                }
            return "${setting.description} (${setting.type.range}$unit; $default; ${setting.variable})"
        }

        /** Splits `--flag=value` into two arguments, because args4j accepts this form only for some properties. */
        private fun splitAssignments(arguments: List<String>): List<String> =
            arguments.flatMap { argument ->
                if (argument.startsWith("--") && '=' in argument) {
                    listOf(argument.substringBefore('='), argument.substringAfter('='))
                } else {
                    listOf(argument)
                }
            }
    }
}

private val CommandFactory.wordCount: Int get() = name.count { it == ' ' } + 1

/** All flags that [this] accepts. */
internal fun CmdLineParser.flags(): List<String> =
    options.flatMap { handler: OptionHandler<*> ->
        val option = handler.option as NamedOptionDef
        listOf(option.name()) + option.aliases()
    }

/** Collects the value of a setting's flag. */
private class SettingSetter(
    private val setting: Setting,
    private val values: MutableMap<String, String>,
) : Setter<String> {
    override fun addValue(value: String) {
        values[setting.name] = value
    }

    override fun getType(): Class<String> = String::class.java

    override fun isMultiValued(): Boolean = false

    override fun asFieldSetter(): FieldSetter? = null

    override fun asAnnotatedElement(): AnnotatedElement = this::class.java
}
