package io.jackdawring.cli.client

import io.jackdawring.cli.settings.ResolvedSettings
import io.jackdawring.cli.settings.SettingTable
import java.io.File

/** Reads from the operator listeners given in the settings. */
internal class OperatorClient(
    private val client: ApiClient,
    settings: ResolvedSettings,
) {
    val addresses: List<String> = settings.text(SettingTable.operator).split(',').distinct()
    private val trusted = settings.textOrNull(SettingTable.tlsTrusted)?.let(::File)
    private val headers =
        settings.textOrNull(SettingTable.operatorToken)?.let { mapOf("Authorization" to "Bearer $it") }.orEmpty()

    fun get(
        address: String,
        path: String,
    ): ApiAnswer = client.send(ApiRequest("GET", address, path, headers = headers, trusted = trusted))
}
