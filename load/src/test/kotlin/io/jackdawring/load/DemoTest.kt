package io.jackdawring.load

import io.jackdawring.server.http.HttpTransport
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Guards against a demo that reports success after a wrong answer, a double start or a timeout. */
class DemoTest {
    private class Case(
        val fault: EntryFault,
        val exitCode: Int,
        val printed: String,
        val limitMillis: Long = DEMO_LIMIT_MILLIS,
    )

    private val cases =
        listOf(
            Case(EntryFault.NONE, 0, "starts per task: 1.0000 (380 starts, 0 tasks started twice)"),
            Case(EntryFault.STARTS_TWICE, 1, "started 2 times"),
            Case(EntryFault.SWAPS_RESULTS, 1, "job of 300 tasks demo-1 was answered WRONG"),
            Case(EntryFault.OMITS_A_RESULT, 1, "job of 300 tasks demo-1 was answered WRONG"),
            Case(EntryFault.REFUSES_ALL, 1, "job of 300 tasks demo-1 was answered REFUSED"),
            Case(EntryFault.NEVER_ANSWERS, 1, "missing: the answer to job of 300 tasks demo-1", 2_000),
        )

    @TestFactory
    fun `exit status and summary`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.fault.name) {
                HttpTransport().use { transport ->
                    FakeEntryServers(transport, case.fault).use { entryServers ->
                        val out = ByteArrayOutputStream()
                        val exitCode = runDemo(PrintStream(out), entryServers, case.limitMillis)
                        assertContains(out.toString(), case.printed)
                        assertEquals(case.exitCode, exitCode, out.toString())
                    }
                }
            }
        }
}
