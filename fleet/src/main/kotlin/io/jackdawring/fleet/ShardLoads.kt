package io.jackdawring.fleet

import io.jackdawring.core.fleet.ShardId
import io.jackdawring.fleet.peer.LoadMessage

/** Last reported loads of the shards; confined to the control thread. */
internal class ShardLoads(
    private val loop: ControlLoop,
) {
    private class Load(
        val percents: Map<String, Int>,
        val atMillis: Long,
    )

    private val loads = HashMap<ShardId, Load>()

    /** Records the load of [shardId] by service as it was [ageMillis] ago, unless a newer one is known. */
    fun applyIfNewer(
        shardId: ShardId,
        percents: Map<String, Int>,
        ageMillis: Long,
    ) {
        val atMillis = loop.nowMillis() - ageMillis
        if ((loads[shardId]?.atMillis ?: Long.MIN_VALUE) < atMillis) loads[shardId] = Load(percents, atMillis)
    }

    fun applyIfNewer(messages: List<LoadMessage>) =
        messages.forEach { applyIfNewer(it.shardId, it.percents, it.ageMillis) }

    /** The loads that are recent enough to be sent to peers. */
    fun messages(): List<LoadMessage> {
        val now = loop.nowMillis()
        return loads
            .filterValues { now - it.atMillis < LIFETIME_MILLIS }
            .map { (shardId, load) -> LoadMessage(shardId, load.percents, now - load.atMillis) }
    }

    /** Load of [service] at [shardId] in percent, over 100 with a backlog; null if it is unknown or outdated. */
    fun percent(
        shardId: ShardId,
        service: String,
    ): Int? = loads[shardId]?.takeIf { loop.nowMillis() - it.atMillis < LIFETIME_MILLIS }?.percents?.get(service)

    private companion object {
        /** A few intervals of the pings that carry the loads; with sub-second tasks, older loads say little. */
        const val LIFETIME_MILLIS = 600L
    }
}
