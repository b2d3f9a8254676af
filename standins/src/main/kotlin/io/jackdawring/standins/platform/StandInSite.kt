package io.jackdawring.standins.platform

import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.http.HttpTransport
import kotlinx.collections.immutable.persistentMapOf
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** A store, targets of one failure domain and callers on loopback, for demos and tests of entry instances. */
class StandInSite(
    targets: Int = 3,
) : AutoCloseable {
    /** Addresses of an entry instance as `ip:port`. */
    class Addresses(
        val callers: String,
        val ready: String,
        val peers: String,
    )

    private val transport = HttpTransport(threads = 1, name = "standins")
    private val client = transport.client()
    val store = StandInPlatformStore(transport)
    val workers = List(targets) { StandInWorker("i-$it", transport) }

    /** Registers the targets and writes a configuration with one queue. */
    fun open() {
        workers.forEach { store.put("servers/${it.id}", it.registration(FAILURE_DOMAIN, "s")) }
        configure(version = 1, prefix = "/p/")
    }

    /** Writes a configuration with one queue under [prefix]. */
    fun configure(
        version: Int,
        prefix: String,
    ) = store.put(
        "op/config",
        """{"version":$version,"routes":[{"name":"q","host":"$HOST","prefix":"$prefix","service":"s",""" +
            """"timeoutMs":1500,"sloLatencyMs":500,"priority":0,"maxAttempts":4,"stretch":1.6}]}""",
    )

    fun newAddresses() = Addresses(freeAddress(), freeAddress(), freeAddress())

    private fun freeAddress() = ServerSocket(0).use { "127.0.0.1:${it.localPort}" }

    /** The settings file of an entry instance. */
    fun settings(
        name: String,
        addresses: Addresses,
    ): String =
        """
        nodeName = "$name"
        zone = "$FAILURE_DOMAIN"
        [listen]
        front = "${addresses.callers}"
        ready = "${addresses.ready}"
        control = "${addresses.peers}"
        [platform]
        address = "${store.address}"
        """.trimIndent()

    /** Waits until the entry instance reports itself ready. */
    fun awaitReady(addresses: Addresses) {
        repeat(READY_TRIES) {
            if (send(addresses.ready, HttpRequestMessage("GET", "/v1/ready")) == OK) return
            Thread.sleep(READY_POLL_MILLIS)
        }
        error("${addresses.ready} is not ready")
    }

    /** Submits a job of three tasks under the id [number] and returns the status of its answer, 0 for none. */
    fun submit(
        addresses: Addresses,
        number: Int,
        prefix: String = "/p/",
    ): Int =
        send(
            addresses.callers,
            HttpRequestMessage(
                "POST",
                "$prefix%016x".format(number),
                headers = persistentMapOf("host" to HOST, "x-deadline-ms" to "5000"),
                body =
                    """{"spec":"t","steps":[{"count":3,"cpu":1000,"estimateMs":30}],"bestEffort":true}"""
                        .encodeToByteArray(),
            ),
        )

    private fun send(
        address: String,
        request: HttpRequestMessage,
    ): Int {
        val status = CompletableFuture<Int>()
        client.send(address, request, TIMEOUT_MILLIS) { result ->
            status.complete((result as? HttpResult.Answered)?.response?.status ?: 0)
        }
        return status.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
    }

    override fun close() = transport.close()

    companion object {
        /** Status of a job that is complete. */
        const val OK = 200

        /** Status of a job whose queue is not configured. */
        const val NO_QUEUE = 404

        /** Status of a job that has not run. */
        const val NOT_RUN = 503
        const val FAILURE_DOMAIN = "a"
        private const val HOST = "h.example"
        private const val TIMEOUT_MILLIS = 10_000L
        private const val READY_POLL_MILLIS = 20L
        private const val READY_TRIES = 1_000
    }
}
