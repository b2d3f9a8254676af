package io.jackdawring.cli

import io.jackdawring.cli.commands.BenchCommand
import io.jackdawring.cli.commands.BurnCommand
import io.jackdawring.cli.commands.CompletionBashCommand
import io.jackdawring.cli.commands.ConfigCheckCommand
import io.jackdawring.cli.commands.ConfigPublishCommand
import io.jackdawring.cli.commands.ConfigShowCommand
import io.jackdawring.cli.commands.DemoCommand
import io.jackdawring.cli.commands.HelpCommand
import io.jackdawring.cli.commands.InstanceBeliefsCommand
import io.jackdawring.cli.commands.InstanceCheckCommand
import io.jackdawring.cli.commands.InstanceCommand
import io.jackdawring.cli.commands.LoadCommand
import io.jackdawring.cli.commands.PlatformDemoCommand
import io.jackdawring.cli.commands.ScenariosCommand
import io.jackdawring.cli.commands.ServeCommand
import io.jackdawring.cli.commands.SettingsCommand
import io.jackdawring.cli.commands.StandinPlatformCommand
import io.jackdawring.cli.commands.StandinTargetCommand
import io.jackdawring.cli.commands.StatusCommand
import io.jackdawring.cli.commands.SubmitCommand
import io.jackdawring.cli.commands.VersionCommand

/** All subcommands in the order of the help text; new objects each time, because parsing modifies them. */
internal fun allCommands(): List<Command> =
    listOf(
        ServeCommand(),
        InstanceCommand(),
        InstanceCheckCommand(),
        InstanceBeliefsCommand(),
        ConfigCheckCommand(),
        ConfigPublishCommand(),
        ConfigShowCommand(),
        StatusCommand(),
        BurnCommand(),
        SubmitCommand(),
        LoadCommand(),
        StandinPlatformCommand(),
        StandinTargetCommand(),
        ScenariosCommand(),
        BenchCommand(),
        DemoCommand(),
        PlatformDemoCommand(),
        SettingsCommand(),
        CompletionBashCommand(::allCommands),
        VersionCommand(),
        HelpCommand(::allCommands),
    )
