package io.jackdawring.fleet

import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardElection
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.fleet.store.StoreMirror

/**
 * Finds shards of other failure domains with durable jobs whose holder is silent and has lost its ownership.
 *
 * Another entry instance of the failure domain would have claimed such a shard long before.
 */
internal class LapsedOwnerships(
    private val self: FleetMember,
    private val mirror: StoreMirror,
    private val election: ShardElection,
) {
    /** Revisions of the holders whose ownership was seen in the store. */
    private val owners = HashMap<ShardId, Long>()
    private val lapsedSince = HashMap<ShardId, Long>()

    /** The shards to claim; only an instance that [isHolder] pings the holders of other failure domains. */
    fun find(
        directory: FleetDirectory,
        isHolder: Boolean,
        nowMillis: Long,
    ): List<ShardId> {
        val others = directory.holdings.values.filter { it.shardId.failureDomain != self.failureDomain }
        owners.keys.retainAll(others.map { it.shardId }.toSet())
        val lapsed =
            others.filter { hasLapsed(it) && isHolder && election.isSuspected(it, nowMillis) }.map { it.shardId }
        lapsedSince.keys.retainAll(lapsed.toSet())
        return lapsed.filter { nowMillis - lapsedSince.getOrPut(it) { nowMillis } >= MIN_LAPSED_MILLIS }
    }

    private fun hasLapsed(holding: ShardHolding): Boolean {
        val isOwner = mirror[FleetKeys.ownership(holding.shardId, holding.revision)] != null
        if (isOwner) owners[holding.shardId] = holding.revision
        return !isOwner && owners[holding.shardId] == holding.revision
    }

    private companion object {
        /** Time in which an instance of the failure domain that has just started claims its shard. */
        const val MIN_LAPSED_MILLIS = 1_000L
    }
}
