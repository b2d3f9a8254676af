package io.jackdawring.load

import io.jackdawring.core.configuration.ConfigurationHead
import io.jackdawring.core.configuration.TeamDocument
import io.jackdawring.server.http.HttpClient
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResult
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.security.MessageDigest
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Writes the initial configuration into an empty store. */
internal class ConfigurationWriter(
    private val client: HttpClient,
    private val platformAddress: String,
) {
    /** Writes [documents] as version 1; fails with [IllegalStateException] if the store does not accept them. */
    fun write(documents: List<TeamDocument>) {
        val hashes = documents.associate { it.team to writeDocument(it) }
        val head = ConfigurationHead(version = 1, publishId = "load", publisher = "load", documents = hashes)
        val text = Json.encodeToString(ConfigurationHead.serializer(), head)
        put(
            "config/head",
            buildJsonObject {
                put("value", text)
                put("expectedRevision", 0)
            },
        )
    }

    private fun writeDocument(document: TeamDocument): String {
        val text = Json.encodeToString(TeamDocument.serializer(), document)
        val digest = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
        val hash = digest.joinToString("") { "%02x".format(it) }
        put("config/doc/$hash", buildJsonObject { put("value", text) })
        return hash
    }

    private fun put(
        key: String,
        body: JsonObject,
    ) {
        val headers = persistentMapOf("content-type" to "application/json")
        val request =
            HttpRequestMessage("PUT", "/kv/$key", headers = headers, body = body.toString().encodeToByteArray())
        val answer = CompletableFuture<HttpResult>()
        client.send(platformAddress, request, TIMEOUT_MILLIS, answer::complete)
        val result = answer.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        val status = (result as? HttpResult.Answered)?.response?.status
        check(status == 200) { "the store did not accept key \"$key\": ${status ?: result}" }
    }

    private companion object {
        const val TIMEOUT_MILLIS = 2_000L
    }
}
