package io.jackdawring.load

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.server.EntryServer
import io.jackdawring.server.SessionKey
import io.jackdawring.server.http.HttpTransport
import io.jackdawring.server.serverOptions
import io.jackdawring.standins.StandInPlatform
import io.jackdawring.standins.StandInTarget
import io.jackdawring.standins.standInPlatformOptions
import io.jackdawring.standins.standInTargetOptions
import io.jackdawring.standins.startStandInPlatform
import io.jackdawring.standins.startStandInTarget
import java.security.SecureRandom

/** A stand-in platform, stand-in targets and entry instances in this process, connected over loopback. */
internal class LocalFleet(
    private val options: FleetOptions,
    private val transport: HttpTransport,
    entryServers: EntryServer.Factory,
) : AutoCloseable {
    // Closed in reverse order, also after a failed start.
    private val started = ArrayList<AutoCloseable>()

    val platform: StandInPlatform
    val targets: List<StandInTarget>
    val entries: List<EntryServer>

    init {
        try {
            platform = startStandInPlatform(platformOptions(), transport).also(started::add)
            if (options.documents.isNotEmpty()) {
                transport.client().use { ConfigurationWriter(it, platform.address).write(options.documents) }
            }
            targets = List(options.targets) { index -> startTarget(index).also(started::add) }
            val key = SessionKey("k1", ByteArray(KEY_BYTES).also(SecureRandom()::nextBytes))
            entries =
                List(options.failureDomains * options.entriesPerDomain) { index ->
                    entryServers.start(entryOptions(index, key)).also(started::add)
                }
        } catch (e: IllegalStateException) {
            close()
            throw e
        }
    }

    /** Waits until all entry instances know the configuration, targets and peers; returns what is missing, or null. */
    fun awaitReady(timeoutMillis: Long): String? {
        val endNanos = System.nanoTime() + timeoutMillis * NANOS_PER_MILLI
        while (true) {
            val missing = missing() ?: return null
            if (System.nanoTime() >= endNanos) return missing
            Thread.sleep(POLL_MILLIS)
        }
    }

    override fun close() {
        started.asReversed().forEach { it.close() }
        started.clear()
    }

    private fun missing(): String? {
        entries.forEachIndexed { index, entry ->
            val snapshot = entry.snapshot()
            val live = snapshot.members.count { it.state.equals(LIVE, ignoreCase = true) }
            if (!snapshot.ready) return "entry instance ${entryId(index)} is not ready"
            if (snapshot.targets.size < options.targets) {
                return "entry instance ${entryId(index)} knows ${snapshot.targets.size} of ${options.targets} targets"
            }
            if (live < entries.size - 1) {
                return "entry instance ${entryId(index)} knows $live of ${entries.size - 1} peers"
            }
        }
        return null
    }

    private fun platformOptions() =
        standInPlatformOptions {
            listen = ANY_PORT
            views = List(options.failureDomains, ::domain)
        }

    private fun startTarget(index: Int): StandInTarget =
        startStandInTarget(
            standInTargetOptions("t${index + 1}", domain(index)) {
                platformAddress = platform.address
                slots = options.slots
                connections = options.connections
                services = options.documents.flatMap { document -> document.services.map { it.service } }
                modes = options.targetModes(index)
                seed = index.toLong()
                farOneWayMillis = options.domainOneWayMillis
            },
            transport,
        )

    private fun entryOptions(
        index: Int,
        key: SessionKey,
    ) = serverOptions(InstanceId(entryId(index)), FailureDomainId(domain(index))) {
        platformAddress = platform.addressFor(domain(index))
        sessionKeys = listOf(key)
        targetPolicy = options.targetPolicy
    }

    private fun entryId(index: Int): String = "e${index + 1}"

    private fun domain(index: Int): String = ('a' + index % options.failureDomains).toString()

    private companion object {
        const val ANY_PORT = "127.0.0.1:0"
        const val KEY_BYTES = 32
        const val POLL_MILLIS = 20L
        const val NANOS_PER_MILLI = 1_000_000L
        const val LIVE = "live"
    }
}
