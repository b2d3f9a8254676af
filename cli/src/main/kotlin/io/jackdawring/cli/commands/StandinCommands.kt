package io.jackdawring.cli.commands

import io.jackdawring.cli.Command
import io.jackdawring.cli.CommandContext
import io.jackdawring.cli.ExitCode
import io.jackdawring.cli.TargetStandinOptions
import io.jackdawring.cli.UsageException
import io.jackdawring.cli.settings.ResolvedSettings
import io.jackdawring.cli.settings.SettingTable
import io.jackdawring.cli.settings.SettingType
import org.kohsuke.args4j.Option

/** Runs the stand-in platform: store, instance list and fault switches. */
internal class StandinPlatformCommand :
    Command(
        "standin platform",
        "run the stand-in platform for tests and trials",
        "jackdawring standin platform --listen 127.0.0.1:7400",
    ) {
    @Option(name = "--listen", metaVar = "IP:PORT", usage = "listener (default 127.0.0.1:7400)")
    var listen: String = "127.0.0.1:7400"

    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        requireAddress("--listen", listen)
        val server = context.components.startPlatform(listen)
        context.out.println("platform ${server.address}")
        return context.lifecycle.runUntilShutdown {
            server.close()
            ExitCode.OK
        }
    }
}

/** Runs a stand-in target that registers with the platform. */
internal class StandinTargetCommand :
    Command(
        "standin target",
        "run a stand-in target for tests and trials",
        "jackdawring standin target --id t1 --failure-domain a --service orders --platform 127.0.0.1:7400",
        listOf(SettingTable.platform, SettingTable.failureDomain),
    ) {
    @Option(name = "--id", metaVar = "NAME", required = true, usage = "id of the target")
    var id: String = ""

    @Option(name = "--listen", metaVar = "IP:PORT", usage = "task listener (default 127.0.0.1:0, a free port)")
    var listen: String = "127.0.0.1:0"

    @Option(name = "--slots", metaVar = "N", usage = "tasks run at a time (1 to 1024; default 8)")
    var slots: Int = 8

    @Option(name = "--connections", metaVar = "N", usage = "connections of all entry instances (1 to 1024; default 60)")
    var connections: Int = 60

    @Option(name = "--service", metaVar = "NAME", required = true, usage = "service that it runs; may be repeated")
    var services: MutableList<String> = mutableListOf()

    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        requireAddress("--listen", listen)
        requireRange("--slots", slots, CAPACITY_RANGE)
        requireRange("--connections", connections, CAPACITY_RANGE)
        val options =
            TargetStandinOptions(
                id = id,
                failureDomain = settings.text(SettingTable.failureDomain),
                listen = listen,
                platform = settings.text(SettingTable.platform),
                slots = slots,
                connections = connections,
                services = services.toList(),
            )
        val server = context.components.startTarget(options)
        context.out.println("target ${server.address}")
        return context.lifecycle.runUntilShutdown {
            server.close()
            ExitCode.OK
        }
    }
}

private val CAPACITY_RANGE = 1..1_024

/** Fails with the flag and the allowed range if [value] is outside [range]. */
internal fun requireRange(
    flag: String,
    value: Int,
    range: IntRange,
) {
    if (value !in range) {
        throw UsageException("$flag: '$value' is not allowed; allowed is ${range.first} to ${range.last}")
    }
}

/** Fails with the flag and the allowed form if [value] is not a listener address. */
internal fun requireAddress(
    flag: String,
    value: String,
    minPort: Int = 0,
) {
    val type = SettingType.Address(minPort)
    if (!type.accepts(value)) throw UsageException("$flag: '$value' is not allowed; allowed is ${type.range}")
}
