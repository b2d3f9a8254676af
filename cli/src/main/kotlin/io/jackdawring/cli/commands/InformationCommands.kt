package io.jackdawring.cli.commands

import io.jackdawring.cli.Command
import io.jackdawring.cli.CommandContext
import io.jackdawring.cli.CommandLine
import io.jackdawring.cli.ExitCode
import io.jackdawring.cli.flags
import io.jackdawring.cli.settings.ResolvedSettings
import io.jackdawring.cli.settings.SettingTable
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.put
import org.kohsuke.args4j.Option

/** Prints the effective settings with their sources. */
internal class SettingsCommand :
    Command(
        "settings",
        "print the effective settings with secrets masked",
        "JACKDAWRING_LISTEN=127.0.0.1:8000 jackdawring settings --max-connections 500",
        SettingTable.all,
    ) {
    @Option(name = "--json", usage = "print JSON")
    var json: Boolean = false

    override val checkRequired: Boolean get() = false

    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        if (json) {
            context.out.println(asJson(settings))
        } else {
            settings.values.forEach {
                val source = if (it.value == null) "unset" else it.source.name.lowercase()
                val value = listOfNotNull(it.displayValue ?: "-", it.setting.unit.ifEmpty { null }).joinToString(" ")
                context.out.println("${it.setting.name.padEnd(22)} ${value.padEnd(28)} $source")
            }
        }
        return ExitCode.OK
    }

    private fun asJson(settings: ResolvedSettings) =
        buildJsonArray {
            settings.values.forEach {
                addJsonObject {
                    put("name", it.setting.name)
                    put("value", it.displayValue)
                    put("unit", it.setting.unit.ifEmpty { null })
                    put("source", if (it.value == null) "unset" else it.source.name.lowercase())
                }
            }
        }
}

/** Prints the version. */
internal class VersionCommand : Command("version", "print the version", "jackdawring version") {
    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        context.out.println(
            "jackdawring ${VersionCommand::class.java.`package`.implementationVersion ?: "development"}",
        )
        return ExitCode.OK
    }
}

/** Lists the subcommands and the exit codes. */
internal class HelpCommand(
    private val commands: () -> List<Command>,
) : Command("help", "list the subcommands and exit codes", "jackdawring help") {
    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        context.out.println("jackdawring dispatches sub-second tasks.")
        context.out.println()
        context.out.println("Usage: jackdawring SUBCOMMAND [FLAGS]")
        context.out.println()
        commands().forEach { context.out.println("  ${it.name.padEnd(CommandLine.COMMAND_WIDTH)}${it.summary}") }
        context.out.println()
        context.out.println("Each subcommand has --help. Exit codes:")
        ExitCode.entries.forEach { context.out.println("  ${it.code.toString().padEnd(4)}${it.meaning}") }
        return ExitCode.OK
    }
}

/** Prints a completion script for bash. */
internal class CompletionBashCommand(
    private val commands: () -> List<Command>,
) : Command(
        "completion bash",
        "print a completion script for bash",
        "source <(jackdawring completion bash)",
    ) {
    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        context.out.print(script(commands()))
        return ExitCode.OK
    }

    private fun script(commands: List<Command>): String =
        buildString {
            appendLine("_jackdawring() {")
            appendLine("  local current=\"\${COMP_WORDS[COMP_CWORD]}\" words")
            appendLine("  case \"\${COMP_WORDS[1]} \${COMP_WORDS[2]}\" in")
            commands.sortedByDescending { it.name.count { c -> c == ' ' } }.forEach {
                val pattern = if (' ' in it.name) "\"${it.name}\"" else "\"${it.name} \""
                val flags = CommandLine.parser(it).flags().joinToString(" ")
                appendLine("    $pattern*) words=\"$flags\" ;;")
            }
            groups(commands).forEach { (group, words) ->
                appendLine("    \"$group \"*) words=\"${words.joinToString(" ")}\" ;;")
            }
            val first = commands.map { it.name.substringBefore(' ') }.distinct().joinToString(" ")
            appendLine("    *) words=\"$first\" ;;")
            appendLine("  esac")
            appendLine("  COMPREPLY=(\$(compgen -W \"\$words\" -- \"\$current\"))")
            appendLine("  if [ \${#COMPREPLY[@]} -eq 0 ]; then COMPREPLY=(\$(compgen -f -- \"\$current\")); fi")
            appendLine("}")
            appendLine("complete -F _jackdawring jackdawring")
        }

    private fun groups(commands: List<Command>): Map<String, List<String>> =
        commands
            .filter { ' ' in it.name }
            .groupBy({ it.name.substringBefore(' ') }, { it.name.substringAfter(' ') })
}
