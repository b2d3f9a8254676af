package io.jackdawring.standins

import io.jackdawring.server.http.HttpServerOptions
import io.jackdawring.server.http.HttpTransport

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

    /** Stops at once, as a crash would: running tasks are cut off and the registration ends with its lease. */
    override fun close()
}

/** Starts a [StandInTarget] on the event loops of [transport], which stay open when it closes. */
fun startStandInTarget(
    options: StandInTargetOptions,
    transport: HttpTransport,
): StandInTarget {
    val http = transport.serverFactory(HttpServerOptions(maxConnections = options.connections))
    return RealStandInTarget(options, http, transport.client(), RealTimers(), System::currentTimeMillis)
}
