package io.jackdawring.fleet.model

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/**
 * Guards against a holder that starts tasks on targets which an offer of its shard lacks, although that offer may still
 * be taken.
 *
 * A task that runs twice at a time fails the test.
 */
class UnansweredOfferTest {
    private fun fleet(instances: Int) =
        FakeFleet(domains = 1, instances, targetsPerDomain = 3).apply {
            unlist("a-t3")
            run(4_000)
        }

    /** Lists the third target from 100 ms after the offer until just before it is taken. */
    private fun FakeFleet.listThirdTargetUntil(millis: Long) {
        clock.schedule(100) { list("a-t3") }
        clock.schedule(millis - 20) { unlist("a-t3") }
    }

    private fun FakeFleet.submit(id: String) =
        submit(FakeFleet.job("j", tasks = 6, estimateMillis = 700), "a", 700) { instance(id) }

    @TestFactory
    fun `a later offer is declined while an earlier one is being claimed`() =
        (720L..980L step 20).flatMap { claimMillis ->
            (700L..(claimMillis - 5) step 20).map { submitMillis ->
                DynamicTest.dynamicTest("the claim takes $claimMillis ms, a job comes after $submitMillis ms") {
                    val fleet = fleet(instances = 2)
                    fleet.cut("a2", listOf(FakeLinks.STORE), claimMillis)
                    fleet.drain("a1")
                    fleet.listThirdTargetUntil(claimMillis)
                    fleet.run(submitMillis)
                    fleet.submit("a2")
                    fleet.run(4_000 - submitMillis)
                }
            }
        }

    @TestFactory
    fun `a frozen successor takes an offer after its holder has found no other one`() =
        (800L..1_600L step 100).map { frozenMillis ->
            DynamicTest.dynamicTest("frozen for $frozenMillis ms") {
                val fleet = fleet(instances = 3)
                fleet.kill("a3")
                fleet.run(2_000)
                fleet.freeze("a2", frozenMillis)
                fleet.drain("a1")
                fleet.listThirdTargetUntil(frozenMillis)
                fleet.run(frozenMillis - 30)
                fleet.submit("a1")
                fleet.run(3_000)
            }
        }
}
