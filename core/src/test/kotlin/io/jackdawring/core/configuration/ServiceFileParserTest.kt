package io.jackdawring.core.configuration

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ServiceFileParserTest {
    private val full =
        """
        {"service":"orders","team":"stillwater","weight":2,"quotaTasks":400,
         "kinds":[{"name":"allergen-check","priority":1,"idempotent":true,"expectedMillis":80,
                   "objective":{"latencyMillis":400,"percent":99.9}}]}
        """.trimIndent()

    private fun errorsOf(text: String) =
        ServiceFileParser.parse("orders.json", text).fold({ errors -> errors.map { it.toString() } }, { emptyList() })

    /** Guards against values that are lost or replaced by defaults in parsing. */
    @Test
    fun `a full and a minimal file are read`() {
        val kind = KindDefinition("allergen-check", 1, true, 80, Objective(400, 99.9))
        val minimal = """{"service":"s","team":"t","kinds":[{"name":"k","priority":9}]}"""
        val cases =
            listOf(
                full to ServiceDefinition("orders", "stillwater", 2, 400, listOf(kind)),
                minimal to ServiceDefinition("s", "t", 1, 100_000, listOf(KindDefinition("k", 9, false, 200, null))),
            )
        for ((text, expected) in cases) {
            assertEquals(expected, ServiceFileParser.parse("orders.json", text).getOrNull(), "${errorsOf(text)}")
        }
    }

    /** Guards against undetected errors, and against messages that do not say what to change. */
    @Test
    fun `every error names the file, the key, the value and what is allowed`() {
        val cases =
            listOf(
                ("\"weight\"" to "\"wieght\"") to
                    listOf("wieght: the key \"wieght\" is not allowed; allowed: did you mean \"weight\"?"),
                ("\"idempotent\"" to "\"Idempotnt\"") to
                    listOf("kinds[0].Idempotnt: the key", "did you mean \"idempotent\"?"),
                ("\"percent\"" to "\"zzz\"") to
                    listOf(
                        "objective.zzz: the key \"zzz\" is not allowed; allowed: latencyMillis, percent",
                        "objective.percent: a missing value",
                    ),
                ("\"priority\":1" to "\"priority\":10") to
                    listOf("kinds[0].priority: 10 is not allowed; allowed: a whole number from 1 to 9"),
                ("\"priority\":1" to "\"priority\":\"1\"") to listOf("kinds[0].priority: \"1\" is not allowed"),
                ("\"priority\":1" to "\"priority\":1.5") to listOf("kinds[0].priority: 1.5 is not allowed"),
                ("\"priority\":1," to "") to listOf("kinds[0].priority: a missing value is not allowed"),
                ("99.9" to "100") to
                    listOf("kinds[0].objective.percent: 100 is not allowed; allowed: a number from 1.0 to 99.999"),
                ("99.9" to "NaN") to listOf("percent: NaN"),
                ("{\"latencyMillis\":400,\"percent\":99.9}" to "7") to
                    listOf("kinds[0].objective: 7 is not allowed; allowed: an object"),
                ("true" to "\"true\"") to
                    listOf("kinds[0].idempotent: \"true\" is not allowed; allowed: true or false"),
                ("400,\n" to "null,\n") to listOf("quotaTasks: null is not allowed"),
                ("\"orders\"" to "\"or ders\"") to
                    listOf("service: \"or ders\" is not allowed; allowed: 1 to 64 characters"),
                ("\"orders\"" to "\"${"x".repeat(200)}\"") to listOf("service: \"xxxx", "…"),
                ("[{" to "[],\"x\":[{") to
                    listOf("kinds: [] is not allowed; allowed: an array of 1 to 64 objects", "x: the key"),
                ("}]" to "},{\"name\":\"allergen-check\",\"priority\":2}]") to
                    listOf("\"allergen-check\" is not allowed; allowed: a name that differs from kinds[0].name"),
                ("80" to "0") to listOf("expectedMillis: 0 is not allowed"),
                ("2,\"quota" to "1001,\"quota") to listOf("weight: 1001 is not allowed"),
                ("}]}" to "}]") to listOf("file: malformed JSON"),
                (full to "[]") to listOf("file: a JSON value that is not an object"),
                (full to " ".repeat(70_000)) to
                    listOf("file: a size of 70000 bytes is not allowed; allowed: up to 65536 bytes"),
            )
        for ((change, expected) in cases) {
            assertTrue(change.first in full, "${change.first} is not in the file")
            val errors = errorsOf(full.replace(change.first, change.second))
            val missing = expected.filter { part -> errors.none { part in it && it.startsWith("orders.json: ") } }
            assertEquals(emptyList(), missing, "$change: $errors")
        }
        val many = full.replace("\"priority\":1", "\"priority\":0").replace("80", "-1").replace("\"team\"", "\"taem\"")
        assertEquals(4, errorsOf(many).size, "all errors are reported: ${errorsOf(many)}")
    }

    /** Guards against files that are each valid but contradict each other. */
    @Test
    fun `files are validated together`() {
        fun service(
            name: String,
            team: String = "t",
            quota: Int = 5,
            weight: Int = 1,
        ) = ServiceDefinition(name, team, weight, quota, listOf(KindDefinition("k", 1)))
        val cases =
            listOf(
                listOf(service("a"), service("b", quota = 6), service("c", "u", 7, 3)) to emptyList(),
                listOf(service("a"), service("a")) to
                    listOf("f1: service: \"a\" is not allowed; allowed: a service that f0 does not define already"),
                listOf(service("a"), service("b", weight = 2)) to
                    listOf("f1: weight: 2 is not allowed; allowed: 1, as f0 states it for team t"),
                listOf(service("a", quota = 999_999), service("b", quota = 2)) to
                    listOf(
                        "f1: quotaTasks: a sum of 1000001 is not allowed; allowed: a sum of up to 1000000 over the services of team t",
                    ),
            )
        for ((services, expected) in cases) {
            val files = services.withIndex().associate { "f${it.index}" to it.value }
            val errors = ServiceFileParser.validateTogether(files).leftOrNull().orEmpty()
            assertEquals(expected, errors.map { it.toString() })
        }
    }

    /** Guards against a JSON schema, for checks in editors, that differs from what the parser accepts. */
    @Test
    fun `the schema states the parser's keys, limits and required values`() {
        val text = checkNotNull(javaClass.getResource("/service-file.schema.json")).readText()
        val schema = Json.parseToJsonElement(text).jsonObject
        val definitions = schema.at("\$defs")
        val parts =
            listOf(
                Triple("", schema, ServiceFileFormat.SERVICE_KEYS),
                Triple("kinds", definitions.at("kind"), ServiceFileFormat.KIND_KEYS),
                Triple("objective", definitions.at("objective"), ServiceFileFormat.OBJECTIVE_KEYS),
            )
        val base = Json.parseToJsonElement(full).jsonObject
        for ((place, part, keys) in parts) {
            val properties = part.at("properties")
            assertEquals(keys, properties.keys, place)
            assertEquals("false", part.text("additionalProperties"), place)
            val required = part.getValue("required").jsonArray.map { it.jsonPrimitive.content }
            for (key in keys) {
                val without = errorsOf(changed(base, place) { JsonObject(it - key) }.toString())
                assertEquals(key in required, without.isNotEmpty(), "$place.$key is required: $without")
            }
            for ((key, value) in properties) {
                val (low, high) = listOf("minimum", "maximum").map { value.jsonObject[it]?.jsonPrimitive?.doubleOrNull }
                if (low == null || high == null) continue
                val whole = value.jsonObject.text("type") == "integer"
                for ((number, valid) in listOf(low to true, high to true, low - 1 to false, high + 1 to false)) {
                    val shown = JsonPrimitive(if (whole) number.toLong() else number)
                    val errors = errorsOf(changed(base, place) { JsonObject(it + (key to shown)) }.toString())
                    assertEquals(valid, errors.isEmpty(), "$place.$key = $shown: $errors")
                }
            }
        }
        val name = definitions.at("name")
        assertEquals("^${ServiceFileFormat.NAME.pattern}$", name.text("pattern"))
        val kinds = schema.at("properties").at("kinds")
        assertEquals("1 to ${ServiceFileFormat.MAX_KINDS}", "${kinds.text("minItems")} to ${kinds.text("maxItems")}")
    }

    private fun JsonObject.at(key: String) = getValue(key).jsonObject

    private fun JsonObject.text(key: String) = getValue(key).jsonPrimitive.content

    private fun changed(
        file: JsonObject,
        place: String,
        change: (JsonObject) -> JsonObject,
    ): JsonElement {
        val kind = file.getValue("kinds").jsonArray[0].jsonObject
        return when (place) {
            "" -> change(file)
            "kinds" -> JsonObject(file + ("kinds" to JsonArray(listOf(change(kind)))))
            else -> {
                val objective = change(kind.getValue("objective").jsonObject)
                JsonObject(file + ("kinds" to JsonArray(listOf(JsonObject(kind + ("objective" to objective))))))
            }
        }
    }
}
