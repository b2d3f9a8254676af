package io.jackdawring.load.bench

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.InstanceSnapshot
import io.jackdawring.core.ListedInstance
import io.jackdawring.load.ConfigurationWriter
import io.jackdawring.server.EntryServer
import io.jackdawring.server.SessionKey
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.http.HttpTransport
import io.jackdawring.server.serverOptions
import io.jackdawring.standins.StandInPlatform
import io.jackdawring.standins.standInPlatformOptions
import io.jackdawring.standins.startStandInPlatform
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.json.Json
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** A stand-in platform with the configuration of [store], and entry instances in this process, over loopback. */
internal class BenchFleet(
    transport: HttpTransport,
    store: ScriptedStore,
) : AutoCloseable {
    private val client = transport.client()
    private val entries = ArrayList<EntryServer>()
    val platform: StandInPlatform =
        startStandInPlatform(standInPlatformOptions { listen = "127.0.0.1:0" }, transport)

    init {
        ConfigurationWriter(client, platform.address).write(store.documents)
    }

    /** Registers [targets] without a lease. */
    fun registerTargets(targets: List<ListedInstance>) {
        val answers =
            targets.map { target ->
                val body = Json.encodeToString(ListedInstance.serializer(), target).encodeToByteArray()
                val headers = persistentMapOf("content-type" to "application/json")
                val answer = CompletableFuture<HttpResult>()
                val request = HttpRequestMessage("POST", "/instances", headers = headers, body = body)
                client.send(platform.address, request, LIMIT_MILLIS, answer::complete)
                answer
            }
        for (answer in answers) {
            val result = answer.get(LIMIT_MILLIS, TimeUnit.MILLISECONDS)
            val status = (result as? HttpResult.Answered)?.response?.status
            check(status != null && status < 300) { "the platform did not register a target: ${status ?: result}" }
        }
    }

    fun startEntry(index: Int): EntryServer {
        val options =
            serverOptions(InstanceId("entry-$index"), FailureDomainId("zone-${index % 7}")) {
                platformAddress = platform.address
                sessionKeys = listOf(SessionKey("k1", ByteArray(32) { 7 }))
            }
        return EntryServer.Default.start(options).also(entries::add)
    }

    /** Waits until each of [entries] knows the configuration, [targets] targets and the other instances. */
    fun awaitReady(
        entries: List<EntryServer>,
        targets: Int,
    ) {
        val endNanos = System.nanoTime() + LIMIT_MILLIS * 1_000_000
        while (true) {
            val missing = entries.firstNotNullOfOrNull { missing(it.snapshot(), entries.size - 1, targets) } ?: return
            check(System.nanoTime() < endNanos) { missing }
            Thread.sleep(20)
        }
    }

    private fun missing(
        snapshot: InstanceSnapshot,
        peers: Int,
        targets: Int,
    ): String? {
        val id = snapshot.self.instanceId.value
        return when {
            !snapshot.ready -> "$id is not ready"
            snapshot.targets.size < targets -> "$id knows ${snapshot.targets.size} of $targets targets"
            snapshot.members.size < peers -> "$id knows ${snapshot.members.size} of $peers peers"
            else -> null
        }
    }

    override fun close() {
        entries.forEach { it.close() }
        platform.close()
        client.close()
    }

    private companion object {
        const val LIMIT_MILLIS = 15_000L
    }
}
