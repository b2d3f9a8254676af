package io.jackdawring.cli.commands

import io.jackdawring.cli.Command
import io.jackdawring.cli.CommandContext
import io.jackdawring.cli.ExitCode
import io.jackdawring.cli.UsageException
import io.jackdawring.cli.settings.ResolvedSettings
import io.jackdawring.platform.ConfigurationReport
import io.jackdawring.platform.PlatformConfigurationCheck
import io.jackdawring.platform.ReportedDifference
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.io.IOException
import java.nio.file.Files
import java.nio.file.InvalidPathException
import java.nio.file.Path

/** Checks a configuration of the platform before an operator sends it. */
internal class InstanceCheckConfigCommand :
    Command(
        "instance check-config",
        "check a configuration of the platform before it is sent",
        "jackdawring instance check-config new.json --against current.json",
    ) {
    @Argument(metaVar = "FILE", usage = "configuration, as it is to be written to the store")
    var file: String? = null

    @Option(name = "--against", metaVar = "FILE", usage = "configuration in force, to compare with")
    var against: String? = null

    @Option(name = "--json", usage = "print the report as JSON")
    var json: Boolean = false

    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        val path = file ?: throw UsageException("a file is required")
        val report = PlatformConfigurationCheck.check(read(path), against?.let(::read))
        if (json) context.out.println(toJson(report)) else print(context, report)
        return if (report.hasErrors) ExitCode.FAILED else ExitCode.OK
    }

    private fun read(path: String): ByteArray =
        try {
            Files.readAllBytes(Path.of(path))
        } catch (e: IOException) {
            throw UsageException("cannot read '$path': $e")
        } catch (e: InvalidPathException) {
            throw UsageException("cannot read '$path': $e")
        }

    private fun print(
        context: CommandContext,
        report: ConfigurationReport,
    ) {
        report.findings.forEach { context.out.println("${it.severity.name.lowercase()}: ${it.message}") }
        report.differences?.forEach { context.out.println(describe(it)) }
        if (report.differences?.isEmpty() == true) context.out.println("no difference")
        if (!report.hasErrors) context.out.println("version ${report.version} has no errors")
    }

    private fun describe(difference: ReportedDifference): String {
        val fields = difference.fields.map { "${it.name} ${it.before} -> ${it.after}" }
        val suffix = if (fields.isEmpty()) "" else fields.joinToString(prefix = ": ")
        return "${difference.change} route ${difference.route}$suffix"
    }

    private fun toJson(report: ConfigurationReport) =
        buildJsonObject {
            put("version", report.version)
            putJsonArray("findings") {
                report.findings.forEach {
                    addJsonObject {
                        put("severity", it.severity.name.lowercase())
                        put("message", it.message)
                    }
                }
            }
            report.differences?.let { differences ->
                putJsonArray("differences") { differences.forEach { add(toJson(it)) } }
            }
        }

    private fun toJson(difference: ReportedDifference) =
        buildJsonObject {
            put("change", difference.change)
            put("route", difference.route)
            putJsonArray("fields") {
                difference.fields.forEach {
                    addJsonObject {
                        put("name", it.name)
                        put("before", toJson(it.before))
                        put("after", toJson(it.after))
                    }
                }
            }
        }

    private fun toJson(value: Any): JsonElement =
        if (value is Number) JsonPrimitive(value) else JsonPrimitive(value.toString())
}
