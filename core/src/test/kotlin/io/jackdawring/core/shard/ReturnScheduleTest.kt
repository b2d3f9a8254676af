package io.jackdawring.core.shard

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against refused jobs that return together, that starve others, and against a schedule that grows. */
class ReturnScheduleTest {
    private class Fixture {
        val schedule = ReturnSchedule()

        fun refuse(
            atMillis: Long = 0,
            workMillis: Double = 60.0,
            priority: Int = 0,
            earliestMillis: Long = 0,
            service: String = "s",
            isReserved: Boolean = true,
        ): Long {
            val need = ReturnNeed(service, priority, workMillis, PATIENCE_MILLIS, earliestMillis)
            return schedule.retryAfterMillis(need, isReserved, atMillis)
        }
    }

    private class Row(
        val name: String,
        val test: Fixture.() -> Unit,
    )

    private val rows =
        listOf(
            Row("jobs that are refused together return one after the other") {
                assertEquals(listOf(1_000L, 1_000, 1_000, 2_000, 2_000, 2_000, 3_000), List(7) { refuse() })
            },
            Row("a job returns after the backlog") { assertEquals(5_000, refuse(earliestMillis = 4_001)) },
            Row("a time that is not the last word is not counted") {
                repeat(10) { refuse(isReserved = false) }
                assertEquals(1_000, refuse())
            },
            Row("less urgent jobs do not delay more urgent ones, but the other way round") {
                repeat(10) { refuse(priority = 1) }
                assertEquals(1_000, refuse(priority = 0))
                repeat(10) { refuse(priority = 0) }
                assertTrue(refuse(priority = 2) > 3_000)
            },
            Row("a job that is refused later does not return a second before earlier ones") {
                val last = List(10) { refuse() }.last()
                assertTrue(150 + refuse(atMillis = 150) > last - 1_000)
            },
            Row("a job that waits for few targets does not hold up the others") {
                refuse(earliestMillis = 30_000)
                assertEquals(1_000, refuse(atMillis = 1))
            },
            Row("a wide job is not overtaken by narrow ones that are refused after it") {
                val wide = refuse(workMillis = 900.0)
                val narrow = List(20) { refuse(atMillis = 10, workMillis = 20.0) + 10 }
                assertTrue(narrow.all { it >= wide }, "$wide, $narrow")
            },
            Row("a job wider than a slot finds room after many narrow ones") {
                repeat(20) { refuse(workMillis = 20.0) }
                assertTrue(refuse(workMillis = 900.0) <= 5_000)
            },
            Row("services do not share their capacity") {
                repeat(10) { refuse() }
                assertEquals(1_000, refuse(service = "t"))
            },
            Row("what has passed is forgotten") {
                repeat(10) { refuse() }
                assertEquals(1_000, refuse(atMillis = 20_000))
                assertTrue(schedule.size <= 1, "${schedule.size} slots")
            },
            Row("the schedule is bounded, and so is the time that callers are told") {
                val last = List(20_000) { refuse(atMillis = it / 10L) }.last()
                assertEquals(ReturnSchedule.MAX_MILLIS, last)
                assertTrue(schedule.size <= 700, "${schedule.size} slots")
            },
        )

    @TestFactory
    fun `times for refused jobs`() = rows.map { row -> DynamicTest.dynamicTest(row.name) { row.test(Fixture()) } }

    private companion object {
        /** The shortest objectives leave about this. */
        const val PATIENCE_MILLIS = 96L
    }
}
