package io.jackdawring.fleet

import io.jackdawring.fleet.peer.ItemMessage
import io.jackdawring.fleet.peer.PingMessage
import io.jackdawring.fleet.store.StoreItem
import io.jackdawring.fleet.store.StoreMirror

/** Passes the newest holders and configuration on between peers, some of which the store may not answer. */
internal class FleetNews(
    private val fleet: StoreMirror,
    private val configuration: StoreMirror,
) {
    /** A ping that says what this instance knows. */
    fun question(sender: String) = PingMessage(sender, newest(holdings()), newest(configuration.items))

    /** What is known here and newer than what the sender of [ping] knows. */
    fun after(ping: PingMessage): List<ItemMessage> {
        val newHoldings = holdings().filter { it.revision > ping.fleetRevision }
        val newConfiguration = configuration.items.filter { it.revision > ping.configurationRevision }
        return (newHoldings + newConfiguration).map { ItemMessage(it.key, it.value.decodeToString(), it.revision) }
    }

    fun learn(news: List<ItemMessage>) {
        for (item in news) {
            val mirror = if (item.key.startsWith(FleetKeys.ROOT)) fleet else configuration
            mirror.learn(StoreItem(item.key, item.value.encodeToByteArray(), item.revision))
        }
    }

    private fun holdings(): List<StoreItem> = fleet.items.filter { it.key.startsWith(FleetKeys.SHARDS) }

    private fun newest(items: Collection<StoreItem>): Long = items.maxOfOrNull { it.revision } ?: 0
}
