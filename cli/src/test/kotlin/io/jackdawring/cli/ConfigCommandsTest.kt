package io.jackdawring.cli

import io.jackdawring.cli.client.ApiAnswer
import io.jackdawring.cli.client.ApiClient
import io.jackdawring.cli.client.ApiRequest
import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.StoreCall
import io.jackdawring.core.configuration.ConfigurationCodec
import io.jackdawring.testing.FakeStore
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText
import kotlin.test.assertContains
import kotlin.test.assertEquals

class ConfigCommandsTest {
    @TempDir
    lateinit var directory: Path

    /** Simulates a platform with two entry instances and the operator listener of the first. */
    private class FakeApi(
        private val applied: Map<String, Long> = mapOf("e1" to 1, "e2" to 1),
        private val beforeSwap: (FakeStore) -> Unit = {},
        private val losesSwapReply: Boolean = false,
        private val down: Boolean = false,
        private val downAfterSwap: Boolean = false,
    ) : ApiClient {
        val store = FakeStore()

        override fun send(request: ApiRequest): ApiAnswer =
            when {
                down -> ApiAnswer.NotSent("refused")
                request.path == "/instances" -> ApiAnswer.Answered(200, INSTANCES)
                request.path == "/v1/status" -> ApiAnswer.Answered(200, status())
                request.method == "PUT" -> put(request)
                downAfterSwap && store.value(HEAD) != null -> ApiAnswer.NoResponse("down since the swap")
                else -> get(request.path.removePrefix("/kv/"))
            }

        private fun get(key: String): ApiAnswer {
            val found = store.call(StoreCall.Get(key), 0) as StoreAnswer.Found
            val status = if (found.value == null) 404 else 200
            return ApiAnswer.Answered(status, json(found.value, found.revision))
        }

        private fun put(request: ApiRequest): ApiAnswer {
            val key = request.path.removePrefix("/kv/")
            if (key == HEAD) beforeSwap(store)
            val body = Json.parseToJsonElement(request.body.orEmpty()).jsonObject
            val expected = body.getValue("expectedRevision").jsonPrimitive.long
            val value = body.getValue("value").jsonPrimitive.content
            val answer = store.call(StoreCall.CompareAndSwap(key, value, expected, null), 0)
            if (key == HEAD && (losesSwapReply || downAfterSwap)) return ApiAnswer.NoResponse("reply lost")
            return when (answer) {
                is StoreAnswer.Written -> ApiAnswer.Answered(200, json(null, answer.revision))
                is StoreAnswer.Conflict -> ApiAnswer.Answered(412, json(answer.value, answer.revision))
                else -> error("unexpected $answer")
            }
        }

        private fun json(
            value: String?,
            revision: Long,
        ): String {
            val field = if (value == null) "" else "\"value\":${Json.encodeToString(value)},"
            return "{$field\"revision\":$revision}"
        }

        private fun status(): String {
            val members = applied.map { (id, version) -> """{${owner(id)},"state":"live",$CONFIG$version}""" }
            return """{"self":{${owner("e1")}},"ready":true,"draining":false,$CONFIG${applied["e1"]},"sessions":0,""" +
                """"records":0,"runningJobs":0,"queuedTasks":0,"tasksInFlight":0,"storeReachable":true,""" +
                """"members":[${members.joinToString(",")}],"targets":[{"targetId":"t1","failureDomain":"a",""" +
                """"state":"usable","inFlight":1,"window":4,"slowness":1.5}]}"""
        }

        private fun owner(id: String) =
            """"instanceId":"$id","incarnation":1,"address":"127.0.0.1:1","failureDomain":"a""" + '"'

        companion object {
            const val HEAD = ConfigurationCodec.HEAD_KEY
            private const val CONFIG = "\"configurationVersion\":"
            private const val INSTANCES =
                """{"version":1,"instances":[""" +
                    """{"id":"e1","role":"entry","failureDomain":"a","address":"127.0.0.1:1"},""" +
                    """{"id":"e2","role":"entry","failureDomain":"b","address":"127.0.0.1:2"}]}"""
        }
    }

    private fun service(
        name: String,
        file: String,
        quota: Int = 400,
    ) {
        val path = directory.resolve(file)
        path.parent.createDirectories()
        path.writeText(
            """{"service":"$name","team":"stillwater","quotaTasks":$quota,""" +
                """"kinds":[{"name":"allergen-check","priority":1}]}""",
        )
    }

    private fun publish(api: FakeApi) = runCli("config", "publish", "$directory", "--json", client = api)

    private class Case(
        val name: String,
        val api: FakeApi,
        val exitCode: ExitCode,
        val text: String,
    )

    private val rival: (FakeStore) -> Unit = { store ->
        val head = """{"version":1,"publishId":"other","publisher":"rival","documents":{}}"""
        store.call(StoreCall.CompareAndSwap(FakeApi.HEAD, head, 0, null), 0)
    }

    /** Guards against a publish that reports more than what is in force. */
    @TestFactory
    fun `publish reports what happened`(): List<DynamicTest> =
        listOf(
            Case("all confirm", FakeApi(), ExitCode.OK, "\"result\":\"accepted\",\"version\":1"),
            Case("one lags", FakeApi(mapOf("e1" to 1, "e2" to 0)), ExitCode.PENDING, "\"pending\":[\"e2\"]"),
            Case("one is not seen", FakeApi(mapOf("e1" to 1)), ExitCode.PENDING, "\"pending\":[\"e2\"]"),
            Case("lost race", FakeApi(beforeSwap = rival), ExitCode.CONFLICT, "rival published version 1 first"),
            Case("lost reply", FakeApi(losesSwapReply = true), ExitCode.OK, "\"result\":\"accepted\""),
            Case("lost reply, then down", FakeApi(downAfterSwap = true), ExitCode.UNKNOWN, "\"result\":\"unknown\""),
            Case("platform down", FakeApi(down = true), ExitCode.REFUSED, "the store did not answer"),
        ).map { case ->
            dynamicTest(case.name) {
                service("orders", "orders.service.json")
                val run = publish(case.api)
                assertContains(run.out, case.text)
                assertEquals(case.exitCode, run.exitCode)
            }
        }

    /** Guards against a part of the files being published when another one is wrong. */
    @Test
    fun `a faulty file stops the whole publish and all faults are named`() {
        service("orders", "a/orders.service.json")
        service("orders", "b/copy.service.json")
        directory.resolve("b/other.service.json").writeText("{")
        val api = FakeApi()
        val run = publish(api)
        assertEquals(ExitCode.REFUSED, run.exitCode)
        assertContains(run.err, "other.service.json: file: malformed JSON")
        assertContains(run.err, "copy.service.json: service: \"orders\" is not allowed")
        assertEquals(0, api.store.calls)
        assertEquals(ExitCode.FAILED, runCli("config", "check", "$directory").exitCode)
    }

    /** Guards against a diff that omits a removal, and against a missing document in `config show`. */
    @Test
    fun `publish prints the difference and show prints the result`() {
        service("orders", "orders.service.json")
        service("menu", "menu.service.json")
        val api = FakeApi(mapOf("e1" to 9, "e2" to 9))
        assertContains(runCli("config", "publish", "$directory", client = api).out, "+ menu\n+ orders\n")
        service("orders", "orders.service.json", quota = 5)
        service("seating", "menu.service.json")
        assertContains(runCli("config", "publish", "$directory", client = api).out, "+ seating\n~ orders\n- menu\n")
        val shown = runCli("config", "show", client = api).out
        assertContains(shown, "version 2 by ")
        assertContains(shown, "\"quotaTasks\":5")
    }

    /** Guards against an unreachable address that a script treats as an empty response. */
    @Test
    fun `an unreachable address has its own exit code`() {
        listOf("status", "burn", "config show").forEach {
            val run = runCli(*it.split(' ').toTypedArray(), client = FakeApi(down = true))
            assertEquals(ExitCode.UNREACHABLE, run.exitCode, it)
        }
        val status = runCli("status", client = FakeApi()).out
        assertContains(status, "e1 in a: ready, configuration 1, store reachable")
        assertContains(status, Regex("t1 +a +usable +1/4 1.50"))
    }
}
