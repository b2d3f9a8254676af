package io.jackdawring.load

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.math.abs
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against load that differs from its options, which would make reports incomparable. */
class JobGeneratorTest {
    private val options =
        loadOptions {
            entries = listOf("127.0.0.1:1")
            classes = listOf(LoadClass("first", 1.0), LoadClass("second", 3.0))
            pattern = LoadPattern.OpenLoop(jobsPerSecond = 100.0)
            tasksPerJob = 1..3
            resubmitPercent = 20.0
            callers = 5
        }

    private fun jobs(count: Int = JOBS): List<PlannedJob> =
        JobGenerator(options, "r").let { g ->
            List(count) {
                g.next(0)
            }
        }

    private val means =
        mapOf<String, Pair<Double, (List<PlannedJob>) -> Double>>(
            "jobs per second" to (100.0 to { jobs -> JOBS / (jobs.last().intendedNanos / 1e9) }),
            "share of the first class" to (0.25 to { jobs -> jobs.count { it.job.kind == "first" } / JOBS.toDouble() }),
            "tasks per job" to (2.0 to { jobs -> jobs.sumOf { it.job.runMillis.size } / JOBS.toDouble() }),
            "share of resubmissions" to (0.2 to { jobs -> jobs.count { it.resubmit } / JOBS.toDouble() }),
            "run time" to
                (RunTimes().meanMillis() to { jobs -> jobs.flatMap { it.job.runMillis }.average() }),
            "caller" to (2.0 to { jobs -> jobs.map { it.caller }.average() }),
        )

    @TestFactory
    fun `means follow the options`() =
        means.map { (name, expectation) ->
            DynamicTest.dynamicTest(name) {
                val (expected, measure) = expectation
                val mean = measure(jobs())
                // The seed is fixed; the tolerance leaves room for sampling error at this number of jobs.
                assertTrue(abs(mean / expected - 1) < 0.05, "$mean instead of $expected")
            }
        }

    @Test
    fun `a seed determines the jobs`() {
        val describe = { job: PlannedJob -> "${job.intendedNanos} ${job.job.kind} ${job.job.runMillis} ${job.caller}" }
        assertEquals(jobs(100).map(describe), jobs(100).map(describe))
    }

    private companion object {
        const val JOBS = 20_000
    }
}
