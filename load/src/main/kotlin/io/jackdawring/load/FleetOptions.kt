package io.jackdawring.load

import io.jackdawring.core.TargetPolicy
import io.jackdawring.core.configuration.TeamDocument
import io.jackdawring.standins.TargetModes

/** Immutable settings of one [LocalFleet]; domains are named a, b, c and so on, and instances are spread evenly. */
class FleetOptions private constructor(
    val failureDomains: Int,
    val entriesPerDomain: Int,
    val targets: Int,
    val slots: Int,
    val connections: Int,
    val documents: List<TeamDocument>,
    val targetPolicy: TargetPolicy,
    val targetModes: (index: Int) -> TargetModes,
    val domainOneWayMillis: Long,
) {
    /** Builds [FleetOptions]. */
    class Builder {
        var failureDomains: Int = 2
        var entriesPerDomain: Int = 2
        var targets: Int = 6
        var slots: Int = 8
        var connections: Int = 60
        var documents: List<TeamDocument> = emptyList()
        var targetPolicy: TargetPolicy = TargetPolicy.AdaptiveWindow

        /** Modes of the target with the given index. */
        var targetModes: (index: Int) -> TargetModes = { TargetModes() }

        /** One-way latency between targets and entry instances of different failure domains. */
        var domainOneWayMillis: Long = 0

        fun build(): FleetOptions =
            FleetOptions(
                failureDomains = failureDomains,
                entriesPerDomain = entriesPerDomain,
                targets = targets,
                slots = slots,
                connections = connections,
                documents = documents.toList(),
                targetPolicy = targetPolicy,
                targetModes = targetModes,
                domainOneWayMillis = domainOneWayMillis,
            )
    }
}

/** Builds [FleetOptions] from [block]. */
fun fleetOptions(block: FleetOptions.Builder.() -> Unit = {}): FleetOptions =
    FleetOptions.Builder().apply(block).build()
