package io.jackdawring.core

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against a process that acts on outdated requests after a pause, and against pauses that did not happen. */
class PauseGuardTest {
    private class Row(
        val name: String,
        val gapMillis: Long,
        val clockJumpMillis: Long,
        val checkAfterMillis: Long,
        val expected: Boolean,
    )

    private val rows =
        listOf(
            Row("a usual interval", 150, 0, 0, false),
            Row("a late tick", 400, 0, 0, false),
            Row("a pause, at once", 2_000, 0, 0, true),
            Row("a pause, shortly after", 2_000, 0, 30, true),
            Row("a pause, some time after", 2_000, 0, 60, false),
            Row("a pause in which the monotonic clock stood still, at once", 100, 3_000, 0, true),
            Row("a pause in which the monotonic clock stood still, some time after", 100, 3_000, 60, false),
            Row("the time of day is set back", 100, -3_000, 0, false),
            Row("the time of day drifts", 100, 20, 0, false),
        )

    @TestFactory
    fun `a process catches up after a pause`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                var unixMillis = 1_000_000L
                val guard = PauseGuard { unixMillis }
                guard.onTick(0)
                val atMillis = row.gapMillis
                unixMillis += row.gapMillis + row.clockJumpMillis
                if (row.checkAfterMillis > 0) guard.onTick(atMillis)
                unixMillis += row.checkAfterMillis
                assertEquals(row.expected, guard.isCatchingUp(atMillis + row.checkAfterMillis))
            }
        }

    private class ArrivalRow(
        val name: String,
        /** Monotonic time from the last tick to the reading of the message. */
        val gapMillis: Long,
        /** Part of a pause that the monotonic clock did not count. */
        val clockJumpMillis: Long,
        /** Time from the first tick after the pause to the reading; null if the message is read before that tick. */
        val readAfterMillis: Long?,
        /** How long before the reading the message may have arrived. */
        val expectedAgeMillis: Long,
    )

    private val arrivalRows =
        listOf(
            ArrivalRow("no pause, before the tick", 100, 0, null, 0),
            ArrivalRow("no pause, after the tick", 100, 0, 30, 0),
            ArrivalRow("a late tick, before it", 499, 0, null, 0),
            ArrivalRow("a late tick, after it", 499, 0, 0, 0),
            ArrivalRow("the shortest pause, before the tick", 500, 0, null, 500),
            ArrivalRow("the shortest pause, at the tick", 500, 0, 0, 500),
            ArrivalRow("a pause, before the tick", 950, 0, null, 950),
            ArrivalRow("a pause, shortly after the tick", 950, 0, 30, 980),
            ArrivalRow("a pause, just before all is read", 950, 0, 49, 999),
            ArrivalRow("a pause, when all is read", 950, 0, 50, 0),
            ArrivalRow("an uncounted pause, before the tick", 100, 900, null, 1_000),
            ArrivalRow("an uncounted pause, shortly after the tick", 100, 900, 30, 1_030),
            ArrivalRow("an uncounted pause, when all is read", 100, 900, 50, 0),
            ArrivalRow("a pause that was counted in part, before the tick", 400, 600, null, 1_000),
            ArrivalRow("a pause that was counted in part, after the tick", 400, 600, 20, 1_020),
            ArrivalRow("the time of day is set back in a pause, before the tick", 800, -3_000, null, 800),
            ArrivalRow("the time of day is set back without a pause", 100, -3_000, null, 0),
        )

    /** Guards against times that are counted from the reading of a message which arrived during a pause. */
    @TestFactory
    fun `earliest arrival of a message that is read after a pause`() =
        arrivalRows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                var unixMillis = 1_000_000L
                val guard = PauseGuard { unixMillis }
                guard.onTick(0)
                var nowMillis = row.gapMillis
                unixMillis += row.gapMillis + row.clockJumpMillis
                if (row.readAfterMillis != null) {
                    guard.onTick(nowMillis)
                    nowMillis += row.readAfterMillis
                    unixMillis += row.readAfterMillis
                }
                assertEquals(row.expectedAgeMillis, nowMillis - guard.earliestArrivalMillis(nowMillis))
            }
        }

    /** Guards against a second pause that hides what arrived during the first one. */
    @TestFactory
    fun `earliest arrival after two pauses`() =
        listOf(
            Triple("the second one begins when all is read", 100L, 700L),
            Triple("the second one begins before all is read", 30L, 1_630L),
        ).map { (name, gapMillis, expectedAgeMillis) ->
            DynamicTest.dynamicTest(name) {
                val guard = PauseGuard()
                guard.onTick(0)
                guard.onTick(900)
                // Ticks come every 100 ms, and not while the process reads what has arrived.
                if (gapMillis >= PauseGuard.SETTLE_MILLIS) guard.onTick(900 + gapMillis)
                val nowMillis = 900 + gapMillis + 700
                assertEquals(expectedAgeMillis, nowMillis - guard.earliestArrivalMillis(nowMillis))
            }
        }
}
