package io.jackdawring.core.target

import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Asserts that the mean slowdown with faults is at most 1.10, at 80% load with the normal mix of [FleetAimsTest], 30
 * targets of 8 slots and 8 entry instances; figures are means of the seeds 1 to 4.
 *
 * The load is relative to the slots of all targets, so faults that remove slots raise the load of the others.
 */
class FleetFaultTest {
    private fun measure(faults: Faults): List<ModelResult> =
        (1L..4L).map { FleetModel(Scenario(faults = faults, seed = it)).run() }

    private fun assertObjectives(faults: Faults) {
        val results = measure(faults)
        results.forEach { println("$faults: $it") }
        val mean = results.map { it.meanSlowdown }.average()
        assertTrue(mean <= 1.10, "%s: mean slowdown %.3f".format(faults, mean))
        val waste = results.map { it.refusalsPerTask }.average()
        assertTrue(waste <= 0.02, "%s: %.4f wasted messages per task".format(faults, waste))
    }

    /** Guards against tasks that go to slow targets while others have free slots. */
    @Test
    fun `a tenth of the targets is slow`() = assertObjectives(Faults(slowFraction = 0.1))

    /** Guards against a target that attracts tasks because it fails them quickly. */
    @Test
    fun `one target fails everything`() = assertObjectives(Faults(failingTargets = 1))

    /** Guards against shares of a killed instance that stay unused. */
    @Test
    fun `one entry instance is killed`() = assertObjectives(Faults(killAtMillis = 8_000))

    /** Guards against starts wasted on targets that are gone but still in a stale list. */
    @Test
    fun `the list shows two targets that are gone`() = assertObjectives(Faults(deadTargets = 2))

    /** Guards against failed jobs of the highest class because their tasks probe a target that fails everything. */
    @Test
    fun `probes of a failing target spare the highest class`() {
        val results = measure(Faults(failingTargets = 1))
        for (result in results) {
            assertTrue(result.lateFailuresByClass.isNotEmpty(), "the target is not probed: $result")
            assertTrue(1 !in result.lateFailuresByClass, "$result")
        }
    }
}
