package io.jackdawring.core.shard

import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against forecasts that take every run for an average one. */
class DurationDistributionTest {
    private fun distribution(runs: Int) =
        DurationDistribution().apply { repeat(runs) { add(if (it % 32 == 0) 7.0 else 1.0) } }

    @Test
    fun `few runs change nothing`() {
        val few = distribution(32)
        assertEquals(listOf(1.0, 1.0, 0.0), listOf(few.mean, few.quantile(0.99), few.shareAbove(3.0)))
        assertEquals(listOf(0.75, 0.25), listOf(few.remaining(0.25), few.remaining(5.0)))
    }

    @Test
    fun `one long run among 32`() {
        val known = distribution(640)
        assertTrue(known.mean in 1.1..1.3, "mean ${known.mean}")
        assertEquals(1.0 / 32, known.shareAbove(3.0), 0.001)
        assertTrue(known.quantile(0.9) < 1.2 && known.upperEnd in 7.0..8.0, "upper end ${known.upperEnd}")
    }

    @Test
    fun `a run that lasts longer than usual is expected to last much longer`() {
        val known = distribution(640)
        assertTrue(known.remaining(0.5) < 1.0 && known.remaining(2.0) > 4.0, "remaining ${known.remaining(2.0)}")
    }

    @Test
    fun `a change replaces earlier runs`() {
        val changed = distribution(3_200).apply { repeat(8_000) { add(1.0) } }
        assertTrue(changed.shareAbove(3.0) < 0.005, "share ${changed.shareAbove(3.0)}")
    }
}
