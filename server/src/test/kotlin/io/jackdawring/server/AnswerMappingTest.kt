package io.jackdawring.server

import io.jackdawring.core.FailureReason
import io.jackdawring.core.NotStartedReason
import io.jackdawring.core.Outcome
import io.jackdawring.core.Payload
import io.jackdawring.core.RefusalReason
import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.StoreCall
import io.jackdawring.core.TargetAnswer
import io.jackdawring.core.TargetUsage
import io.jackdawring.core.UnknownReason
import io.jackdawring.server.caller.responseOf
import io.jackdawring.server.dispatch.targetAnswer
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.platform.storeAnswer
import kotlinx.collections.immutable.toImmutableMap
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards the mapping between HTTP and the decision logic: "not started" must never be reported for a started task. */
class AnswerMappingTest {
    private fun answered(
        status: Int,
        body: String = "",
        vararg headers: Pair<String, String>,
    ) = HttpResult.Answered(HttpResponseMessage(status, headers.toMap().toImmutableMap(), body.encodeToByteArray()))

    @Test
    fun `results of target requests map to target answers`() {
        val cases =
            listOf(
                HttpResult.NotSent("") to TargetAnswer.NotStarted(NotStartedReason.UNREACHABLE),
                HttpResult.NoResponse("reset") to TargetAnswer.Lost("reset"),
                answered(200, "{}") to TargetAnswer.Succeeded(Payload.of("{}")),
                answered(204) to TargetAnswer.Succeeded(Payload.of("null")),
                answered(200, "{") to TargetAnswer.TaskFailed("the target answered 200 with a body that is not JSON"),
                answered(200, "1 2") to TargetAnswer.TaskFailed("the target answered 200 with a body that is not JSON"),
                answered(500) to TargetAnswer.TaskFailed("the target answered 500"),
                answered(503) to TargetAnswer.TaskFailed("the target answered 503"),
                answered(
                    429,
                    "",
                    "jackdaw-not-started" to "busy",
                ) to TargetAnswer.TaskFailed("the target answered 429"),
                answered(503, "", "jackdaw-not-started" to "busy") to TargetAnswer.NotStarted(NotStartedReason.BUSY),
                answered(503, "", "jackdaw-not-started" to "leaving", "jackdaw-leaving" to "true") to
                    TargetAnswer.NotStarted(NotStartedReason.LEAVING, TargetUsage(null, true)),
                answered(200, "1", "jackdaw-slots-in-use" to "5") to
                    TargetAnswer.Succeeded(Payload.of("1"), TargetUsage(5, false)),
                answered(200, "1", "jackdaw-slots-in-use" to "-5") to TargetAnswer.Succeeded(Payload.of("1")),
            )
        for ((result, expected) in cases) assertEquals(expected, targetAnswer(result), "$expected")
    }

    @Test
    fun `results of store requests map to store answers`() {
        val read = StoreCall.Get("k")
        val write = StoreCall.CompareAndSwap("k", "v", 0, null)
        val mayHaveApplied = StoreAnswer.Unavailable(mayHaveApplied = true)
        val notApplied = StoreAnswer.Unavailable(mayHaveApplied = false)
        val cases =
            listOf(
                Triple(read, answered(200, """{"value":"v","revision":7}"""), StoreAnswer.Found("v", 7)),
                Triple(read, answered(404, """{"revision":7}"""), StoreAnswer.Found(null, 7)),
                Triple(read, answered(503), notApplied),
                Triple(read, answered(200, "garbage"), notApplied),
                Triple(read, HttpResult.NoResponse(""), notApplied),
                Triple(write, answered(200, """{"revision":8}"""), StoreAnswer.Written(8)),
                Triple(write, answered(412, """{"value":"w","revision":8}"""), StoreAnswer.Conflict("w", 8)),
                Triple(write, answered(412, """{"value":null,"revision":0}"""), StoreAnswer.Conflict(null, 0)),
                Triple(write, answered(200, "garbage"), mayHaveApplied),
                Triple(write, answered(503), mayHaveApplied),
                Triple(write, answered(400), notApplied),
                Triple(write, HttpResult.NoResponse(""), mayHaveApplied),
                Triple(write, HttpResult.NotSent(""), notApplied),
            )
        for ((call, result, expected) in cases) assertEquals(expected, storeAnswer(call, result), "$call $expected")
    }

    @Test
    fun `outcomes map to a status and a Retry-After header`() {
        val cases =
            listOf(
                Outcome.Complete(emptyList()) to "200 null",
                Outcome.Failed(FailureReason.TARGET_LOST, 3, mayHaveRun = true) to "502 null",
                Outcome.Unknown(UnknownReason.OWNER_UNREACHABLE, 1) to "504 1",
                Outcome.Refused(RefusalReason.INVALID, null) to "400 null",
                Outcome.Refused(RefusalReason.FINGERPRINT_MISMATCH, null) to "409 null",
                Outcome.Refused(RefusalReason.CAN_NEVER_RUN, null) to "422 null",
                Outcome.Refused(RefusalReason.UNKNOWN_SERVICE, null) to "422 null",
                Outcome.Refused(RefusalReason.QUOTA_EXCEEDED, 1_001) to "429 2",
                Outcome.Refused(RefusalReason.OVERLOADED, 200) to "429 1",
                Outcome.Refused(RefusalReason.DRAINING, 0) to "503 0",
                Outcome.Refused(RefusalReason.NO_TARGETS, 1_000) to "503 1",
                Outcome.Refused(RefusalReason.STORE_UNAVAILABLE, 1_000) to "503 1",
            )
        for ((outcome, expected) in cases) {
            val response = responseOf(outcome)
            assertEquals(expected, "${response.status} ${response.header("retry-after")}", "$outcome")
        }
        val failed = responseOf(cases[1].first).body.decodeToString()
        assertEquals(
            """{"type":"urn:jackdawring:problem:target-lost","title":"target lost","status":502,""" +
                """"detail":"the job will never complete","outcome":"failed","mayHaveRun":true,"taskIndex":3}""",
            failed,
        )
    }
}
