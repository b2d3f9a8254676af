package io.jackdawring.server.metrics

import io.jackdawring.core.configuration.Objective
import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * Counts requests that met and missed their objective in slots of five minutes, for the last six hours.
 *
 * A burn rate of 1 uses up exactly the permitted share of misses; above 1 the objective will be missed.
 */
internal class BurnReport(
    private val nowNanos: () -> Long = System::nanoTime,
) {
    /** Slot numbers and counts; a slot is reused after [SLOTS] slot lengths, when its number no longer matches. */
    private class Counts {
        private val numbers = LongArray(SLOTS)
        private val good = LongArray(SLOTS)
        private val total = LongArray(SLOTS)

        @Synchronized
        fun add(
            number: Long,
            isGood: Boolean,
        ) {
            val index = (number % SLOTS).toInt()
            if (numbers[index] != number) {
                numbers[index] = number
                good[index] = 0
                total[index] = 0
            }
            if (isGood) good[index]++
            total[index]++
        }

        @Synchronized
        fun sum(
            lastNumber: Long,
            slots: Int,
        ): Pair<Long, Long> {
            var goodSum = 0L
            var totalSum = 0L
            for (number in maxOf(1, lastNumber - slots + 1)..lastNumber) {
                val index = (number % SLOTS).toInt()
                if (numbers[index] != number) continue
                goodSum += good[index]
                totalSum += total[index]
            }
            return goodSum to totalSum
        }
    }

    private val origin = nowNanos()
    private val counts = ConcurrentHashMap<ServiceKind, Counts>()

    private fun slotNumber(): Long = 1 + TimeUnit.NANOSECONDS.toMinutes(nowNanos() - origin) / SLOT_MINUTES

    fun add(
        key: ServiceKind,
        isGood: Boolean,
    ) = counts.computeIfAbsent(key) { Counts() }.add(slotNumber(), isGood)

    /** The rates of all kinds in [catalog] that have an objective. */
    fun rows(catalog: ServiceCatalog): List<BurnRow> {
        val slot = slotNumber()
        counts.keys.removeIf { catalog.find(it)?.objective == null }
        return catalog
            .all()
            .mapNotNull { (key, kind) -> kind.objective?.let { row(key, it, slot) } }
            .sortedWith(compareBy({ it.service }, { it.kind }))
    }

    private fun row(
        key: ServiceKind,
        objective: Objective,
        slot: Long,
    ): BurnRow {
        val windows =
            WINDOWS_MINUTES.map { minutes ->
                val (good, total) = counts[key]?.sum(slot, minutes / SLOT_MINUTES) ?: (0L to 0L)
                BurnWindow(minutes, good, total, burnRate(good, total, objective.percent))
            }
        return BurnRow(key.service, key.kind, objective.latencyMillis, objective.percent, windows)
    }

    private companion object {
        const val SLOT_MINUTES = 5
        const val SLOTS = 72
        val WINDOWS_MINUTES = listOf(5, 60, 360)

        fun burnRate(
            good: Long,
            total: Long,
            percent: Double,
        ): Double? {
            if (total == 0L) return null
            val permittedShare = 1 - percent / 100
            val missedShare = (total - good).toDouble() / total
            return if (missedShare == 0.0) 0.0 else missedShare / maxOf(permittedShare, MIN_PERMITTED_SHARE)
        }

        /** Keeps the rate finite for an objective of 100 percent. */
        const val MIN_PERMITTED_SHARE = 1e-6
    }
}

/** Objective of one kind and how it was met. */
@Serializable
internal data class BurnRow(
    val service: String,
    val kind: String,
    val latencyMillis: Long,
    val percent: Double,
    val windows: List<BurnWindow>,
)

/** Requests of the last [minutes], rounded up to slots of five minutes; [burnRate] is null without requests. */
@Serializable
internal data class BurnWindow(
    val minutes: Int,
    val good: Long,
    val total: Long,
    val burnRate: Double?,
)
