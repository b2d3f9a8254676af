package io.jackdawring.server.caller

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** Guards against input that is accepted outside its limits, and against payloads that are altered by parsing. */
class JobRequestParserTest {
    private fun parse(text: String) = JobRequestParser(text.encodeToByteArray()).parse()

    private fun job(
        tasks: String,
        more: String = "",
    ) = """{"service":"orders","kind":"check"$more,"tasks":$tasks}"""

    @Test
    fun `payloads are copied byte for byte`() {
        val payloads =
            listOf(
                "1",
                "-1.50e+3",
                "true",
                "null",
                "\"\"",
                "\"a\\u00e9é😀\\\"]\"",
                "{}",
                "[]",
                "[ 1 , {\"a\":[]} ]",
                "{\"payload\" : 1}",
            )
        for (space in listOf("", " ", "\n\t ")) {
            val tasks = payloads.joinToString(",") { """{$space"payload"$space:$space$it$space,"expectedMillis":5}""" }
            val job = parse(job("[$tasks]"))
            assertEquals(payloads, job.tasks.map { it.payload.bytes.decodeToString() })
            assertTrue(job.tasks.all { it.expectedMillis == 5L })
        }
    }

    @TestFactory
    fun `invalid bodies are refused with a message that names the cause`(): List<DynamicTest> =
        listOf(
            "" to "the body is not a JSON object",
            "[]" to "the body is not a JSON object",
            "{" to "not valid JSON",
            job("[{\"payload\":1}]") + "x" to "not valid JSON",
            job("[{\"payload\":1}]") + "{}" to "content after the JSON object",
            """{"kind":"k","tasks":[{"payload":1}]}""" to "\"service\" is missing",
            """{"service":"s","tasks":[{"payload":1}]}""" to "\"kind\" is missing",
            """{"service":"s","kind":"k"}""" to "\"tasks\" is missing",
            """{"service":"s","service":"s"}""" to "\"service\" appears twice",
            """{"service":7}""" to "\"service\" is not a string",
            """{"service":"${"s".repeat(65)}"}""" to "1 to 64",
            """{"caller":""}""" to "\"caller\" has 0 characters",
            """{"caller":"a\u0000b"}""" to "without control characters",
            """{"deadline":5}""" to "\"deadline\" is unknown",
            """{"deadlineMillis":0}""" to "is 0; it must be an integer from 1 to 60000",
            """{"deadlineMillis":60001}""" to "is 60001; it must be",
            """{"deadlineMillis":1.5}""" to "is 1.5; it must be",
            """{"deadlineMillis":"5"}""" to "is 5; it must be",
            """{"deadlineMillis":99999999999999999999}""" to "it must be an integer",
            """{"deadlineMillis":[5]}""" to "is a structure",
            """{"tasks":{}}""" to "\"tasks\" is not an array",
            job("[]") to "1 to 1200 entries",
            job("[1]") to "tasks[0] is not a JSON object",
            job("[{}]") to "\"tasks[0].payload\" is missing",
            job("[{\"payload\":1},{\"payload\":1,\"memoryMb\":-1}]") to "\"tasks[1].memoryMb\" is -1",
            job("[{\"payload\":1,\"payload\":2}]") to "\"tasks[0].payload\" appears twice",
            job("[{\"payload\":1,\"cpu\":2}]") to "\"tasks[0].cpu\" is unknown",
            job("[{\"payload\":nope}]") to "not valid JSON",
            job("[{\"payload\":\"open") to "not valid JSON",
            job("[{\"payload\":${"[".repeat(100)}${"]".repeat(100)}}]") to "not valid JSON",
            job("[${List(1_201) { "{\"payload\":1}" }.joinToString(",")}]") to "more than 1200 entries",
        ).map { (body, message) ->
            DynamicTest.dynamicTest(body.take(60) + " -> " + message) {
                val invalid = assertFailsWith<InvalidRequest> { parse(body) }
                assertTrue(message in invalid.message, invalid.message)
            }
        }

    @Test
    fun `the fingerprint covers what runs and nothing else`() {
        val base = parse(job("""[{"payload":1},{"payload":22}]""")).fingerprint
        val same = listOf(""","deadlineMillis":5""", ""","caller":"c"""")
        for (more in same) assertEquals(base, parse(job("""[{"payload":1},{"payload":22}]""", more)).fingerprint)
        val others =
            listOf(
                """[{"payload":12},{"payload":2}]""",
                """[{"payload":1},{"payload":22,"memoryMb":1}]""",
                """[{"payload":1}]""",
            )
        for (tasks in others) assertNotEquals(base, parse(job(tasks)).fingerprint)
        assertEquals(32, base.length)
    }
}
