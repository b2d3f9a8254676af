package io.jackdawring.standins

import java.nio.file.Path

/** Immutable settings of one [StandInTarget]. */
class StandInTargetOptions private constructor(
    val id: String,
    val failureDomain: String,
    val listen: String,
    val platformAddress: String?,
    val slots: Int,
    val connections: Int,
    val memoryMb: Int,
    val accelerators: Int,
    val services: List<String>,
    val seed: Long,
    val modes: TargetModes,
    val startLogFile: Path?,
    val farOneWayMillis: Long,
    val heartbeatMillis: Long,
    val leaseMillis: Long,
) {
    /** Builds [StandInTargetOptions]. */
    class Builder(
        private val id: String,
        private val failureDomain: String,
    ) {
        var listen: String = "127.0.0.1:0"

        /** Platform to register with, `ip:port`, or null to stay unregistered. */
        var platformAddress: String? = null
        var slots: Int = 8

        /** Connections that the target accepts; further ones are refused as busy and closed. */
        var connections: Int = 60
        var memoryMb: Int = 65_536
        var accelerators: Int = 0

        /** Services that the platform lists for the target; entry instances send it tasks of these services only. */
        var services: List<String> = emptyList()

        /** Seed for choosing the stragglers. */
        var seed: Long = 1
        var modes: TargetModes = TargetModes()

        /** File that receives the start log as JSON lines, or null. */
        var startLogFile: Path? = null

        /**
         * Time by which messages from and to callers in other failure domains are delayed, to simulate network latency.
         *
         * Above 0 the target has a second listener for them, with a separate connection limit; the platform lists its
         * address to viewers in other failure domains.
         */
        var farOneWayMillis: Long = 0

        /** Interval at which the registration is renewed; well below [leaseMillis], so that one renewal may be lost. */
        var heartbeatMillis: Long = 3_000
        var leaseMillis: Long = 10_000

        fun build(): StandInTargetOptions =
            StandInTargetOptions(
                id = id,
                failureDomain = failureDomain,
                listen = listen,
                platformAddress = platformAddress,
                slots = slots,
                connections = connections,
                memoryMb = memoryMb,
                accelerators = accelerators,
                services = services.toList(),
                seed = seed,
                modes = modes,
                startLogFile = startLogFile,
                farOneWayMillis = farOneWayMillis,
                heartbeatMillis = heartbeatMillis,
                leaseMillis = leaseMillis,
            )
    }
}

/** Builds [StandInTargetOptions] from [block]. */
fun standInTargetOptions(
    id: String,
    failureDomain: String,
    block: StandInTargetOptions.Builder.() -> Unit = {},
): StandInTargetOptions = StandInTargetOptions.Builder(id, failureDomain).apply(block).build()
