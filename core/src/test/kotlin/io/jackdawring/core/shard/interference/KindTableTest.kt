package io.jackdawring.core.shard.interference

import org.junit.jupiter.api.Test
import kotlin.test.assertEquals

/** Guards against memory that grows with the number of kinds, and against kinds that inherit what others have shown. */
class KindTableTest {
    private val reused = ArrayList<Int>()
    private val table = KindTable { reused.add(it) }

    private fun kind(index: Int) = TaskKind("q$index", null)

    @Test
    fun `kinds beyond the limit share one number`() {
        val numbers = (0 until 200).map { table.onStarted(kind(it), nowMillis = 0) }
        assertEquals((1 until KindTable.SIZE).toList() + List(200 - 63) { KindTable.SHARED }, numbers)
        assertEquals(KindTable.SHARED, table.find(kind(150)))
    }

    @Test
    fun `only the number of a kind that has long been idle is reused`() {
        repeat(63) { table.onStarted(kind(it), nowMillis = 0) }
        listOf(5, 6).forEach { table.onEnded(it, nowMillis = it * 1_000L) }
        val reusedAtMillis = 5_000 + KindTable.MIN_IDLE_MILLIS
        assertEquals(KindTable.SHARED, table.onStarted(kind(100), reusedAtMillis - 1))
        assertEquals(5, table.onStarted(kind(100), reusedAtMillis))
        assertEquals(listOf(5), reused)
        assertEquals(KindTable.SHARED, table.onStarted(kind(101), reusedAtMillis))
        assertEquals("q100", table.label(5))
    }
}
