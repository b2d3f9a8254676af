package io.jackdawring.server.burn

import io.jackdawring.core.configuration.Objective
import kotlinx.serialization.Serializable

/** How fast each kind uses up its error budget. */
@Serializable
data class BurnReport(
    val kinds: List<KindBurn>,
)

/** Burn rates of one kind in all [windows], alerts that they raise, and the history of the rate, oldest first. */
@Serializable
data class KindBurn(
    val service: String,
    val kind: String,
    val priority: Int,
    val objective: Objective,
    val windows: List<WindowBurn>,
    val alerts: List<BurnAlert>,
    val history: List<BurnPoint>,
)

/**
 * Requests in one window. A [burnRate] of 1 uses up exactly the permitted share of misses; it is null without requests.
 *
 * [coveredMillis] is less than the length of the window while the process is younger than that.
 */
@Serializable
data class WindowBurn(
    val window: BurnWindow,
    val coveredMillis: Long,
    val good: Long,
    val total: Long,
    val burnRate: Double?,
)

/** Requests between the point before and [ageMillis] before the report; [burnRate] is null without requests. */
@Serializable
data class BurnPoint(
    val ageMillis: Long,
    val good: Long,
    val total: Long,
    val burnRate: Double?,
)

/** Time windows over which burn rates are computed. */
@Serializable
enum class BurnWindow(
    val label: String,
    val lengthMillis: Long,
) {
    FIVE_MINUTES("5 min", 300_000),
    THIRTY_MINUTES("30 min", 1_800_000),
    ONE_HOUR("1 h", 3_600_000),
    SIX_HOURS("6 h", 21_600_000),
    THREE_DAYS("3 d", 259_200_000),
}

/**
 * Raised while the rates in both windows exceed [threshold]: the long one shows that the burn is significant, the short
 * one that it continues. Rates at the thresholds use up 2 %, 5 % and 10 % of a 30-day budget within the long window.
 */
@Serializable
enum class BurnAlert(
    val long: BurnWindow,
    val short: BurnWindow,
    val threshold: Double,
) {
    FAST(BurnWindow.ONE_HOUR, BurnWindow.FIVE_MINUTES, 14.4),
    SLOW(BurnWindow.SIX_HOURS, BurnWindow.THIRTY_MINUTES, 6.0),
    STEADY(BurnWindow.THREE_DAYS, BurnWindow.SIX_HOURS, 1.0),
}
