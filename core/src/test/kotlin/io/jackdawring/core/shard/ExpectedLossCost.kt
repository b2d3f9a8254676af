package io.jackdawring.core.shard

import kotlin.math.ceil

/**
 * Rates the CPU of further tasks, drawn from the recent demands, that a target can no longer take afterwards.
 *
 * It was compared with the rule in use and did not land; docs/design/placement.md has the figures.
 */
internal class ExpectedLossCost : FitCost {
    private val recent = IntArray(WINDOW)
    private var arrivals = 0
    private var meanMillis = 0.0

    /** CPU that tasks fill on average, by free CPU; both in units of the mean demand over [UNITS]. */
    private val usable = DoubleArray(SIZE)

    fun onArrival(demandMillis: Int) {
        recent[arrivals++ % WINDOW] = demandMillis
        if (arrivals >= WINDOW && arrivals % UPDATE_INTERVAL == 0) update()
    }

    private fun update() {
        meanMillis = recent.average()
        val shares = DoubleArray(SIZE)
        for (demand in recent) shares[ceil(unitsOf(demand)).toInt().coerceIn(1, SIZE - 1)] += 1.0 / WINDOW
        for (free in usable.indices) {
            usable[free] = (1..free).sumOf { if (shares[it] > 0) shares[it] * (it + usable[free - it]) else 0.0 }
        }
    }

    private fun unitsOf(cpuMillis: Int) = cpuMillis * UNITS / meanMillis

    private fun usable(cpuMillis: Int): Double {
        val units = unitsOf(cpuMillis)
        return if (units < SIZE) usable[units.toInt()] else usable.last() + units - SIZE
    }

    override fun cost(
        task: TrackedTask,
        target: TrackedTarget,
    ): Double {
        if (arrivals < WINDOW) return RemainderCost.cost(task, target)
        val free = target.free.cpuMillis
        val demand = task.spec.demand.cpuMillis
        return (usable(free) - unitsOf(demand) - usable(free - demand)) / UNITS
    }

    private companion object {
        const val WINDOW = 512
        const val UPDATE_INTERVAL = 64
        const val UNITS = 32
        const val SIZE = 6 * UNITS
    }
}
