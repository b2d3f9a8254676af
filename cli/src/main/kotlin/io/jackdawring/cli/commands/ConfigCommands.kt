package io.jackdawring.cli.commands

import io.jackdawring.cli.Command
import io.jackdawring.cli.CommandContext
import io.jackdawring.cli.ExitCode
import io.jackdawring.cli.client.OperatorClient
import io.jackdawring.cli.client.PlatformClient
import io.jackdawring.cli.settings.ResolvedSettings
import io.jackdawring.cli.settings.SettingTable
import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.StoreCall
import io.jackdawring.core.configuration.ConfigurationCodec
import io.jackdawring.core.configuration.Confirmation
import io.jackdawring.core.configuration.Publication
import io.jackdawring.core.configuration.PublicationDiff
import io.jackdawring.core.configuration.PublicationResult
import io.jackdawring.core.configuration.PublicationStep
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.util.UUID

/** Checks service files without publishing them. */
internal class ConfigCheckCommand :
    Command(
        "config check",
        "check service files together",
        "jackdawring config check services/",
    ) {
    @Argument(metaVar = "FILE|DIR", multiValued = true, usage = "service files, or directories with *.service.json")
    var paths: MutableList<String> = mutableListOf()

    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        val files = ServiceFiles.read(paths)
        files.errors.forEach { context.err.println(it) }
        if (files.errors.isNotEmpty()) return ExitCode.FAILED
        context.out.println("${files.services.size} service files are valid")
        return ExitCode.OK
    }
}

/** Publishes service files as the complete configuration of their teams and waits for the confirmation. */
internal class ConfigPublishCommand :
    Command(
        "config publish",
        "publish service files atomically and wait until they are in force",
        "jackdawring config publish services/ --platform 127.0.0.1:7400 --operator 127.0.0.1:7412 --wait 4000",
        SettingTable.operatorClient + SettingTable.platform,
    ) {
    @Argument(metaVar = "FILE|DIR", multiValued = true, usage = "service files, or directories with *.service.json")
    var paths: MutableList<String> = mutableListOf()

    @Option(name = "--wait", metaVar = "MS", usage = "time to wait for confirmations in ms (0 to 600000; default 4000)")
    var waitMillis: Int = 4_000

    @Option(name = "--publisher", metaVar = "NAME", usage = "name shown to a publisher that loses the race")
    var publisher: String = System.getProperty("user.name") ?: "unknown"

    @Option(name = "--json", usage = "print the result as JSON")
    var json: Boolean = false

    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        requireRange("--wait", waitMillis, 0..600_000)
        val files = ServiceFiles.read(paths)
        if (files.errors.isNotEmpty()) {
            files.errors.forEach { context.err.println(it) }
            return report(
                context,
                ExitCode.REFUSED,
                "rejected",
                detail = "${files.errors.size} faults in service files",
            )
        }
        val services = files.services.values.toList()
        val teams = services.map { it.team }.toSet()
        val publication = Publication(services, publisher, UUID.randomUUID().toString(), teams)
        val platform = PlatformClient(context.client, settings.text(SettingTable.platform))
        val result = publish(publication, platform, context)
        publication.diff?.let { if (!json) printDiff(context, it) }
        return when (result) {
            is PublicationResult.Committed -> confirm(context, settings, platform, result.version)
            is PublicationResult.Conflict ->
                report(
                    context,
                    ExitCode.CONFLICT,
                    "conflict",
                    result.version,
                    "${result.publisher} published version ${result.version} first; nothing was published",
                )
            is PublicationResult.NotCommitted -> report(context, ExitCode.REFUSED, "rejected", detail = result.reason)
            PublicationResult.Undecided ->
                report(
                    context,
                    ExitCode.UNKNOWN,
                    "unknown",
                    detail = "the reply was lost; run 'config show' to find out",
                )
        }
    }

    private fun publish(
        publication: Publication,
        platform: PlatformClient,
        context: CommandContext,
    ): PublicationResult {
        var step = publication.start()
        while (true) {
            when (val current = step) {
                is PublicationStep.Finished -> return current.result
                is PublicationStep.Call -> {
                    context.clock.sleep(current.delayMillis)
                    step = publication.onAnswered(platform.call(current.call))
                }
            }
        }
    }

    private fun confirm(
        context: CommandContext,
        settings: ResolvedSettings,
        platform: PlatformClient,
        version: Long,
    ): ExitCode {
        val waiter = ConfirmationWaiter(context, platform, OperatorClient(context.client, settings))
        return when (val confirmation = waiter.await(version, waitMillis.toLong())) {
            Confirmation.Accepted ->
                report(
                    context,
                    ExitCode.OK,
                    "accepted",
                    version,
                    "in force on every entry instance",
                )
            is Confirmation.Pending -> {
                val detail =
                    if (confirmation.names.isEmpty()) {
                        "the platform lists no entry instance, or did not answer"
                    } else {
                        "not confirmed by ${confirmation.names.joinToString()}"
                    }
                report(context, ExitCode.PENDING, "pending", version, detail, confirmation.names)
            }
        }
    }

    private fun printDiff(
        context: CommandContext,
        diff: PublicationDiff,
    ) {
        diff.added.forEach { context.out.println("+ $it") }
        diff.changed.forEach { context.out.println("~ $it") }
        diff.removed.forEach { context.out.println("- $it") }
        if (diff.added.isEmpty() &&
            diff.changed.isEmpty() &&
            diff.removed.isEmpty()
        ) {
            context.out.println("no difference")
        }
    }

    private fun report(
        context: CommandContext,
        exitCode: ExitCode,
        result: String,
        version: Long? = null,
        detail: String,
        pending: List<String> = emptyList(),
    ): ExitCode {
        if (json) {
            val document =
                buildJsonObject {
                    put("result", result)
                    put("version", version)
                    put("detail", detail)
                    putJsonArray("pending") { pending.forEach { add(JsonPrimitive(it)) } }
                }
            context.out.println(document)
        } else {
            val suffix = if (version == null) "" else " (version $version)"
            context.out.println("$result$suffix: $detail")
        }
        return exitCode
    }
}

/** Prints the configuration in the store. */
internal class ConfigShowCommand :
    Command(
        "config show",
        "print the published configuration",
        "jackdawring config show --platform 127.0.0.1:7400",
        listOf(SettingTable.platform),
    ) {
    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        val platform = PlatformClient(context.client, settings.text(SettingTable.platform))
        val answer = platform.call(StoreCall.Get(ConfigurationCodec.HEAD_KEY))
        if (answer !is StoreAnswer.Found) {
            context.err.println("jackdawring config show: the store does not respond")
            return ExitCode.UNREACHABLE
        }
        val text = answer.value
        if (text == null) {
            context.out.println("nothing has been published")
            return ExitCode.OK
        }
        val head = ConfigurationCodec.decodeHead(text)
        if (head == null) {
            context.err.println("jackdawring config show: the head in the store is malformed")
            return ExitCode.FAILED
        }
        context.out.println("version ${head.version} by ${head.publisher}, publish id ${head.publishId}")
        head.documents.toSortedMap().forEach { (team, hash) ->
            val document = platform.call(StoreCall.Get(ConfigurationCodec.documentKey(hash))) as? StoreAnswer.Found
            context.out.println("$team ${document?.value ?: "document $hash is missing"}")
        }
        return ExitCode.OK
    }
}
