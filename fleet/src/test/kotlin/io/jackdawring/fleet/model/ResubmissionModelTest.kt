package io.jackdawring.fleet.model

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/**
 * Guards against two runs of a task at the same time, in one or in several failure domains, and against jobs that run
 * although all of their submissions were refused, under random faults with fixed seeds.
 */
class ResubmissionModelTest {
    private fun schedules(
        faults: List<FleetFault>,
        areDurable: Boolean = false,
    ) = (FIRST_SEED until FIRST_SEED + SEEDS).map { seed ->
        DynamicTest.dynamicTest("seed $seed") { FleetSchedule(seed, faults, areDurable).play() }
    }

    @TestFactory
    fun `a fleet under random faults`() = schedules(FleetSchedule.RECOVERABLE)

    /** Guards against jobs that a holder gets after a pause or a cut, from relays whose callers have gone elsewhere. */
    @TestFactory
    fun `a holder that gets old messages of relays starts nothing`() =
        listOf(71_025L, 71_064, 71_090, 71_114, 71_175, 71_202, 71_232).map { seed ->
            DynamicTest.dynamicTest("seed $seed") { FleetSchedule(seed).play() }
        }

    @TestFactory
    fun `durable jobs of a fleet under random faults`() = schedules(FleetSchedule.RECOVERABLE, areDurable = true)

    @TestFactory
    fun `durable jobs of a fleet that loses the targets of a failure domain under faults of its instances`() =
        schedules(
            listOf(
                FleetFault.TARGETS_LOST,
                FleetFault.INSTANCE_KILLED,
                FleetFault.INSTANCE_FROZEN,
                FleetFault.DOMAIN_CUT_OFF,
                FleetFault.STORE_CUT_OFF,
                FleetFault.STORE_SLOW,
            ),
            areDurable = true,
        )

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
