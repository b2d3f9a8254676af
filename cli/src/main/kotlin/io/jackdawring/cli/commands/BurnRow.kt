package io.jackdawring.cli.commands

import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

/** What `burn` reads of one kind in the body of `/v1/burn`. */
@Serializable
internal data class BurnRow(
    val service: String,
    val kind: String,
    val latencyMillis: Long,
    val percent: Double,
    val windows: List<Window>,
) {
    /** Requests of the last [minutes]; [burnRate] is null without requests. */
    @Serializable
    data class Window(
        val minutes: Int,
        val good: Long,
        val total: Long,
        val burnRate: Double?,
    )

    companion object {
        private val json = Json { ignoreUnknownKeys = true }

        fun parse(text: String): List<BurnRow> = json.decodeFromString(ListSerializer(serializer()), text)
    }
}
