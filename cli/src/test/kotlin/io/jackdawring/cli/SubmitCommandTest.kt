package io.jackdawring.cli

import io.jackdawring.cli.client.ApiAnswer
import io.jackdawring.cli.client.ApiClient
import io.jackdawring.cli.client.ApiRequest
import io.jackdawring.cli.client.SubmissionIds
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.util.UUID
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class SubmitCommandTest {
    private val job =
        """{"caller":"house-12","service":"orders","kind":"k","deadlineMillis":1000,"tasks":[{"payload":1}]}"""

    /** Returns [answers] in order, then repeats the last one. */
    private class FakeEntry(
        private vararg val answers: ApiAnswer,
    ) : ApiClient {
        val requests = mutableListOf<ApiRequest>()

        override fun send(request: ApiRequest): ApiAnswer {
            requests += request
            return answers[minOf(requests.size, answers.size) - 1]
        }
    }

    private class Case(
        val name: String,
        val exitCode: ExitCode,
        vararg val answers: ApiAnswer,
    )

    private fun problem(
        status: Int,
        outcome: String?,
    ): ApiAnswer {
        val field = if (outcome == null) "" else "\"outcome\":\"$outcome\","
        return ApiAnswer.Answered(status, """{$field"title":"t","mayHaveRun":false}""")
    }

    private val complete = ApiAnswer.Answered(200, """{"outcome":"complete","results":[2]}""")
    private val noResponse = ApiAnswer.NoResponse("closed")
    private val notSent = ApiAnswer.NotSent("refused")

    /** Guards against "not run" for a job that may have run, and against success for one that did not complete. */
    @TestFactory
    fun `the exit code tells the outcome`(): List<DynamicTest> =
        listOf(
            Case("complete", ExitCode.OK, complete),
            Case("failed", ExitCode.FAILED, problem(502, "failed")),
            Case("refused", ExitCode.REFUSED, problem(429, "refused")),
            Case("unknown", ExitCode.UNKNOWN, problem(504, "unknown")),
            Case("an answer of an intermediary", ExitCode.UNKNOWN, problem(502, null)),
            Case("no JSON", ExitCode.UNKNOWN, ApiAnswer.Answered(500, "oops")),
            Case("nothing sent", ExitCode.UNREACHABLE, notSent),
            Case("no response, then attached", ExitCode.OK, noResponse, complete),
            Case("no response, then unreachable", ExitCode.UNKNOWN, noResponse, notSent),
            Case("no response until the deadline", ExitCode.UNKNOWN, noResponse),
        ).map { case ->
            dynamicTest(case.name) {
                assertEquals(case.exitCode, runCli("submit", input = job, client = FakeEntry(*case.answers)).exitCode)
            }
        }

    /** Guards against a resubmission under a new id or wrongly declared as the first attempt. */
    @Test
    fun `a resubmission repeats the id and is not declared a first attempt`() {
        val entry = FakeEntry(noResponse, complete)
        runCli("submit", input = job, client = entry)
        assertEquals(
            1,
            entry.requests
                .map { it.headers["Idempotency-Key"] }
                .distinct()
                .size,
        )
        assertEquals(listOf("1", null), entry.requests.map { it.headers["Jackdaw-Attempt"] })
        val given = FakeEntry(complete)
        runCli("submit", "--id", "abc", input = job, client = given)
        assertEquals("abc", given.requests.single().headers["Idempotency-Key"])
        assertFalse("Jackdaw-Attempt" in given.requests.single().headers)
    }

    /** Guards against an unused token, and against a refused session that is reported as a failed job. */
    @Test
    fun `a session is opened first`() {
        val entry = FakeEntry(ApiAnswer.Answered(201, """{"session":"tok","expiresInMillis":1}"""), complete)
        assertEquals(ExitCode.OK, runCli("submit", "--session", input = job, client = entry).exitCode)
        assertEquals("tok", entry.requests[1].headers["Jackdaw-Session"])
        assertFalse("caller" in entry.requests[1].body.orEmpty())
        val refusing = FakeEntry(problem(503, "refused"))
        assertEquals(ExitCode.REFUSED, runCli("submit", "--session", input = job, client = refusing).exitCode)
        assertEquals(
            ExitCode.UNREACHABLE,
            runCli("submit", "--session", input = job, client = FakeEntry(noResponse)).exitCode,
        )
        assertEquals(ExitCode.USAGE, runCli("submit", input = "[1]", client = entry).exitCode)
    }

    /** Guards against ids from which an entry instance cannot derive their age. */
    @Test
    fun `ids are UUIDv7 with the given time`() {
        val id = UUID.fromString(SubmissionIds.uuidV7(1_796_354_006_461))
        assertEquals(7, id.version())
        assertEquals(2, id.variant())
        assertEquals(1_796_354_006_461, id.mostSignificantBits ushr 16)
        assertTrue(SubmissionIds.uuidV7(1) != SubmissionIds.uuidV7(1))
    }
}
