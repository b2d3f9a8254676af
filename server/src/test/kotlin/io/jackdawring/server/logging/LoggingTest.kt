package io.jackdawring.server.logging

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.Owner
import io.jackdawring.core.StateChange
import io.jackdawring.server.metrics.ServerMetrics
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards the fields by which operators search log lines. */
class LoggingTest {
    private val originalError = System.err

    @AfterEach
    fun restore() {
        System.setErr(originalError)
        configureLogging(LogFormat.TEXT)
    }

    private fun logged(format: LogFormat): String {
        val output = ByteArrayOutputStream()
        System.setErr(PrintStream(output, true))
        configureLogging(format)
        val self = Owner(InstanceId("e1"), 1, "127.0.0.1:1", FailureDomainId("zone-a"))
        val log = StateChangeLog(self, ServerMetrics())
        log.report(StateChange.ConfigurationApplied(12))
        return output.toString()
    }

    @Test
    fun `a state change is one JSON line with instance, failure domain and configuration version`() {
        val line = logged(LogFormat.JSON).trimEnd()
        val fields = Json.parseToJsonElement(line).jsonObject
        val expected =
            mapOf(
                "message" to "configuration version 12 is in force",
                "instance" to "e1",
                "failureDomain" to "zone-a",
                "configurationVersion" to "12",
            )
        assertEquals(expected, expected.keys.associateWith { fields.getValue(it).jsonPrimitive.content })
    }

    @Test
    fun `text lines have the same fields`() {
        val line = logged(LogFormat.TEXT)
        assertTrue("configuration version 12 is in force" in line, line)
        assertTrue("instance=\"e1\"" in line && "configurationVersion=\"12\"" in line, line)
    }
}
