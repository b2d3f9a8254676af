package io.jackdawring.server.dispatch

import io.jackdawring.core.Effect
import io.jackdawring.core.Event
import io.jackdawring.core.NotStartedReason
import io.jackdawring.core.Payload
import io.jackdawring.core.TargetAnswer
import io.jackdawring.core.TargetUsage
import io.jackdawring.server.http.HttpCall
import io.jackdawring.server.http.HttpClient
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.json.isJsonValue
import io.jackdawring.server.metrics.ServerMetrics
import kotlinx.collections.immutable.persistentHashMapOf
import java.net.URLEncoder

/** Sends tasks to targets and turns every result into exactly one [Event.TaskAnswered]. */
internal class TargetClient(
    private val client: HttpClient,
    private val metrics: ServerMetrics,
    private val onEvent: (Event) -> Unit,
) {
    fun start(effect: Effect.StartTask): HttpCall {
        val request =
            HttpRequestMessage(
                method = "POST",
                path = "/tasks",
                headers =
                    persistentHashMapOf(
                        "content-type" to "application/json",
                        "jackdaw-task" to taskHeader(effect),
                        "jackdaw-kind" to effect.kind,
                        "jackdaw-deadline-millis" to effect.remainingMillis.toString(),
                    ),
                body = effect.payload.bytes,
            )
        val timeoutMillis = maxOf(1, effect.remainingMillis) + TIMEOUT_MARGIN_MILLIS
        return client.send(effect.targetAddress, request, timeoutMillis) { result ->
            val answer = targetAnswer(result)
            metrics.taskAnswered(answer)
            onEvent(Event.TaskAnswered(effect.attemptId, answer))
        }
    }

    private fun taskHeader(effect: Effect.StartTask): String {
        val task = effect.task
        val scope = if (task.scope.all(::isPlain)) task.scope else URLEncoder.encode(task.scope, Charsets.UTF_8)
        return "$scope/${task.submissionId.value}/${task.taskIndex}"
    }

    private fun isPlain(char: Char) =
        char in 'a'..'z' || char in 'A'..'Z' || char in '0'..'9' || char == '-' || char == '_' || char == '.'

    private companion object {
        /** The decision logic cancels at the deadline; this timeout only covers a lost cancellation. */
        const val TIMEOUT_MARGIN_MILLIS = 1_000L
    }
}

/** Maps the result of a start request to the answer of the target. */
internal fun targetAnswer(result: HttpResult): TargetAnswer =
    when (result) {
        is HttpResult.NotSent -> TargetAnswer.NotStarted(NotStartedReason.UNREACHABLE)
        is HttpResult.NoResponse -> TargetAnswer.Lost(result.detail)
        is HttpResult.Answered -> targetAnswer(result.response)
    }

private fun targetAnswer(response: HttpResponseMessage): TargetAnswer {
    val usage = usageOf(response)
    val notStarted = if (response.status == STATUS_UNAVAILABLE) response.header(NOT_STARTED_HEADER) else null
    return when {
        notStarted == "leaving" -> TargetAnswer.NotStarted(NotStartedReason.LEAVING, usage)
        notStarted != null -> TargetAnswer.NotStarted(NotStartedReason.BUSY, usage)
        response.status !in SUCCESS_STATUSES -> TargetAnswer.TaskFailed("the target answered ${response.status}", usage)
        response.body.isEmpty() -> TargetAnswer.Succeeded(EMPTY_RESULT, usage)
        isJsonValue(response.body) -> TargetAnswer.Succeeded(Payload(response.body), usage)
        else -> TargetAnswer.TaskFailed("the target answered ${response.status} with a body that is not JSON", usage)
    }
}

private fun usageOf(response: HttpResponseMessage): TargetUsage? {
    val slotsInUse = response.header("jackdaw-slots-in-use")?.toIntOrNull()?.takeIf { it >= 0 }
    val leaving = response.header("jackdaw-leaving").equals("true", ignoreCase = true)
    return if (slotsInUse == null && !leaving) null else TargetUsage(slotsInUse, leaving)
}

private const val STATUS_UNAVAILABLE = 503
private const val NOT_STARTED_HEADER = "jackdaw-not-started"
private val SUCCESS_STATUSES = 200..299

/** An answer without a body counts as JSON null, so that the results of a job stay valid JSON. */
private val EMPTY_RESULT = Payload.of("null")
