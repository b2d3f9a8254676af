package io.jackdawring.cli.commands

import io.jackdawring.cli.Command
import io.jackdawring.cli.CommandContext
import io.jackdawring.cli.ExitCode
import io.jackdawring.cli.UsageException
import io.jackdawring.cli.client.ApiAnswer
import io.jackdawring.cli.client.OperatorClient
import io.jackdawring.cli.settings.ResolvedSettings
import io.jackdawring.cli.settings.SettingTable
import io.jackdawring.server.burn.BurnReport
import io.jackdawring.server.burn.mergeBurnReports
import io.jackdawring.server.burn.parseBurnReport
import io.jackdawring.server.burn.toHtml
import io.jackdawring.server.burn.toJson
import io.jackdawring.server.burn.toText
import io.jackdawring.server.operator.StatusDocument
import kotlinx.serialization.SerializationException
import org.kohsuke.args4j.Option
import java.io.File
import java.io.IOException
import java.util.Locale

/** Prints the status of entry instances, with the peers and targets that they know. */
internal class StatusCommand :
    Command(
        "status",
        "print entry instances, targets and applied configuration versions",
        "jackdawring status --operator 127.0.0.1:7412",
        SettingTable.operatorClient,
    ) {
    @Option(name = "--json", usage = "print the status documents unchanged, one per line")
    var json: Boolean = false

    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        val bodies = context.readOperators(name, settings, "/v1/status")
        if (bodies.isEmpty()) return ExitCode.UNREACHABLE
        if (json) {
            bodies.forEach(context.out::println)
            return ExitCode.OK
        }
        val documents =
            try {
                bodies.map(StatusDocument::parse)
            } catch (_: SerializationException) {
                context.err.println("jackdawring status: the response is not a status document")
                return ExitCode.FAILED
            }
        documents.forEach { print(context, it) }
        return ExitCode.OK
    }

    private fun print(
        context: CommandContext,
        status: StatusDocument,
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
            "${status.self.instanceId} in ${status.self.failureDomain}: $state, " +
                "configuration ${status.configurationVersion}, store $store",
        )
        context.out.println(
            "${status.sessions} sessions, ${status.runningJobs} running jobs, ${status.queuedTasks} queued tasks, " +
                "${status.tasksInFlight} tasks in flight",
        )
        context.out.println("%-20s %-10s %-12s %s".format("entry instance", "domain", "state", "configuration"))
        status.members.forEach {
            val row = arrayOf<Any>(it.instanceId, it.failureDomain, it.state, it.configurationVersion)
            context.out.println("%-20s %-10s %-12s %d".format(*row))
        }
        context.out.println("%-20s %-10s %-12s %9s %s".format("target", "domain", "state", "in flight", "slowness"))
        status.targets.forEach {
            val inFlight = "${it.inFlight}/${it.window}"
            val row = arrayOf<Any>(it.targetId, it.failureDomain, it.state, inFlight, it.slowness)
            context.out.println("%-20s %-10s %-12s %9s %.2f".format(Locale.ROOT, *row))
        }
    }
}

/** Prints the burn report of one entry instance, or the sum over several. */
internal class BurnCommand :
    Command(
        "burn",
        "print how fast the services use up their error budgets",
        "jackdawring burn --operator 127.0.0.1:7412,127.0.0.1:7512 --html burn.html",
        SettingTable.operatorClient,
    ) {
    @Option(name = "--json", usage = "print the report as JSON")
    var json: Boolean = false

    @Option(name = "--html", metaVar = "FILE", usage = "write the report as a page with plots to FILE")
    var html: String? = null

    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        val bodies = context.readOperators(name, settings, "/v1/burn")
        if (bodies.isEmpty()) return ExitCode.UNREACHABLE
        val report =
            try {
                mergeBurnReports(bodies.map(::parseBurnReport))
            } catch (_: SerializationException) {
                context.err.println("jackdawring burn: the response is not a burn report")
                return ExitCode.FAILED
            }
        html?.let { write(report, it) }
        if (json) {
            context.out.println(report.toJson())
        } else if (html == null) {
            context.out.print(report.toText())
        }
        return ExitCode.OK
    }

    private fun write(
        report: BurnReport,
        file: String,
    ) = try {
        File(file).writeText(report.toHtml())
    } catch (e: IOException) {
        throw UsageException("--html: '$file' cannot be written: ${e.message}")
    }
}

/** Reads [path] at all operator listeners; prints an error and returns an empty list if one cannot be read. */
private fun CommandContext.readOperators(
    command: String,
    settings: ResolvedSettings,
    path: String,
): List<String> {
    val operators = OperatorClient(client, settings)
    return operators.addresses.map { address ->
        val problem =
            when (val answer = operators.get(address, path)) {
                is ApiAnswer.Answered ->
                    if (answer.status == STATUS_OK) return@map answer.body else "answered ${answer.status}"
                is ApiAnswer.NotSent -> "cannot be reached: ${answer.detail}"
                is ApiAnswer.NoResponse -> "sent no complete response: ${answer.detail}"
            }
        // A sum that omits one of the instances would look better than the actual result.
        err.println("jackdawring $command: the operator listener $address $problem")
        return emptyList()
    }
}

private const val STATUS_OK = 200
