package io.jackdawring.standins

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceRole
import io.jackdawring.core.ListedInstance
import io.jackdawring.core.ListedState
import io.jackdawring.server.http.HttpClient
import io.jackdawring.server.http.HttpRequestMessage
import kotlinx.collections.immutable.persistentMapOf

/** Keeps a target registered with the platform until [close]. */
internal class TargetRegistration(
    private val options: StandInTargetOptions,
    private val address: String,
    private val farAddress: String?,
    private val client: HttpClient,
    private val timers: Timers,
) : AutoCloseable {
    @Volatile
    private var closed = false

    fun start() {
        if (options.platformAddress != null) renew()
    }

    /** Reports to the platform whether the target is leaving. */
    fun announce(leaving: Boolean) {
        val state = if (leaving) ListedState.LEAVING else ListedState.LIVE
        val body = messageJson.encodeToString(StateBody.serializer(), StateBody(state))
        send("PATCH", "/instances/${options.id}", body)
    }

    override fun close() {
        closed = true
    }

    private fun renew() {
        if (closed) return
        val body = messageJson.encodeToString(ListedInstance.serializer(), listedInstance())
        send("POST", "/instances", body)
        timers.schedule(options.heartbeatMillis, ::renew)
    }

    private fun send(
        method: String,
        path: String,
        body: String,
    ) {
        val platformAddress = options.platformAddress ?: return
        var query = persistentMapOf("leaseMillis" to options.leaseMillis.toString())
        farAddress?.let { query = query.put("farAddress", it) }
        val request = HttpRequestMessage(method, path, query, JSON_HEADERS, body.encodeToByteArray())
        // A failed call is not retried: the next renewal replaces it.
        client.send(platformAddress, request, options.heartbeatMillis) {}
    }

    private fun listedInstance(): ListedInstance =
        ListedInstance(
            id = options.id,
            role = InstanceRole.TARGET,
            failureDomain = FailureDomainId(options.failureDomain),
            address = address,
            slots = options.slots,
            connections = options.connections,
            memoryMb = options.memoryMb,
            accelerators = options.accelerators,
            services = options.services,
        )
}
