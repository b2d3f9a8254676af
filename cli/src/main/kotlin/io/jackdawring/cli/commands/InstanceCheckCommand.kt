package io.jackdawring.cli.commands

import arrow.core.Either
import io.jackdawring.cli.Command
import io.jackdawring.cli.CommandContext
import io.jackdawring.cli.ExitCode
import io.jackdawring.cli.UsageException
import io.jackdawring.cli.settings.ResolvedSettings
import io.jackdawring.platform.PlatformInstance
import org.kohsuke.args4j.Option

/** Checks a settings file of the platform and prints the settings that an entry instance would use. */
internal class InstanceCheckCommand :
    Command(
        "instance check",
        "check a settings file of the platform and print the effective settings",
        "jackdawring instance check --settings settings.toml",
    ) {
    @Option(name = "--settings", metaVar = "FILE", usage = "settings file of the platform")
    var settingsFile: String? = null

    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        val path = settingsFile ?: throw UsageException("--settings is missing")
        return when (val described = PlatformInstance.describeSettings(readSettingsFile(path))) {
            is Either.Left -> {
                context.err.println("jackdawring instance check: settings file $path: ${described.value}")
                ExitCode.FAILED
            }

            is Either.Right -> {
                described.value.forEach { (name, value) -> context.out.println("%-26s %s".format(name, value)) }
                ExitCode.OK
            }
        }
    }
}
