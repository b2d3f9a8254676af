package io.jackdawring.fleet.model

import org.junit.jupiter.api.Test
import kotlin.test.assertEquals

/**
 * Guards against a successor that resumes jobs while a holder which is cut off from it and from the store still renews
 * leases on targets that the successor does not know.
 *
 * A task that runs twice at a time fails the test.
 */
class CutOffHolderTest {
    private fun failure(
        name: String,
        play: () -> Unit,
    ): String? = runCatching(play).exceptionOrNull()?.let { "$name: ${it.message}" }

    /** The domain's other instance, whose callers' jobs run at the holder, reaches the store after [outageMillis]. */
    private fun fleet(outageMillis: Long) =
        FakeFleet(domains = 2, instancesPerDomain = 2, targetsPerDomain = 2).apply {
            cut("a1", listOf(FakeLinks.STORE, "b1", "b2"), 30_000)
            cut("a2", listOf(FakeLinks.STORE), outageMillis)
            clock.schedule(4_500) { unlist("a-t2") }
        }

    private fun FakeFleet.submit(
        id: String,
        tasks: Int,
        durationMillis: Long,
    ) = submit(FakeFleet.job(id, tasks, durationMillis), "a", durationMillis) { instance("a2") }

    /** A short job before shifts the time at which the holder polls the target that rejects it. */
    private fun rejectedByOneTarget(
        outageMillis: Long,
        shiftMillis: Long,
    ) {
        val fleet = fleet(outageMillis)
        fleet.run(10_000 + shiftMillis)
        fleet.submit("short", tasks = 8, durationMillis = 50)
        fleet.run(500)
        fleet.submit("j", tasks = 2, durationMillis = 4_000)
        fleet.run(6_000)
    }

    private fun rejectedByNone(
        outageMillis: Long,
        phaseMillis: Long,
    ) {
        val fleet = fleet(outageMillis)
        val begin = fleet.clock.nowMillis
        fleet.cut("a1", listOf("a-t1"), 30_000)
        fleet.run(9_500 + phaseMillis)
        var number = 0
        while (fleet.clock.nowMillis - begin < 14_000) {
            fleet.submit("j${number++}", tasks = 2, durationMillis = 2_500)
            fleet.run(INTERVAL_MILLIS)
        }
        fleet.run(18_000 - (fleet.clock.nowMillis - begin))
    }

    @Test
    fun `a target rejects the cut off holder a poll after the successor has listed it`() =
        assertEquals(
            emptyList(),
            (11_200L..12_600L step 100).flatMap { outage ->
                (0L..400L step 20).mapNotNull { shift ->
                    failure("out for $outage ms, shift $shift ms") { rejectedByOneTarget(outage, shift) }
                }
            },
        )

    @Test
    fun `no target that the successor knows can reject the cut off holder`() =
        assertEquals(
            emptyList(),
            (11_000L..13_600L step 200).flatMap { outage ->
                (0L until INTERVAL_MILLIS step 210).mapNotNull { phase ->
                    failure("out for $outage ms, phase $phase ms") { rejectedByNone(outage, phase) }
                }
            },
        )

    private companion object {
        const val INTERVAL_MILLIS = 1_300L
    }
}
