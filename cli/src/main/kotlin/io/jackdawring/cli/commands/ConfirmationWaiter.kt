package io.jackdawring.cli.commands

import io.jackdawring.cli.CommandContext
import io.jackdawring.cli.client.ApiAnswer
import io.jackdawring.cli.client.OperatorClient
import io.jackdawring.cli.client.PlatformClient
import io.jackdawring.core.InstanceId
import io.jackdawring.core.configuration.Confirmation
import io.jackdawring.core.configuration.ConfirmationTracker
import io.jackdawring.server.operator.StatusDocument
import kotlinx.serialization.SerializationException

/**
 * Waits until every listed entry instance reports a configuration version.
 *
 * The versions come from the status documents of the given entry instances, which receive those of the other instances
 * by gossip.
 */
internal class ConfirmationWaiter(
    private val context: CommandContext,
    private val platform: PlatformClient,
    private val operators: OperatorClient,
) {
    fun await(
        version: Long,
        waitMillis: Long,
    ): Confirmation {
        val tracker = ConfirmationTracker(version)
        val endMillis = context.clock.nowMillis() + waitMillis
        while (true) {
            operators.addresses.forEach { collect(tracker, it) }
            val confirmation = platform.instances()?.let { tracker.check(it) } ?: Confirmation.Pending(emptyList())
            if (confirmation == Confirmation.Accepted || context.clock.nowMillis() >= endMillis) return confirmation
            context.clock.sleep(POLL_INTERVAL_MILLIS)
        }
    }

    private fun collect(
        tracker: ConfirmationTracker,
        address: String,
    ) {
        val answer = operators.get(address, "/v1/status") as? ApiAnswer.Answered
        if (answer == null || answer.status != STATUS_OK) return
        val status =
            try {
                StatusDocument.parse(answer.body)
            } catch (_: SerializationException) {
                return
            }
        tracker.reported(InstanceId(status.self.instanceId), status.configurationVersion)
        status.members
            .filter { it.instanceId != status.self.instanceId }
            .forEach { tracker.reported(InstanceId(it.instanceId), it.configurationVersion) }
    }

    private companion object {
        // Digests are a second apart by default, so more frequent polling would gain little.
        const val POLL_INTERVAL_MILLIS = 200L
        const val STATUS_OK = 200
    }
}
