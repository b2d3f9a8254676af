package io.jackdawring.server.logging

import ch.qos.logback.classic.LoggerContext
import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.Owner
import io.jackdawring.core.StateChange
import io.jackdawring.server.metrics.ServerMetrics
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.slf4j.Logger
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
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

    /** Guards against lines that a collector cannot parse, and against numbers written as text. */
    @Test
    fun `a JSON line keeps types, escapes text and includes the stack trace`() {
        val output = ByteArrayOutputStream()
        System.setErr(PrintStream(output, true))
        configureLogging(LogFormat.JSON)
        KotlinLogging.logger("io.jackdawring.test").atWarn {
            message = "a \"quoted\"\nmessage"
            cause = IllegalStateException("broken")
            payload = mapOf("count" to 3, "share" to 0.5, "isLast" to true, "missing" to null, "name" to "x")
        }
        val fields = Json.parseToJsonElement(output.toString().trimEnd()).jsonObject
        assertEquals("a \"quoted\"\nmessage", fields.getValue("message").jsonPrimitive.content)
        assertEquals("WARN", fields.getValue("level").jsonPrimitive.content)
        assertContains(fields.getValue("stack_trace").jsonPrimitive.content, "IllegalStateException: broken")
        assertTrue(Instant.parse(fields.getValue("@timestamp").jsonPrimitive.content) <= Instant.now())
        val values = listOf("count", "share", "isLast", "missing", "name").map { fields.getValue(it).toString() }
        assertEquals(listOf("3", "0.5", "true", "null", "\"x\""), values)
    }

    /** Guards against a Logback that looks for configuration files at each start of a process. */
    @Test
    fun `the provider binds SLF4J to a started context without appenders`() {
        val provider = UnconfiguredLogback().apply { initialize() }
        val context = provider.loggerFactory as LoggerContext
        assertTrue(context.isStarted)
        assertFalse(context.getLogger(Logger.ROOT_LOGGER_NAME).iteratorForAppenders().hasNext())
    }

    @Test
    fun `text lines have the same fields`() {
        val line = logged(LogFormat.TEXT)
        assertTrue("configuration version 12 is in force" in line, line)
        assertTrue("instance=\"e1\"" in line && "configurationVersion=\"12\"" in line, line)
    }
}
