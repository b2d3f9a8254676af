package io.jackdawring.standins

import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.HttpServerOptions
import io.jackdawring.server.http.HttpTransport
import kotlinx.collections.immutable.persistentMapOf
import java.util.concurrent.atomic.AtomicLong

/** A target as an HTTP server whose tasks are timers, with switchable faults and a log of its starts. */
interface StandInTarget : AutoCloseable {
    val id: String

    /** Bound address as `ip:port`. */
    val address: String

    /** Modes in force. */
    val modes: TargetModes

    /** Switches modes; the same as `POST /control`. */
    fun control(change: TargetModeChange)

    /** Accepted starts in order; the same as `GET /starts`. */
    fun starts(): List<TaskStart>

    /** The same as `GET /counts`. */
    fun counts(): TargetCounts

    /** Stops immediately, like a crash: running tasks are aborted and the registration ends when its lease expires. */
    override fun close()
}

/** Starts a [StandInTarget] on the event loops of [transport], which stay open when it closes. */
fun startStandInTarget(
    options: StandInTargetOptions,
    transport: HttpTransport,
): StandInTarget {
    val refusedConnections = AtomicLong()
    val serverOptions =
        HttpServerOptions(
            maxConnections = options.connections,
            rejection = { status, detail, _ ->
                // 503 means that a limit of the server rejected the request before the handler, so no task has started.
                val headers = if (status == 503) persistentMapOf("jackdaw-not-started" to "busy") else persistentMapOf()
                if (status == 503) refusedConnections.incrementAndGet()
                HttpResponseMessage(status, headers, detail.encodeToByteArray())
            },
        )
    val http = transport.serverFactory(serverOptions)
    val timers = RealTimers()
    return RealStandInTarget(options, http, transport.client(), timers, System::currentTimeMillis, refusedConnections)
}
