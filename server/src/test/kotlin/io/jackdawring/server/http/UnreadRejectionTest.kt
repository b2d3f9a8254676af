package io.jackdawring.server.http

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class UnreadRejectionTest {
    private data class Case(
        val status: Int,
        val retryAfterSeconds: Int?,
        val expectedStatus: Int,
        val outcome: String,
    )

    /** Guards against reporting "not run" for a request that was not read and whose earlier attempt may have run. */
    @Test
    fun `a request that was not read under overload has an unknown outcome`() {
        val cases =
            listOf(
                Case(503, 1, 504, "\"outcome\":\"unknown\",\"mayHaveRun\":true"),
                Case(400, null, 400, "\"outcome\":\"refused\",\"mayHaveRun\":false"),
                Case(413, null, 413, "\"outcome\":\"refused\",\"mayHaveRun\":false"),
            )
        for (case in cases) {
            val answer = unreadRejection(case.status, "detail", case.retryAfterSeconds)
            assertEquals(case.expectedStatus, answer.status, "$case")
            assertEquals(case.retryAfterSeconds?.toString(), answer.header("Retry-After"), "$case")
            assertTrue(case.outcome in answer.body.decodeToString(), "$case")
        }
    }
}
