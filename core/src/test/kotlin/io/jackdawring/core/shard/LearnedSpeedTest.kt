package io.jackdawring.core.shard

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertTrue

/** Guards against targets that lose their tasks after one long run, and against slow ones that keep them. */
class LearnedSpeedTest {
    private class Row(
        val name: String,
        val durationsMillis: List<Long>,
        val speed: ClosedFloatingPointRange<Double>,
    )

    private val usual = List(20) { 100L }

    private val rows =
        listOf(
            Row("one long run", usual + 700, 0.99..1.01),
            Row("two long runs in a row", usual + 700 + 700, 0.99..1.01),
            Row("long runs between usual ones", usual + List(10) { listOf(700L, 100L) }.flatten(), 0.99..1.01),
            Row("a long run first", listOf(700L), 0.99..1.01),
            Row("the target turns slow", usual + List(3) { 700L }, 0.13..0.16),
            Row("a new target is slow", List(3) { 700L }, 0.13..0.16),
            Row("a new target is a little slow", listOf(180L), 0.54..0.57),
            Row("the target is fast again", usual + List(3) { 700L } + List(10) { 100L }, 0.6..1.0),
        )

    @TestFactory
    fun `a target after runs that were expected to take 100 ms`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                val health = TargetHealth()
                row.durationsMillis.forEach { health.onDone(100.0, it) }
                assertTrue(health.speed in row.speed, "its speed is ${health.speed}")
            }
        }
}
