package io.jackdawring.fleet

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardId

/** Finds shards whose failure domain has had no registered entry instance for [MIN_EMPTY_MILLIS]. */
internal class AbandonedShards(
    private val self: FleetMember,
) {
    private val emptySince = HashMap<FailureDomainId, Long>()

    fun find(
        directory: FleetDirectory,
        nowMillis: Long,
    ): List<ShardId> {
        val populated =
            directory.members.values
                .map { it.failureDomain }
                .toSet() + self.failureDomain
        val empty = directory.holdings.keys.filterNot { it.failureDomain in populated }
        emptySince.keys.retainAll(empty.map { it.failureDomain }.toSet())
        return empty.filter { id ->
            nowMillis - emptySince.getOrPut(id.failureDomain) { nowMillis } >= MIN_EMPTY_MILLIS
        }
    }

    private companion object {
        /** After all instances have crashed, those of each failure domain restart and register within this time. */
        const val MIN_EMPTY_MILLIS = 3_000L
    }
}
