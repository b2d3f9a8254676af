package io.jackdawring.standins

import io.jackdawring.server.http.HttpTransport

/** The platform's store and instance list as an HTTP server, with switchable faults and counted calls. */
interface StandInPlatform : AutoCloseable {
    /** Bound address as `ip:port`. */
    val address: String

    /** Address as `ip:port` for clients in [failureDomain]; [address] if the options have no view for it. */
    fun addressFor(failureDomain: String): String

    /** Faults in force; the same as `PUT /faults`. */
    var faults: PlatformFaults

    /** Calls so far; the same as `GET /counts`. */
    fun counts(): PlatformCounts

    override fun close()
}

/** Starts a [StandInPlatform] on the event loops of [transport], which stay open when it closes. */
fun startStandInPlatform(
    options: StandInPlatformOptions,
    transport: HttpTransport,
): StandInPlatform = RealStandInPlatform(options, transport.serverFactory(), RealTimers())
