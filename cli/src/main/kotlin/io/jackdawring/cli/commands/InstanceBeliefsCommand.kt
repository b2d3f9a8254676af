package io.jackdawring.cli.commands

import io.jackdawring.cli.Command
import io.jackdawring.cli.CommandContext
import io.jackdawring.cli.ExitCode
import io.jackdawring.cli.UsageException
import io.jackdawring.cli.settings.ResolvedSettings
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.http.HttpTransport
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.kohsuke.args4j.Option
import java.util.concurrent.CompletableFuture

/** Prints the state of targets, lease holders, queues and configuration as entry instances on the platform see it. */
internal class InstanceBeliefsCommand :
    Command(
        "instance beliefs",
        "print the state known to entry instances on the platform, with ages",
        "jackdawring instance beliefs --address 10.1.0.13:7720",
    ) {
    @Option(name = "--address", metaVar = "IP:PORT,...", usage = "metrics addresses of entry instances")
    var addresses: String? = null

    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        val all = addresses?.split(',') ?: throw UsageException("--address is missing")
        val answers = HttpTransport(threads = 1, name = "beliefs").use { transport -> all.map { read(transport, it) } }
        answers.forEach { answer ->
            answer.onSuccess { context.out.println(PRETTY.encodeToString(JsonElement.serializer(), it)) }
            answer.onFailure { context.err.println("jackdawring instance beliefs: ${it.message}") }
        }
        return if (answers.all { it.isSuccess }) ExitCode.OK else ExitCode.UNREACHABLE
    }

    private fun read(
        transport: HttpTransport,
        address: String,
    ): Result<JsonElement> {
        val result = CompletableFuture<HttpResult>()
        transport.client().send(address, HttpRequestMessage("GET", "/beliefs"), TIMEOUT_MILLIS, result::complete)
        return runCatching {
            when (val answer = result.get()) {
                is HttpResult.Answered -> parse(address, answer.response.status, answer.response.body.decodeToString())
                is HttpResult.NotSent -> error(answer.detail)
                is HttpResult.NoResponse -> error(answer.detail)
            }
        }
    }

    private fun parse(
        address: String,
        status: Int,
        body: String,
    ): JsonElement =
        try {
            check(status == STATUS_OK) { "$address answered with status $status" }
            Json.parseToJsonElement(body)
        } catch (e: SerializationException) {
            error("the answer of $address cannot be read: ${e.message}")
        }

    private companion object {
        const val TIMEOUT_MILLIS = 5_000L
        const val STATUS_OK = 200
        val PRETTY = Json { prettyPrint = true }
    }
}
