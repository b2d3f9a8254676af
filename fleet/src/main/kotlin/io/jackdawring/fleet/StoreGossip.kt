package io.jackdawring.fleet

import io.jackdawring.fleet.peer.ItemMessage
import io.jackdawring.fleet.peer.PingMessage
import io.jackdawring.fleet.store.StoreItem
import io.jackdawring.fleet.store.StoreMirror

/** Exchanges the newest shard holders and configuration with peers, some of which may not reach the store. */
internal class StoreGossip(
    private val fleet: StoreMirror,
    private val configuration: StoreMirror,
) {
    /** A ping with the newest revisions that this instance knows. */
    fun createPing(
        sender: String,
        sentAtMillis: Long?,
    ) = PingMessage(sender, newest(holdings()), newest(configuration.items), sentAtMillis)

    /** Items with later revisions than the sender of [ping] knows. */
    fun itemsNewerThan(ping: PingMessage): List<ItemMessage> {
        val newHoldings = holdings().filter { it.revision > ping.fleetRevision }
        val newConfiguration = configuration.items.filter { it.revision > ping.configurationRevision }
        return (newHoldings + newConfiguration).map { ItemMessage(it.key, it.value.decodeToString(), it.revision) }
    }

    fun applyIfNewer(items: List<ItemMessage>) {
        for (item in items) {
            val mirror = if (item.key.startsWith(FleetKeys.ROOT)) fleet else configuration
            mirror.applyIfNewer(StoreItem(item.key, item.value.encodeToByteArray(), item.revision))
        }
    }

    private fun holdings(): List<StoreItem> = fleet.items.filter { it.key.startsWith(FleetKeys.SHARDS) }

    private fun newest(items: Collection<StoreItem>): Long = items.maxOfOrNull { it.revision } ?: 0
}
