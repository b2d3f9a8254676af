package io.jackdawring.standins.platform

import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.http.HttpTransport
import kotlinx.collections.immutable.persistentMapOf
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** A store, targets of one failure domain and a client on loopback, for demos and tests of entry instances. */
class StandInSite(
    targetCount: Int = 3,
    /** Bound in the settings within which an evacuation takes effect; null if evacuations are not used. */
    private val evacuateMillis: Long? = null,
) : AutoCloseable {
    /** Addresses of an entry instance as `ip:port`. */
    class Addresses(
        val callers: String,
        val ready: String,
        val peers: String,
        val metrics: String,
    )

    private val transport = HttpTransport(threads = 1, name = "standins")
    private val client = transport.client()
    val store = StandInPlatformStore(transport)
    val targets = List(targetCount) { StandInPlatformTarget("i-$it", transport) }

    /** Registers the targets and writes a configuration with one queue. */
    fun open() {
        targets.forEach { store.put("servers/${it.id}", it.registration(FAILURE_DOMAIN, "s")) }
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

    /** Requests as an operator that nothing starts in [failureDomain]; [base64] is the value of the request. */
    fun evacuate(
        failureDomain: String = FAILURE_DOMAIN,
        base64: String = "",
    ) = store.putEncoded("op/evacuate/$failureDomain", base64)

    fun withdrawEvacuation(failureDomain: String = FAILURE_DOMAIN) = store.remove("op/evacuate/$failureDomain")

    fun newAddresses() = Addresses(freeAddress(), freeAddress(), freeAddress(), freeAddress())

    private fun freeAddress() = ServerSocket(0).use { "127.0.0.1:${it.localPort}" }

    /** The settings file of an entry instance. */
    fun settings(
        name: String,
        addresses: Addresses,
        failureDomain: String = FAILURE_DOMAIN,
        storeAddress: String = store.address,
    ): String =
        """
        nodeName = "$name"
        zone = "$failureDomain"
        portRange = [${addresses.metrics.substringAfter(':')}]
        [listen]
        front = "${addresses.callers}"
        ready = "${addresses.ready}"
        control = "${addresses.peers}"
        [platform]
        address = "$storeAddress"
        ${evacuateMillis?.let { "[bounds]\nevacuateMs = $it" }.orEmpty()}
        """.trimIndent()

    /** Waits until the entry instance is ready. */
    fun awaitReady(addresses: Addresses) {
        repeat(READY_TRIES) {
            if (send(addresses.ready, HttpRequestMessage("GET", "/v1/ready")).status == OK) return
            Thread.sleep(READY_POLL_MILLIS)
        }
        error("${addresses.ready} is not ready")
    }

    /**
     * Submits a job of three tasks under the id [number] and returns the status of the response, 0 for none.
     *
     * A [durable] job is stored and runs after the response.
     */
    fun submit(
        addresses: Addresses,
        number: Int,
        prefix: String = "/p/",
        durable: Boolean = false,
    ): Int {
        val body = """{"spec":"t","steps":[{"count":3,"cpu":1000,"estimateMs":30}],"bestEffort":${!durable}}"""
        return send(addresses.callers, request("POST", prefix, number, body)).status
    }

    /** Requests the state of the durable job [number]. */
    fun state(
        addresses: Addresses,
        number: Int,
    ): Answer = send(addresses.callers, request("GET", "/p/", number))

    /** Cancels the durable job [number]. */
    fun cancel(
        addresses: Addresses,
        number: Int,
    ): Answer = send(addresses.callers, request("DELETE", "/p/", number))

    /** Requests the number of jobs that have not started. */
    fun pending(addresses: Addresses): Answer =
        send(addresses.callers, HttpRequestMessage("GET", "/p/", headers = persistentMapOf("host" to HOST)))

    private fun request(
        method: String,
        prefix: String,
        number: Int,
        body: String = "",
    ) = HttpRequestMessage(
        method,
        "$prefix%016x".format(number),
        headers = persistentMapOf("host" to HOST, "x-deadline-ms" to "5000"),
        body = body.encodeToByteArray(),
    )

    /** Response of an entry instance; [status] is 0 if there was none. */
    data class Answer(
        val status: Int,
        val body: String,
    )

    private fun send(
        address: String,
        request: HttpRequestMessage,
    ): Answer {
        val answer = CompletableFuture<Answer>()
        client.send(address, request, TIMEOUT_MILLIS) { result ->
            val response = (result as? HttpResult.Answered)?.response
            answer.complete(Answer(response?.status ?: 0, response?.body?.decodeToString().orEmpty()))
        }
        return answer.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
    }

    override fun close() = transport.close()

    companion object {
        /** Status of a job that is complete or stored, and of an instance that is ready. */
        const val OK = 200

        /** Status of a job whose queue is not configured. */
        const val NO_QUEUE = 404

        /** Status of a job that has not run. */
        const val NOT_RUN = 503

        /** Status of a durable job that does not exist. */
        const val GONE = 410
        const val FAILURE_DOMAIN = "a"
        private const val HOST = "h.example"
        private const val TIMEOUT_MILLIS = 10_000L
        private const val READY_POLL_MILLIS = 20L
        private const val READY_TRIES = 1_000
    }
}
