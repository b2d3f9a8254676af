package io.jackdawring.server.burn

import io.jackdawring.core.configuration.Objective

/**
 * Sums the requests of several instances by kind; rates and alerts follow from the sums.
 *
 * Instances may disagree on an objective while a configuration spreads; that of the first report with the kind applies.
 * The covered time of a window is the longest one that any instance covers.
 */
fun mergeBurnReports(reports: List<BurnReport>): BurnReport =
    BurnReport(
        reports
            .flatMap { it.kinds }
            .groupBy { it.service to it.kind }
            .values
            .map(::mergeKind)
            .sortedWith(compareBy({ it.priority }, { it.service }, { it.kind })),
    )

private fun mergeKind(perInstance: List<KindBurn>): KindBurn {
    val first = perInstance.first()
    val windows = BurnWindow.entries.map { window -> mergeWindow(window, perInstance, first.objective) }
    return first.copy(windows = windows, alerts = alerts(windows), history = mergeHistory(perInstance, first.objective))
}

private fun mergeWindow(
    window: BurnWindow,
    perInstance: List<KindBurn>,
    objective: Objective,
): WindowBurn {
    val same = perInstance.flatMap { it.windows }.filter { it.window == window }
    val good = same.sumOf { it.good }
    val total = same.sumOf { it.total }
    return WindowBurn(window, same.maxOfOrNull { it.coveredMillis } ?: 0, good, total, burnRate(good, total, objective))
}

/** Sums the points of the same ten-minute interval, because instances take their samples at different times. */
private fun mergeHistory(
    perInstance: List<KindBurn>,
    objective: Objective,
): List<BurnPoint> =
    perInstance
        .flatMap { it.history }
        .groupBy { it.ageMillis / BurnHistory.COARSE_INTERVAL_MILLIS }
        .toSortedMap(reverseOrder())
        .map { (_, points) ->
            val good = points.sumOf { it.good }
            val total = points.sumOf { it.total }
            BurnPoint(points.minOf { it.ageMillis }, good, total, burnRate(good, total, objective))
        }
