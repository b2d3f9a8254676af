package io.jackdawring.fleet.model

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/**
 * Guards against two runs of a task at the same time, in one or in several failure domains, and against jobs that run
 * although all of their submissions were refused, under random faults with fixed seeds.
 */
class ResubmissionModelTest {
    private fun schedules(faults: List<FleetFault>) =
        (FIRST_SEED until FIRST_SEED + SEEDS).map { seed ->
            DynamicTest.dynamicTest("seed $seed") { FleetSchedule(seed, faults).play() }
        }

    @TestFactory
    fun `a fleet under random faults`() = schedules(FleetFault.entries)

    @TestFactory
    fun `a fleet under faults of the store, restarted targets and graceful stops`() =
        schedules(
            listOf(
                FleetFault.INSTANCE_DRAINED,
                FleetFault.STORE_CUT_OFF,
                FleetFault.STORE_SLOW,
                FleetFault.STORE_DOWN,
                FleetFault.TARGET_RESTARTED,
            ),
        )

    private companion object {
        /** More seeds are run by hand, with `-Dmodel.firstSeed=1 -Dmodel.seeds=500`. */
        val FIRST_SEED: Long = java.lang.Long.getLong("model.firstSeed", 1)
        val SEEDS: Long = java.lang.Long.getLong("model.seeds", 10)
    }
}
