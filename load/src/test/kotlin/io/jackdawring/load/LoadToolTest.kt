package io.jackdawring.load

import io.jackdawring.server.http.HttpTransport
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a load tool that loses answers, reports wrong ones as complete or miscounts wasted messages. */
class LoadToolTest {
    private class Case(
        val name: String,
        val fault: EntryFault = EntryFault.NONE,
        val answer: JobAnswer = JobAnswer.COMPLETE,
        val exitCode: Int = 0,
        val check: (LoadReport) -> Unit = {},
        val options: LoadOptions.Builder.() -> Unit = {},
    )

    private fun LoadReport.jobs() = classes.sumOf { it.jobs }

    private val cases =
        listOf(
            Case("open loop", check = { assertEquals(0, it.wasted?.total) }),
            Case("closed loop") { pattern = LoadPattern.ClosedLoop(concurrency = 4) },
            Case(
                "resubmissions are counted as repeated sends and forwards",
                check = {
                    assertEquals(mapOf(JobAnswer.COMPLETE to it.jobs()), it.resubmissions)
                    assertEquals(it.jobs() to it.jobs(), it.wasted?.repeatedSends to it.wasted?.forwards)
                },
            ) { resubmitPercent = 100.0 },
            Case(
                "requests are spread over entry instances",
                // Callers and requests are each assigned round-robin to four instances; the seed decides the next caller.
                check = { report ->
                    val jobs = JobGenerator(options(listOf("127.0.0.1:1")) {}, "r")
                    val forwards = (0 until report.jobs().toInt()).count { jobs.next(0).caller % 4 != it % 4 }
                    assertEquals(forwards.toLong(), report.wasted?.forwards)
                },
            ) { balancing = Balancing.REQUESTS },
            Case("swapped results", EntryFault.SWAPS_RESULTS, JobAnswer.WRONG, exitCode = 1),
            Case("missing results", EntryFault.OMITS_A_RESULT, JobAnswer.WRONG, exitCode = 1),
            Case("refusals", EntryFault.REFUSES_ALL, JobAnswer.REFUSED, check = { assertEquals(0, it.doubleStarts) }),
            Case(
                "double starts",
                EntryFault.STARTS_TWICE,
                exitCode = 1,
                check = { assertEquals(it.jobs().toInt(), it.doubleStarts) },
            ),
        )

    @TestFactory
    fun reports() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                HttpTransport().use { transport ->
                    FakeEntryServers(transport, case.fault).use { entryServers ->
                        LocalFleet(fleetOptions(), transport, entryServers).use { fleet -> check(case, fleet) }
                    }
                }
            }
        }

    private fun check(
        case: Case,
        fleet: LocalFleet,
    ) {
        assertEquals(null, fleet.awaitReady(10_000))
        val options =
            options(fleet.entries.map { it.callerAddress }) {
                platformAddress = fleet.platform.address
                case.options(this)
            }
        val out = ByteArrayOutputStream()
        assertEquals(case.exitCode, runLoad(options, PrintStream(out)), out.toString())
        val report = Json.decodeFromString(LoadReport.serializer(), out.toString())
        assertTrue(report.jobs() > 0)
        assertEquals(mapOf(case.answer to report.jobs()), report.classes.single().answers)
        case.check(report)
    }

    private fun options(
        addresses: List<String>,
        block: LoadOptions.Builder.() -> Unit,
    ) = loadOptions {
        entries = addresses
        tasksPerJob = 2..2
        durationMillis = 200
        runTimes = RunTimes(minMillis = 5, maxMillis = 20, longPercent = 0.0)
        callers = 8
        json = true
        block()
    }
}
