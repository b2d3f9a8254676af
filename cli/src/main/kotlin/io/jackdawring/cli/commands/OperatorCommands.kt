package io.jackdawring.cli.commands

import io.jackdawring.cli.Command
import io.jackdawring.cli.CommandContext
import io.jackdawring.cli.ExitCode
import io.jackdawring.cli.client.ApiAnswer
import io.jackdawring.cli.client.ApiRequest
import io.jackdawring.cli.settings.ResolvedSettings
import io.jackdawring.cli.settings.SettingTable
import kotlinx.serialization.SerializationException
import org.kohsuke.args4j.Option
import java.util.Locale

/** Prints what one entry instance knows about itself, its peers and the targets. */
internal class StatusCommand :
    Command(
        "status",
        "print entry instances, targets and applied configuration versions",
        "jackdawring status --operator 127.0.0.1:7412",
        listOf(SettingTable.operator),
    ) {
    @Option(name = "--json", usage = "print the status page as it is")
    var json: Boolean = false

    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        val body = context.readOperator(name, settings, "/v1/status") ?: return ExitCode.UNREACHABLE
        if (json) {
            context.out.println(body)
            return ExitCode.OK
        }
        val status =
            try {
                Status.parse(body)
            } catch (_: SerializationException) {
                context.err.println("jackdawring status: the answer is no status page")
                return ExitCode.FAILED
            }
        print(context, status)
        return ExitCode.OK
    }

    private fun print(
        context: CommandContext,
        status: Status,
    ) {
        val state =
            if (status.draining) {
                "draining"
            } else if (status.ready) {
                "ready"
            } else {
                "not ready"
            }
        val store = if (status.storeReachable) "reachable" else "unreachable"
        context.out.println(
            "${status.self.instanceId.value} in ${status.self.failureDomain.value}: $state, " +
                "configuration ${status.configurationVersion}, store $store",
        )
        context.out.println(
            "${status.sessions} sessions, ${status.runningJobs} running jobs, ${status.queuedTasks} queued tasks, " +
                "${status.tasksInFlight} tasks in flight",
        )
        context.out.println("%-20s %-10s %-12s %s".format("entry instance", "domain", "state", "configuration"))
        status.members.forEach {
            val owner = it.owner
            val row = arrayOf<Any>(owner.instanceId.value, owner.failureDomain.value, it.state, it.configurationVersion)
            context.out.println("%-20s %-10s %-12s %d".format(*row))
        }
        context.out.println("%-20s %-10s %-12s %9s %s".format("target", "domain", "state", "in flight", "slowness"))
        status.targets.forEach {
            val inFlight = "${it.inFlight}/${it.window}"
            val row = arrayOf<Any>(it.targetId.value, it.failureDomain.value, it.state, inFlight, it.slowness)
            context.out.println("%-20s %-10s %-12s %9s %.2f".format(Locale.ROOT, *row))
        }
    }
}

/** Prints the burn report of one entry instance. */
internal class BurnCommand :
    Command(
        "burn",
        "print how fast the services use up their error budgets",
        "jackdawring burn --operator 127.0.0.1:7412",
        listOf(SettingTable.operator),
    ) {
    @Option(name = "--json", usage = "print the report as it is")
    var json: Boolean = false

    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        val body = context.readOperator(name, settings, "/v1/burn") ?: return ExitCode.UNREACHABLE
        if (json) {
            context.out.println(body)
            return ExitCode.OK
        }
        val rows =
            try {
                BurnRow.parse(body)
            } catch (_: SerializationException) {
                context.err.println("jackdawring burn: the answer is no burn report")
                return ExitCode.FAILED
            }
        print(context, rows)
        return ExitCode.OK
    }

    private fun print(
        context: CommandContext,
        rows: List<BurnRow>,
    ) {
        if (rows.isEmpty()) context.out.println("no kind has an objective")
        rows.forEach { row ->
            context.out.println("${row.service}/${row.kind}: ${row.percent} % within ${row.latencyMillis} ms")
            row.windows.forEach {
                val rate = it.burnRate?.let { rate -> "%.2f".format(Locale.ROOT, rate) } ?: "-"
                val line = arrayOf<Any>(it.minutes, rate, it.good, it.total)
                context.out.println("  last %3d min: burn rate %8s, %d of %d met".format(Locale.ROOT, *line))
            }
        }
    }
}

/** Body of [path] at the operator listener, or null after a message that it could not be read. */
private fun CommandContext.readOperator(
    command: String,
    settings: ResolvedSettings,
    path: String,
): String? {
    val address = settings.text(SettingTable.operator)
    val problem =
        when (val answer = client.send(ApiRequest("GET", address, path))) {
            is ApiAnswer.Answered -> if (answer.status == STATUS_OK) return answer.body else "answered ${answer.status}"
            is ApiAnswer.NotSent, is ApiAnswer.Broken -> "cannot be reached"
        }
    err.println("jackdawring $command: the operator listener $address $problem")
    return null
}

private const val STATUS_OK = 200
