package io.jackdawring.fleet.model

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.SplittableRandom

/**
 * Guards against a job that starts when a cut has healed although its caller has sent it elsewhere meanwhile.
 *
 * An entry instance is cut off from its callers and from all others. Requests that are
 * sent during the cut arrive after it, and so do the ends of their connections. A task that runs twice at a time fails
 * the test.
 */
class HeldUpRequestTest {
    private enum class Order { ALL_AT_ONCE, CALLERS_FIRST, PEERS_FIRST }

    private class Row(
        val instances: Int,
        val cutMillis: Long,
        val order: Order,
    ) {
        override fun toString() = "$instances instances a domain, cut of $cutMillis ms, ${order.name.lowercase()}"
    }

    private val rows =
        listOf(1, 2, 3).flatMap { instances ->
            listOf(1_600L, 2_900L, 3_500L, 4_500L, 9_500L, 14_000L).flatMap { cutMillis ->
                Order.entries.map { Row(instances, cutMillis, it) }
            }
        }

    private fun play(
        row: Row,
        seed: Long,
    ) {
        val random = SplittableRandom(seed)
        val fleet = FakeFleet(domains = 2, row.instances, targetsPerDomain = 6, random.split())
        val cutOff = checkNotNull(fleet.holder("a"))
        val peersMillis = row.cutMillis + if (row.order == Order.CALLERS_FIRST) RECONNECT_MILLIS else 0
        val callersMillis = row.cutMillis + if (row.order == Order.PEERS_FIRST) RECONNECT_MILLIS else 0
        fleet.cut(cutOff.id, fleet.instances.map { it.id } + FakeLinks.STORE + fleet.targets.keys, peersMillis)
        fleet.cut(cutOff.id, fleet.domainNames.map(FakeLinks::callers), callersMillis)
        // The second submissions begin up to 1.2 s before the end of the cut, and their runs go on then.
        fleet.run(maxOf(0, row.cutMillis - 4_000))
        repeat(JOBS) { number ->
            val job = FakeFleet.job("j$number", tasks = 1, estimateMillis = 1_400, cpuMillis = 500)
            fleet.submit(job, "a", 1_400) { submission ->
                if (submission == 1) cutOff else fleet.instances.firstOrNull { it.domain == "b" }
            }
            fleet.run(SUBMIT_INTERVAL_MILLIS)
        }
        fleet.run(SETTLE_MILLIS)
    }

    @TestFactory
    fun `a request that a cut has held up starts nothing once its caller has gone`() =
        rows.map { row -> DynamicTest.dynamicTest("$row") { play(row, seed = 1) } }

    private companion object {
        const val JOBS = 40
        const val SUBMIT_INTERVAL_MILLIS = 60L
        const val RECONNECT_MILLIS = 300L
        const val SETTLE_MILLIS = 12_000L
    }
}
