package io.jackdawring.server.burn

import io.jackdawring.core.configuration.Objective

/**
 * Samples the counters of [source] and derives burn rates; not thread-safe.
 *
 * Call [sample] every [FINE_INTERVAL_MILLIS]. Times are monotonic. Windows exceed their nominal length by up to one
 * sample interval: 30 s for windows up to half an hour, 10 min for longer ones.
 */
class BurnHistory(
    private val source: BurnSource,
) {
    private data class Key(
        val service: String,
        val kind: String,
    )

    private class Rings {
        val fine = SampleRing(FINE_SAMPLES, FINE_INTERVAL_MILLIS)
        val coarse = SampleRing(COARSE_SAMPLES, COARSE_INTERVAL_MILLIS)
    }

    private val rings = HashMap<Key, Rings>()

    /** Takes a sample of all kinds and drops the history of kinds that no longer have an objective. */
    fun sample(nowMillis: Long) {
        val counters = source.counters()
        rings.keys.retainAll(counters.map { Key(it.service, it.kind) }.toSet())
        counters.forEach {
            val kindRings = rings.getOrPut(Key(it.service, it.kind)) { Rings() }
            val sample = SampleRing.Sample(nowMillis, it.good, it.total)
            kindRings.fine.add(sample)
            kindRings.coarse.add(sample)
        }
    }

    /** The report at [nowMillis], by class, service and kind. */
    fun report(nowMillis: Long): BurnReport =
        BurnReport(
            source
                .counters()
                .map { kindBurn(it, nowMillis) }
                .sortedWith(compareBy({ it.priority }, { it.service }, { it.kind })),
        )

    private fun kindBurn(
        counters: ObjectiveCounters,
        nowMillis: Long,
    ): KindBurn {
        val kindRings = rings[Key(counters.service, counters.kind)]
        val windows = BurnWindow.entries.map { windowBurn(it, counters, kindRings, nowMillis) }
        return KindBurn(
            service = counters.service,
            kind = counters.kind,
            priority = counters.priority,
            objective = counters.objective,
            windows = windows,
            alerts = alerts(windows),
            history = kindRings?.let { history(it.coarse, counters.objective, nowMillis) }.orEmpty(),
        )
    }

    private fun windowBurn(
        window: BurnWindow,
        counters: ObjectiveCounters,
        kindRings: Rings?,
        nowMillis: Long,
    ): WindowBurn {
        val ring = if (window.lengthMillis <= FINE_LIMIT_MILLIS) kindRings?.fine else kindRings?.coarse
        val start = ring?.before(nowMillis - window.lengthMillis) ?: return WindowBurn(window, 0, 0, 0, null)
        val good = counters.good - start.good
        val total = counters.total - start.total
        val covered = minOf(window.lengthMillis, nowMillis - start.atMillis)
        return WindowBurn(window, covered, good, total, burnRate(good, total, counters.objective))
    }

    private fun history(
        ring: SampleRing,
        objective: Objective,
        nowMillis: Long,
    ): List<BurnPoint> =
        (1 until ring.size).map {
            val from = ring[it - 1]
            val to = ring[it]
            val good = to.good - from.good
            val total = to.total - from.total
            BurnPoint(nowMillis - to.atMillis, good, total, burnRate(good, total, objective))
        }

    companion object {
        const val FINE_INTERVAL_MILLIS = 30_000L
        const val COARSE_INTERVAL_MILLIS = 600_000L
        private const val FINE_LIMIT_MILLIS = 1_800_000L

        // One sample more than a window has intervals, and one for the interval in progress.
        private const val FINE_SAMPLES = 62
        private const val COARSE_SAMPLES = 434
    }
}
