package io.jackdawring.fleet

import io.jackdawring.server.http.HttpServer
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against callers that are sent to an instance whose listener is closed or that cannot serve them. */
class CallerListenerTest {
    private class Row(
        val name: String,
        val canAccept: Boolean,
        val canServe: Boolean,
        val ageMillis: Long,
        val opens: Boolean,
        val expectedOpen: Boolean,
        val expectedReady: Boolean,
    )

    private val rows =
        listOf(
            Row("jobs can be served, but the listener is closed", true, true, 0, false, false, false),
            Row("jobs can be served", true, true, 0, true, true, true),
            Row("the holder has not answered yet", true, false, 0, true, true, false),
            Row("jobs cannot be served yet", false, false, 2_999, true, false, false),
            Row("jobs cannot be served for long", false, false, 3_000, true, true, false),
        )

    @TestFactory
    fun `the listener opens once jobs can be served, and readiness requires both`(): List<DynamicTest> =
        rows.map { row ->
            dynamicTest(row.name) {
                val loop = FakeControlLoop()
                val listener = CallerListener(loop, { row.canAccept }, { row.canServe }, { FakeHttpServer() })
                loop.clock.advance(row.ageMillis)
                if (row.opens) listener.openIfPossible()
                assertEquals(row.expectedOpen, listener.server != null)
                assertEquals(row.expectedReady, listener.isReady)
            }
        }

    /** Guards against an address in use that interrupts what the instance does, such as the start of a holding. */
    @Test
    fun `a listener whose address is in use opens later`() {
        var isInUse = true
        val open = { if (isInUse) error("cannot listen") else FakeHttpServer() }
        val listener = CallerListener(FakeControlLoop(), { true }, { true }, open)
        listener.openIfPossible()
        assertEquals(false, listener.isReady)
        isInUse = false
        listener.openIfPossible()
        assertEquals(true, listener.isReady)
    }

    private class FakeHttpServer : HttpServer {
        override val address = "127.0.0.1:1"
        override val requestsInProgress = 0

        override fun stopAccepting() = Unit

        override fun closeAfterAnswers() = Unit

        override fun closeIdleConnections() = Unit

        override fun close() = Unit
    }
}
