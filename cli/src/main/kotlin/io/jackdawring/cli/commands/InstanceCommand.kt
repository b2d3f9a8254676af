package io.jackdawring.cli.commands

import arrow.core.Either
import io.jackdawring.cli.Command
import io.jackdawring.cli.CommandContext
import io.jackdawring.cli.ExitCode
import io.jackdawring.cli.StartException
import io.jackdawring.cli.UsageException
import io.jackdawring.cli.settings.ResolvedSettings
import io.jackdawring.platform.PlatformInstance
import io.jackdawring.server.logging.LogFormat
import io.jackdawring.server.logging.LogOutput
import io.jackdawring.server.logging.configureLogging
import org.kohsuke.args4j.Option
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Runs an entry instance on the platform until SIGTERM, then drains it. */
internal class InstanceCommand :
    Command(
        "instance",
        "run an entry instance on the platform",
        "${PlatformInstance.SETTINGS_VARIABLE}=settings.toml jackdawring instance",
    ) {
    @Option(
        name = "--settings",
        metaVar = "FILE",
        usage = "settings file of the platform; else ${PlatformInstance.SETTINGS_VARIABLE}",
    )
    var settingsFile: String? = null

    override val configuresLogging: Boolean get() = true

    override val needsNoArguments: Boolean get() = true

    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        configureLogging(LogFormat.JSON, output = LogOutput.STANDARD_OUTPUT_BOUNDED)
        val path =
            settingsFile ?: context.environment[PlatformInstance.SETTINGS_VARIABLE]
                ?: throw UsageException(
                    "neither --settings nor ${PlatformInstance.SETTINGS_VARIABLE} names a settings file",
                )
        val text = readSettingsFile(path)
        val instance =
            when (val started = PlatformInstance.start(text)) {
                is Either.Left -> throw StartException("settings file $path: ${started.value}")
                is Either.Right -> started.value
            }
        SettingsFileWatch(Path.of(path), text, instance::reload).start()
        return context.lifecycle.runUntilShutdown {
            instance.drain()
            instance.close()
            ExitCode.OK
        }
    }
}

/** The text of the settings file at [path]; fails with [StartException] if it cannot be read. */
internal fun readSettingsFile(path: String): String =
    try {
        Files.readString(Path.of(path))
    } catch (e: IOException) {
        throw StartException("cannot read settings file $path: ${e.message}")
    }
