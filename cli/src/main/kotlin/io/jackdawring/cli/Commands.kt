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
import io.jackdawring.cli.commands.InstanceCheckConfigCommand
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

/** The subcommands in the order of the help text. */
internal val commandFactories =
    listOf(
        CommandFactory("serve") { ServeCommand() },
        CommandFactory("instance") { InstanceCommand() },
        CommandFactory("instance check") { InstanceCheckCommand() },
        CommandFactory("instance check-config") { InstanceCheckConfigCommand() },
        CommandFactory("instance beliefs") { InstanceBeliefsCommand() },
        CommandFactory("config check") { ConfigCheckCommand() },
        CommandFactory("config publish") { ConfigPublishCommand() },
        CommandFactory("config show") { ConfigShowCommand() },
        CommandFactory("status") { StatusCommand() },
        CommandFactory("burn") { BurnCommand() },
        CommandFactory("submit") { SubmitCommand() },
        CommandFactory("load") { LoadCommand() },
        CommandFactory("standin platform") { StandinPlatformCommand() },
        CommandFactory("standin target") { StandinTargetCommand() },
        CommandFactory("scenarios") { ScenariosCommand() },
        CommandFactory("bench") { BenchCommand() },
        CommandFactory("demo") { DemoCommand() },
        CommandFactory("platform-demo") { PlatformDemoCommand() },
        CommandFactory("settings") { SettingsCommand() },
        CommandFactory("completion bash") { CompletionBashCommand(::allCommands) },
        CommandFactory("version") { VersionCommand() },
        CommandFactory("help") { HelpCommand(::allCommands) },
    )

/** New objects of all subcommands, in the order of the help text. */
internal fun allCommands(): List<Command> = commandFactories.map { it.create() }
