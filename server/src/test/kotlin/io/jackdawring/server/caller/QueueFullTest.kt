package io.jackdawring.server.caller

import io.jackdawring.core.CallerId
import io.jackdawring.core.Effect
import io.jackdawring.core.Event
import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.Owner
import io.jackdawring.core.SessionClaims
import io.jackdawring.core.SessionId
import io.jackdawring.core.entryOptions
import io.jackdawring.server.FakeEntryInstance
import io.jackdawring.server.SessionKey
import io.jackdawring.server.control.ControlEffects
import io.jackdawring.server.control.ControlThread
import io.jackdawring.server.control.MonotonicClock
import io.jackdawring.server.control.OpenRequest
import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.metrics.ServerMetrics
import kotlinx.collections.immutable.toImmutableMap
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Guards against reporting "not run" on a full control queue for a resubmission whose first attempt may be running. */
class QueueFullTest {
    private val self = Owner(InstanceId("e1"), 1, "127.0.0.1:1", FailureDomainId("a"))
    private val tokens = SessionTokens(listOf(SessionKey("k1", ByteArray(32))))
    private val token = tokens.sign(SessionClaims(SessionId("s1"), CallerId("c"), self))

    private val effects =
        object : ControlEffects {
            override fun register(request: OpenRequest) = Unit

            override fun beforeEvent(event: Event) = Unit

            override fun emit(effect: Effect) = Unit
        }

    private class FakeExchange(
        override val request: HttpRequestMessage,
    ) : HttpExchange {
        val responses = mutableListOf<HttpResponseMessage>()

        override fun respond(response: HttpResponseMessage) {
            responses += response
        }

        override fun disconnect() = Unit

        override fun onDisconnected(action: () -> Unit) = Unit
    }

    /** A control thread that is not started; its queue has a capacity of 0. */
    private val control = ControlThread(FakeEntryInstance(entryOptions(self)), MonotonicClock(), effects, 0) {}
    private val api = CallerApi(tokens, ServerMetrics()) { control }

    private class Case(
        val name: String,
        val headers: Map<String, String>,
        val status: Int,
        val fields: String,
    )

    @TestFactory
    fun `only a declared first attempt may be refused`(): List<DynamicTest> {
        val session = mapOf("jackdaw-session" to token, "idempotency-key" to "job-1")
        val claim = mapOf("idempotency-key" to "01890a5d-ac96-774b-bcce-b302099a8057")
        val refused = """"outcome":"refused","mayHaveRun":false,"retryAfterMillis":1000"""
        val unknown = """"outcome":"unknown","mayHaveRun":true,"retryAfterMillis":1000"""
        return listOf(
            Case("session", session, 504, unknown),
            Case("session, first attempt", session + ("jackdaw-attempt" to "1"), 503, refused),
            Case("session, second attempt", session + ("jackdaw-attempt" to "2"), 504, unknown),
            Case("claim", claim, 504, unknown),
            Case("claim, first attempt", claim + ("jackdaw-attempt" to "1"), 503, refused),
        ).map { case ->
            dynamicTest(case.name) {
                val body = """{"caller":"c","service":"s","kind":"k","tasks":[{"payload":1}]}"""
                val headers = case.headers.toImmutableMap()
                val exchange =
                    FakeExchange(
                        HttpRequestMessage("POST", "/v1/jobs", headers = headers, body = body.encodeToByteArray()),
                    )
                api.handle(exchange)
                val response = exchange.responses.single()
                assertEquals(case.status, response.status)
                assertContains(response.body.decodeToString(), case.fields)
            }
        }
    }
}
