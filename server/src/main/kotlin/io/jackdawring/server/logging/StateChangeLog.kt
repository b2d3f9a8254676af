package io.jackdawring.server.logging

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.Owner
import io.jackdawring.core.StateChange
import io.jackdawring.server.metrics.ServerMetrics

private val logger = KotlinLogging.logger("io.jackdawring.state")

/** Counts and logs state changes, one line each; confined to the control thread. */
internal class StateChangeLog(
    private val self: Owner,
    private val metrics: ServerMetrics,
) {
    private var configurationVersion = 0L

    fun report(change: StateChange) {
        if (change is StateChange.ConfigurationApplied) configurationVersion = change.version
        metrics.stateChanged(change)
        logger.atInfo {
            message = describe(change)
            payload =
                mapOf(
                    "instance" to self.instanceId.value,
                    "failureDomain" to self.failureDomain.value,
                    "configurationVersion" to configurationVersion,
                )
        }
    }
}

internal fun describe(change: StateChange): String =
    when (change) {
        is StateChange.ConfigurationApplied -> {
            "configuration version ${change.version} is in force"
        }

        is StateChange.ConfigurationRejected -> {
            "configuration version ${change.version} was not applied: ${change.reason}"
        }

        is StateChange.MemberChanged -> {
            "entry instance ${change.instanceId.value} is ${change.state}"
        }

        is StateChange.TargetChanged -> {
            "target ${change.targetId.value} is ${change.state}"
        }

        is StateChange.DrainStarted -> {
            "shutdown started with ${change.requestsInProgress} requests in progress"
        }

        is StateChange.RecordsHandedOver -> {
            "handed over ${change.records} records to ${change.successor.value}"
        }

        is StateChange.StoreReachable -> {
            if (change.reachable) "the store is reachable" else "the store is unreachable"
        }
    }
