package io.jackdawring.cli.commands

import io.jackdawring.cli.Command
import io.jackdawring.cli.CommandContext
import io.jackdawring.cli.ExitCode
import io.jackdawring.cli.UsageException
import io.jackdawring.cli.settings.ResolvedSettings
import io.jackdawring.cli.settings.targetPolicies
import io.jackdawring.load.Deployment
import io.jackdawring.load.scenarioOptions
import org.kohsuke.args4j.Option

/** Compares target policies under load and faults. */
internal class ScenariosCommand :
    Command(
        "scenarios",
        "compare target policies under load and faults on a fleet in this process",
        "jackdawring scenarios --deployments caroni --policies adaptive-window,static-share --duration-millis 5000",
    ) {
    @Option(name = "--deployments", metaVar = "NAMES", usage = "stillwater, caroni (default both)")
    var deployments: String? = null

    @Option(name = "--policies", metaVar = "NAMES", usage = "names of --target-policy of serve (default all)")
    var policies: String? = null

    @Option(
        name = "--duration-millis",
        metaVar = "N",
        usage = "time per row in milliseconds (1000 to 60000; default 10000)",
    )
    var durationMillis: Int = 10_000

    @Option(name = "--seed", metaVar = "N", usage = "seed of the load (default 1)")
    var seed: Int = 1

    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        requireRange("--duration-millis", durationMillis, 1_000..60_000)
        val byName = Deployment.entries.associateBy { it.name.lowercase() }
        val command = this
        val options =
            scenarioOptions {
                command.deployments?.let { deployments = select("--deployments", it, byName) }
                command.policies?.let { policies = select("--policies", it, targetPolicies) }
                durationMillis = command.durationMillis.toLong()
                seed = command.seed.toLong()
            }
        return if (context.components.runScenarios(options, context.out) == 0) ExitCode.OK else ExitCode.FAILED
    }

    private fun <T> select(
        flag: String,
        names: String,
        allowed: Map<String, T>,
    ): List<T> =
        names.split(',').map { name ->
            allowed[name]
                ?: throw UsageException("$flag: '$name' is not allowed; allowed are ${allowed.keys.joinToString()}")
        }
}
