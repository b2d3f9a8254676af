package io.jackdawring.standins

import io.jackdawring.core.InstanceList
import io.jackdawring.server.http.HttpClient
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.http.HttpTransport
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals

/** Guards against stand-ins that behave differently over real connections than with fake exchanges. */
class StandInNetworkTest {
    private val transport = HttpTransport()
    private val client: HttpClient = transport.client()

    @AfterEach
    fun closeTransport() {
        client.close()
        transport.close()
    }

    private fun send(
        address: String,
        requestLine: String,
        body: String = "",
        wait: Boolean = false,
    ): CompletableFuture<HttpResult> {
        val (method, path) = requestLine.split(' ')
        val headers = persistentMapOf("jackdaw-task" to "s/j/0")
        val result = CompletableFuture<HttpResult>()
        val query =
            if (wait) {
                persistentMapOf("afterVersion" to "0", "waitMillis" to TIMEOUT_MILLIS.toString())
            } else {
                persistentMapOf()
            }
        val request = HttpRequestMessage(method, path, query, headers, body.encodeToByteArray())
        client.send(address, request, TIMEOUT_MILLIS, result::complete)
        return result
    }

    private fun CompletableFuture<HttpResult>.status(): Int? =
        (get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) as? HttpResult.Answered)?.response?.status

    @TestFactory
    fun `a missing response is reported as no response`() =
        listOf(
            PlatformFaults(down = true) to 404,
            PlatformFaults(loseReplyPercent = 100) to 200,
        ).map { (faults, statusAfterwards) ->
            DynamicTest.dynamicTest(faults.toString()) {
                startStandInPlatform(standInPlatformOptions { listen = "127.0.0.1:0" }, transport).use { platform ->
                    platform.faults = faults
                    val result = send(platform.address, "PUT /kv/a", """{"value":"x"}""")
                    assertEquals(HttpResult.NoResponse::class, result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)::class)
                    platform.faults = PlatformFaults()
                    assertEquals(statusAfterwards, send(platform.address, "GET /kv/a").status())
                }
            }
        }

    @Test
    fun `a target is listed and runs a task`() {
        startStandInPlatform(standInPlatformOptions { listen = "127.0.0.1:0" }, transport).use { platform ->
            val options = standInTargetOptions("t1", "a") { platformAddress = platform.address }
            startStandInTarget(options, transport).use { target ->
                assertEquals(200, send(platform.address, "GET /instances", wait = true).status())
                assertEquals(200, send(target.address, "POST /tasks", """{"runMillis":1}""").status())
                assertEquals(listOf("s/j/0"), target.starts().map { it.task })
            }
        }
    }

    @TestFactory
    fun `a viewer sees the far address of targets of other failure domains only`() =
        listOf("a" to true, "b" to false, "c" to true).map { (viewer, near) ->
            DynamicTest.dynamicTest("target in a, viewer in $viewer") {
                val platformOptions =
                    standInPlatformOptions {
                        listen = "127.0.0.1:0"
                        views = listOf("a", "b")
                    }
                startStandInPlatform(platformOptions, transport).use { platform ->
                    val options =
                        standInTargetOptions("t1", "a") {
                            platformAddress = platform.address
                            farOneWayMillis = 1
                        }
                    startStandInTarget(options, transport).use { target ->
                        val list = send(platform.addressFor(viewer), "GET /instances", wait = true)
                        val answer = list.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) as HttpResult.Answered
                        val text = answer.response.body.decodeToString()
                        val address =
                            Json
                                .decodeFromString(InstanceList.serializer(), text)
                                .instances
                                .single()
                                .address
                        assertEquals(near, address == target.address)
                        assertEquals(200, send(address, "POST /tasks", """{"runMillis":1}""").status())
                    }
                }
            }
        }

    private companion object {
        const val TIMEOUT_MILLIS = 10_000L
    }
}
