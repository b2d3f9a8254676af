package io.jackdawring.fleet

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardId

/** Finds shards whose failure domain has had no entry instance for a while. */
internal class AbandonedShards(
    private val self: FleetMember,
) {
    private val emptySince = HashMap<FailureDomainId, Long>()

    fun find(
        directory: FleetDirectory,
        nowMillis: Long,
    ): List<ShardId> {
        val inhabited =
            directory.members.values
                .map { it.failureDomain }
                .toSet() + self.failureDomain
        val empty = directory.holdings.keys.filterNot { it.failureDomain in inhabited }
        emptySince.keys.retainAll(empty.map { it.failureDomain }.toSet())
        return empty.filter { id -> nowMillis - emptySince.getOrPut(id.failureDomain) { nowMillis } >= EMPTY_MILLIS }
    }

    private companion object {
        /** After a loss of all instances, those of each failure domain are back and registered within this time. */
        const val EMPTY_MILLIS = 3_000L
    }
}
