package io.jackdawring.server.caller

import io.jackdawring.core.Outcome
import io.jackdawring.core.Payload
import io.jackdawring.core.RefusalReason
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.problemResponse
import kotlinx.collections.immutable.persistentMapOf

/** The HTTP answer for [outcome]; 429 and 503 always mean that nothing ran. */
internal fun responseOf(outcome: Outcome): HttpResponseMessage =
    when (outcome) {
        is Outcome.Complete -> {
            HttpResponseMessage(200, JSON_HEADERS, encodeResults(outcome.results))
        }

        is Outcome.Failed -> {
            problemResponse(
                status = 502,
                name = outcome.reason.problemName(),
                detail = outcome.detail.ifEmpty { "the job will never complete" },
                outcome = "failed",
                mayHaveRun = outcome.mayHaveRun,
                taskIndex = outcome.taskIndex,
            )
        }

        is Outcome.Refused -> {
            problemResponse(
                status = statusOf(outcome.reason),
                name = outcome.reason.problemName(),
                detail = outcome.detail.ifEmpty { "nothing of the request was run" },
                retryAfterMillis = outcome.retryAfterMillis,
            )
        }

        is Outcome.Unknown -> {
            problemResponse(
                status = 504,
                name = outcome.reason.problemName(),
                detail = "this instance cannot tell whether the submission ran",
                outcome = "unknown",
                mayHaveRun = true,
                retryAfterMillis = outcome.retryAfterMillis,
            )
        }
    }

internal fun Enum<*>.problemName(): String = name.lowercase().replace('_', '-')

private fun statusOf(reason: RefusalReason): Int =
    when (reason) {
        RefusalReason.INVALID -> 400

        RefusalReason.FINGERPRINT_MISMATCH -> 409

        RefusalReason.UNKNOWN_SERVICE, RefusalReason.CAN_NEVER_RUN -> 422

        RefusalReason.QUOTA_EXCEEDED,
        RefusalReason.OVERLOADED,
        RefusalReason.DEADLINE_UNREACHABLE,
        RefusalReason.CLAIM_RATE_LIMITED,
        -> 429

        else -> if (reason.temporary) 503 else 400
    }

/** Results are JSON already, so they are joined without being decoded. */
private fun encodeResults(results: List<Payload>): ByteArray {
    val commas = maxOf(0, results.size - 1)
    val body = ByteArray(RESULTS_START.size + results.sumOf { it.bytes.size } + commas + RESULTS_END.size)
    var position = RESULTS_START.copyTo(body, 0)
    results.forEachIndexed { index, result ->
        if (index > 0) body[position++] = ','.code.toByte()
        position = result.bytes.copyTo(body, position)
    }
    RESULTS_END.copyTo(body, position)
    return body
}

private fun ByteArray.copyTo(
    target: ByteArray,
    position: Int,
): Int {
    copyInto(target, position)
    return position + size
}

private val RESULTS_START = """{"outcome":"complete","results":[""".encodeToByteArray()
private val RESULTS_END = "]}".encodeToByteArray()
private val JSON_HEADERS = persistentMapOf("content-type" to "application/json")
