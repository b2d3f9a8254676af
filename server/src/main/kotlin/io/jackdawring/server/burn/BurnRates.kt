package io.jackdawring.server.burn

import io.jackdawring.core.configuration.Objective

/** Share of misses over the permitted share of misses; null without requests. */
internal fun burnRate(
    good: Long,
    total: Long,
    objective: Objective,
): Double? {
    if (total <= 0) return null
    val permittedShare = (100 - objective.percent) / 100
    return (total - good).toDouble() / total / maxOf(permittedShare, MIN_PERMITTED_SHARE)
}

/** Alerts that the rates in [windows] raise; a window without requests raises none. */
internal fun alerts(windows: List<WindowBurn>): List<BurnAlert> {
    val rates = windows.associate { it.window to (it.burnRate ?: 0.0) }
    return BurnAlert.entries.filter {
        (rates[it.long] ?: 0.0) > it.threshold && (rates[it.short] ?: 0.0) > it.threshold
    }
}

/** Keeps the rate finite, as JSON requires, for an objective of 100 percent. */
private const val MIN_PERMITTED_SHARE = 1e-6
