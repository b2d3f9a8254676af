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
}
