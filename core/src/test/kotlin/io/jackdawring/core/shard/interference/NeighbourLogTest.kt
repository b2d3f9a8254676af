package io.jackdawring.core.shard.interference

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against shares of time that count a run as its own neighbour, or depend on when others were examined. */
class NeighbourLogTest {
    /** A run that is present from [startMillis] to [endMillis]. */
    private class Run(
        val kind: Int,
        val startMillis: Long,
        val endMillis: Long,
    )

    private class Row(
        val pattern: String,
        val others: List<Run>,
        val earlyShares: Map<Int, Double>,
        val shares: Map<Int, Double>,
    )

    /** The rows say what is beside a run of kind 1 from 100 to 200 ms, which is expected to end at 180 ms. */
    private val rows =
        listOf(
            Row("alone", listOf(Run(2, 0, 100), Run(2, 200, 300)), mapOf(1 to 0.0, 2 to 0.0), mapOf(2 to 0.0)),
            Row("one neighbour all the time", listOf(Run(2, 0, 300)), mapOf(2 to 1.0), mapOf(1 to 0.0, 2 to 1.0)),
            Row("one of the same kind", listOf(Run(1, 0, 120)), mapOf(1 to 0.5), mapOf(1 to 0.2)),
            Row("one that arrives late", listOf(Run(3, 150, 300)), mapOf(3 to 0.0), mapOf(3 to 0.5)),
            Row("two at a time of a kind", listOf(Run(2, 0, 120), Run(2, 110, 130)), mapOf(2 to 0.75), mapOf(2 to 0.3)),
            Row(
                "kinds that alternate",
                listOf(Run(2, 0, 130), Run(3, 130, 160)),
                mapOf(2 to 0.75),
                mapOf(
                    2 to 0.3,
                    3 to 0.3,
                ),
            ),
        )

    @TestFactory
    fun `shares of the time of a run`() = rows.map { row -> DynamicTest.dynamicTest(row.pattern) { check(row) } }

    private fun check(row: Row) {
        val log = NeighbourLog()
        val own = Run(1, 100, 200)
        val present = HashMap<Run, RunNeighbours>()
        for (millis in 0L..300L) {
            for (run in row.others + own) {
                if (run.endMillis == millis) log.remove(present.getValue(run), millis)
                if (run.startMillis ==
                    millis
                ) {
                    present[run] = log.add(run.kind, expectedMillis = 80, isMeasured = true, millis)
                }
            }
        }
        val neighbours = present.getValue(own)
        assertEquals(row.earlyShares, row.earlyShares.mapValues { neighbours.earlyShare(it.key) })
        assertEquals(row.shares, row.shares.mapValues { neighbours.share(it.key) })
    }
}
