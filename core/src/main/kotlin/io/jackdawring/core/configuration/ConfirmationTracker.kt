package io.jackdawring.core.configuration

import io.jackdawring.core.InstanceId
import io.jackdawring.core.InstanceList
import io.jackdawring.core.InstanceRole

/** Whether all entry instances have confirmed a published version. */
sealed interface Confirmation {
    /** Every listed entry instance, leaving ones included, has applied the version or a higher one. */
    data object Accepted : Confirmation

    /** The listed entry instances [names] have not confirmed; empty if the list names no entry instance at all. */
    data class Pending(
        val names: List<String>,
    ) : Confirmation
}

/** Collects the versions that entry instances report after the publication of [version]. */
class ConfirmationTracker(
    private val version: Long,
) {
    private val applied = HashMap<String, Long>()

    /** Records the latest report of [instanceId]; a restarted instance may report a lower version than before. */
    fun reported(
        instanceId: InstanceId,
        appliedVersion: Long,
    ) {
        applied[instanceId.value] = appliedVersion
    }

    /** State of the confirmations for the instances in [list]. */
    fun check(list: InstanceList): Confirmation {
        val entries = list.instances.filter { it.role == InstanceRole.ENTRY }.map { it.id }
        val missing = entries.filter { (applied[it] ?: 0) < version }.distinct().sorted()
        return if (entries.isEmpty() || missing.isNotEmpty()) Confirmation.Pending(missing) else Confirmation.Accepted
    }
}
