package io.jackdawring.core.queue

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RealRetryBudgetTest {
    private fun takeAll(
        budget: RetryBudget,
        nowMillis: Long,
    ): Int = generateSequence { budget.tryTake(nowMillis) }.takeWhile { it }.count()

    /** Guards against retries that exceed the configured percentage of the first sends. */
    @Test
    fun `retries stay within their share of first sends`() {
        // percent, first sends, expected retries beyond the initial balance
        val cases = listOf(Triple(10, 1_000, 100), Triple(0, 1_000, 0), Triple(100, 50, 50), Triple(10, 1_000_000, 990))
        for ((percent, sends, expected) in cases) {
            val budget = RealRetryBudget(percent)
            val initial = RealRetryBudget.INITIAL_RETRIES.toInt()
            repeat(sends) { budget.onFirstSend() }
            // Sums of binary fractions may end just below the next whole retry.
            assertTrue(takeAll(budget, 0) - initial in expected - 1..expected, "$percent % of $sends")
        }
    }

    /** Guards against an empty budget that blocks the last waiting tasks permanently. */
    @Test
    fun `an empty budget refills at the announced time`() {
        val budget = RealRetryBudget(10)
        takeAll(budget, 5_000)
        val availableMillis = budget.nextAvailableMillis(5_000)
        assertEquals(6_000, availableMillis)
        assertFalse(budget.tryTake(availableMillis - 1))
        assertTrue(budget.tryTake(availableMillis))
    }
}
