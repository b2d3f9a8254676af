package io.jackdawring.server.burn

import java.util.Locale
import kotlin.math.ceil
import kotlin.math.floor
import kotlin.math.log10
import kotlin.math.pow

/** The report as one HTML page without external resources, with a plot for each class. */
fun BurnReport.toHtml(): String =
    buildString {
        append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"/><title>Burn report</title>")
        append("<style>").append(STYLE).append("</style></head><body>\n<h1>Burn report</h1>\n")
        append("<p>A rate of 1 uses up exactly the permitted misses; the plots show it as a dashed line. ")
        append("Windows and plots reach back to the start of the process at most.</p>\n")
        if (kinds.isEmpty()) append("<p>No kind has an objective.</p>\n")
        kinds.groupBy { it.priority }.toSortedMap().forEach { (priority, kindsOfClass) ->
            append("<h2>Class $priority</h2>\n")
            appendTable(kindsOfClass)
            BurnPlot(kindsOfClass).appendTo(this)
        }
        append("</body></html>\n")
    }

private fun StringBuilder.appendTable(kinds: List<KindBurn>) {
    append("<table><tr><th class=\"kind\">kind</th><th class=\"objective\">objective</th>")
    BurnWindow.entries.forEach { append("<th class=\"n\">${it.label}</th>") }
    append("<th class=\"alerts\">alerts</th></tr>\n")
    kinds.forEachIndexed { index, kind ->
        append("<tr><td><span style=\"color:${plotColor(index)}\">&#9632;</span> ")
        append(escape("${kind.service}/${kind.kind}"))
        append("</td><td>${kind.objective.percent} % in ${kind.objective.latencyMillis} ms</td>")
        kind.windows.forEach { append("<td class=\"n\">${rateText(it.burnRate)}</td>") }
        append(if (kind.alerts.isEmpty()) "<td>" else "<td class=\"alert\">")
        append(kind.alerts.joinToString { it.name.lowercase() }.ifEmpty { "-" }).append("</td></tr>\n")
    }
    append("</table>\n")
}

internal fun escape(text: String): String =
    text
        .replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;")

internal fun plotColor(index: Int): String = COLORS[index % COLORS.size]

/** Draws the burn rates of one class over the last three days. */
private class BurnPlot(
    private val kinds: List<KindBurn>,
) {
    private val highestRate =
        maxOf(MIN_TOP_RATE, kinds.flatMap { it.history }.maxOfOrNull { it.burnRate ?: 0.0 } ?: 0.0)
    private val step = roundStep(highestRate / MAX_STEPS)
    private val steps = ceil(highestRate / step).toInt()
    private val topRate = steps * step

    fun appendTo(out: StringBuilder) {
        out.append("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"$WIDTH\" height=\"$HEIGHT\" role=\"img\">\n")
        out.append("<rect x=\"$LEFT\" y=\"$TOP\" width=\"$PLOT_WIDTH\" height=\"$PLOT_HEIGHT\" class=\"area\"/>\n")
        (0..steps).forEach { appendRateLabel(out, it * step) }
        DAYS.forEach { appendAgeLabel(out, it) }
        out.append("<line x1=\"$LEFT\" x2=\"${LEFT + PLOT_WIDTH}\" y1=\"${y(1.0)}\" y2=\"${y(1.0)}\" class=\"one\"/>\n")
        kinds.forEachIndexed { index, kind -> appendLines(out, kind.history, plotColor(index)) }
        out.append("</svg>\n")
    }

    private fun appendRateLabel(
        out: StringBuilder,
        rate: Double,
    ) {
        out.append(
            "<line x1=\"$LEFT\" x2=\"${LEFT + PLOT_WIDTH}\" y1=\"${y(rate)}\" y2=\"${y(rate)}\" class=\"grid\"/>",
        )
        out.append("<text x=\"${LEFT - GAP}\" y=\"${y(rate)}\" text-anchor=\"end\">${label(rate)}</text>\n")
    }

    private fun label(rate: Double): String = (if (step < 1) "%.1f" else "%.0f").format(Locale.ROOT, rate)

    /** The smallest of 1, 2 or 5 times a power of ten that is at least [rate], for labels that are easy to read. */
    private fun roundStep(rate: Double): Double {
        val power = 10.0.pow(floor(log10(rate)))
        return listOf(1.0, 2.0, 5.0, 10.0).map { it * power }.first { it >= rate * (1 - ROUNDING) }
    }

    private fun appendAgeLabel(
        out: StringBuilder,
        days: Int,
    ) {
        val label = if (days == 0) "now" else "$days d ago"
        out.append("<text x=\"${x(days * DAY_MILLIS)}\" y=\"${HEIGHT - GAP}\" text-anchor=\"middle\">$label</text>\n")
    }

    /** Draws one line for each run of points with requests, so that a gap does not look like a rate of 0. */
    private fun appendLines(
        out: StringBuilder,
        points: List<BurnPoint>,
        color: String,
    ) {
        val run = ArrayList<String>()

        fun flush() {
            if (run.isNotEmpty()) {
                // A single point would be invisible as a line.
                val coordinates = if (run.size == 1) run + run else run
                out.append("<polyline points=\"${coordinates.joinToString(" ")}\" stroke=\"$color\"/>\n")
            }
            run.clear()
        }
        points.forEach { point ->
            val rate = point.burnRate
            if (rate == null) flush() else run += "${x(point.ageMillis)},${y(rate)}"
        }
        flush()
    }

    private fun x(ageMillis: Long): String {
        val share = 1 - minOf(ageMillis, RANGE_MILLIS).toDouble() / RANGE_MILLIS
        return "%.1f".format(Locale.ROOT, LEFT + PLOT_WIDTH * share)
    }

    private fun y(rate: Double): String = "%.1f".format(Locale.ROOT, TOP + PLOT_HEIGHT * (1 - rate / topRate))

    private companion object {
        const val WIDTH = 720
        const val HEIGHT = 220
        const val LEFT = 60
        const val TOP = 10
        const val GAP = 8
        const val PLOT_WIDTH = 630
        const val PLOT_HEIGHT = 180
        const val MAX_STEPS = 5
        const val ROUNDING = 1e-9
        const val DAY_MILLIS = 86_400_000L
        const val RANGE_MILLIS = 3 * DAY_MILLIS
        val DAYS = listOf(3, 2, 1, 0)

        /** Puts the line at rate 1 in the middle while all rates are low. */
        const val MIN_TOP_RATE = 2.0
    }
}

/** Colours that remain distinguishable with red-green colour blindness (Okabe and Ito). */
private val COLORS = listOf("#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9")

private const val STYLE =
    "body{font:14px sans-serif;margin:24px;color:#222;background:#fff}table{border-collapse:collapse;margin:8px 0}" +
        "th,td{border-bottom:1px solid #ddd;padding:4px 10px;text-align:left}.n{text-align:right;width:52px}" +
        "th{white-space:nowrap}.kind{width:280px}.objective{width:140px}.alerts{width:120px}" +
        "td.alert{color:#b00020;font-weight:bold}" +
        ".area{fill:#fafafa;stroke:#ccc}.grid{stroke:#e4e4e4}.one{stroke:#888;stroke-dasharray:4 3}" +
        "polyline{fill:none;stroke-width:2;stroke-linecap:round}svg text{font-size:11px;fill:#555;dominant-baseline:middle}"
