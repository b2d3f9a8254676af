package io.jackdawring.server.burn

import io.jackdawring.server.json.lenientJson
import kotlinx.serialization.json.Json
import java.util.Locale

/** The report as a plain-text table. */
fun BurnReport.toText(): String =
    buildString {
        if (kinds.isEmpty()) {
            appendLine("No kind has an objective.")
            return@buildString
        }
        append("%5s %-40s %-18s".format(Locale.ROOT, "class", "kind", "objective"))
        BurnWindow.entries.forEach { append("%9s".format(Locale.ROOT, it.label)) }
        appendLine("  alerts")
        kinds.forEach { kind ->
            val objective = "${kind.objective.percent} % in ${kind.objective.latencyMillis} ms"
            append("%5d %-40s %-18s".format(Locale.ROOT, kind.priority, "${kind.service}/${kind.kind}", objective))
            kind.windows.forEach { append("%9s".format(Locale.ROOT, rateText(it.burnRate))) }
            appendLine("  " + kind.alerts.joinToString { it.name.lowercase() }.ifEmpty { "-" })
        }
        appendLine("A rate of 1 uses up exactly the permitted misses.")
    }

/** The report as JSON. */
fun BurnReport.toJson(): String = Json.encodeToString(BurnReport.serializer(), this)

/** Parses the output of [toJson]; fails with [kotlinx.serialization.SerializationException] on anything else. */
fun parseBurnReport(text: String): BurnReport = lenientJson.decodeFromString(BurnReport.serializer(), text)

internal fun rateText(rate: Double?): String = if (rate == null) "-" else "%.2f".format(Locale.ROOT, rate)
