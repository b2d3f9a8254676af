package io.jackdawring.cli.commands

import io.jackdawring.cli.Command
import io.jackdawring.cli.CommandContext
import io.jackdawring.cli.ExitCode
import io.jackdawring.cli.UsageException
import io.jackdawring.cli.client.ApiAnswer
import io.jackdawring.cli.client.ApiRequest
import io.jackdawring.cli.client.SubmissionIds
import io.jackdawring.cli.settings.ResolvedSettings
import io.jackdawring.cli.settings.SettingTable
import io.jackdawring.core.Submission
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull
import kotlinx.serialization.json.put
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.io.File

/** Submits a job and prints its answer. */
internal class SubmitCommand :
    Command(
        "submit",
        "submit a job from a file or standard input and print its answer",
        "jackdawring submit job.json --entry 127.0.0.1:7410 --session",
        listOf(SettingTable.entry, SettingTable.tlsTrusted),
    ) {
    @Argument(metaVar = "FILE", usage = "body of POST /v1/jobs as JSON; - or nothing for standard input")
    var file: String = "-"

    @Option(name = "--session", usage = "open a session first; the job then needs no store call")
    var withSession: Boolean = false

    @Option(name = "--id", metaVar = "ID", usage = "submission id to resubmit; without --session a UUIDv7")
    var id: String? = null

    @Option(name = "--json", usage = "print the body of the answer as it is")
    var json: Boolean = false

    override fun run(
        context: CommandContext,
        settings: ResolvedSettings,
    ): ExitCode {
        id?.let {
            if (!ID.matches(it)) throw UsageException("--id: '$it' is not allowed; allowed is ${ID.pattern}")
        }
        val job = readJob(context)
        trusted = settings.textOrNull(SettingTable.tlsTrusted)?.let(::File)
        val address = settings.text(SettingTable.entry)
        val headers = LinkedHashMap<String, String>()
        if (withSession) {
            when (val result = openSession(context, address, job)) {
                is SessionResult.Token -> headers["Jackdaw-Session"] = result.value
                is SessionResult.Failed -> return result.exitCode
            }
        }
        headers["Idempotency-Key"] = id ?: SubmissionIds.uuidV7(System.currentTimeMillis())
        // A submission with a given id may be a repetition, so it is not declared a first attempt.
        if (id == null) headers["Jackdaw-Attempt"] = "1"
        context.err.println("submission ${headers["Idempotency-Key"]}")
        return submit(context, address, job, headers)
    }

    private var trusted: File? = null

    private fun readJob(context: CommandContext): JsonObject {
        val text =
            if (file == "-") {
                context.input.readBytes().decodeToString()
            } else {
                File(file).takeIf { it.isFile && it.canRead() }?.readText()
                    ?: throw UsageException("'$file' is not a readable file")
            }
        return parseObject(text) ?: throw UsageException("the job is not a JSON object")
    }

    private sealed interface SessionResult {
        class Token(
            val value: String,
        ) : SessionResult

        class Failed(
            val exitCode: ExitCode,
        ) : SessionResult
    }

    private fun openSession(
        context: CommandContext,
        address: String,
        job: JsonObject,
    ): SessionResult {
        val caller = job.text("caller") ?: throw UsageException("the job has no field \"caller\"")
        val body = buildJsonObject { put("caller", caller) }.toString()
        val answer = context.client.send(ApiRequest("POST", address, "/v1/sessions", body, trusted = trusted))
        val token =
            (answer as? ApiAnswer.Answered)
                ?.takeIf { it.status == CREATED }
                ?.let { parseObject(it.body)?.text("session") }
        if (token != null) return SessionResult.Token(token)
        // Opening a session starts nothing, so a failure here never leaves the outcome unknown.
        if (answer is ApiAnswer.Answered) return SessionResult.Failed(report(context, answer))
        context.err.println("jackdawring submit: $address does not respond; nothing was run")
        return SessionResult.Failed(ExitCode.UNREACHABLE)
    }

    /** Sends the job and resubmits it after a lost connection; a job with the same id never starts twice. */
    private fun submit(
        context: CommandContext,
        address: String,
        job: JsonObject,
        headers: Map<String, String>,
    ): ExitCode {
        val deadlineMillis =
            (job["deadlineMillis"] as? JsonPrimitive)?.longOrNull ?: Submission.DEFAULT_DEADLINE_MILLIS
        val endMillis = context.clock.nowMillis() + deadlineMillis + ANSWER_MARGIN_MILLIS
        val body = JsonObject(if (withSession) job - "caller" else job).toString()
        var sent = false
        SubmitProgress.start(context.terminal, deadlineMillis).use {
            while (true) {
                val remainingMillis = endMillis - context.clock.nowMillis()
                if (remainingMillis <= 0) return reportUnknown(context, address)
                val attempt = if (sent) headers - "Jackdaw-Attempt" else headers
                val request = ApiRequest("POST", address, "/v1/jobs", body, attempt, remainingMillis, trusted)
                when (val answer = context.client.send(request)) {
                    is ApiAnswer.Answered -> return report(context, answer)
                    is ApiAnswer.NotSent -> {
                        if (sent) return reportUnknown(context, address)
                        context.err.println("jackdawring submit: $address cannot be reached; nothing was run")
                        return ExitCode.UNREACHABLE
                    }
                    is ApiAnswer.NoResponse -> {
                        sent = true
                        context.clock.sleep(RESUBMIT_AFTER_MILLIS)
                    }
                }
            }
        }
    }

    private fun reportUnknown(
        context: CommandContext,
        address: String,
    ): ExitCode {
        context.err.println("jackdawring submit: $address sent no response; the job may have run")
        return ExitCode.UNKNOWN
    }

    private fun report(
        context: CommandContext,
        answer: ApiAnswer.Answered,
    ): ExitCode {
        val document = parseObject(answer.body)
        val outcome = document?.text("outcome")
        val exitCode = exitCode(answer.status, outcome)
        if (json || document == null || exitCode == ExitCode.OK) {
            context.out.println(answer.body)
        } else {
            val title = document.text("title") ?: "status ${answer.status}"
            context.out.println("${exitCode.name.lowercase()}: $title")
            DETAILS.forEach { key ->
                document.text(key)?.let { context.out.println("$key: $it") }
            }
        }
        return exitCode
    }

    private fun exitCode(
        status: Int,
        outcome: String?,
    ): ExitCode =
        when {
            status == STATUS_OK -> ExitCode.OK
            outcome == "failed" -> ExitCode.FAILED
            outcome == "refused" -> ExitCode.REFUSED
            else -> ExitCode.UNKNOWN
        }

    private fun JsonObject.text(key: String): String? = (get(key) as? JsonPrimitive)?.contentOrNull

    private fun parseObject(text: String): JsonObject? =
        try {
            Json.parseToJsonElement(text) as? JsonObject
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        val ID = Regex("[A-Za-z0-9_-]{1,64}")
        const val STATUS_OK = 200
        const val CREATED = 201

        /** A job is answered at its deadline at the latest; the margin covers forwarding to a second entry instance. */
        const val ANSWER_MARGIN_MILLIS = 3_000L
        const val RESUBMIT_AFTER_MILLIS = 200L
        val DETAILS = listOf("detail", "mayHaveRun", "retryAfterMillis", "taskIndex")
    }
}
