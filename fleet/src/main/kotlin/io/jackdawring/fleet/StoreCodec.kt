package io.jackdawring.fleet

import io.jackdawring.core.routing.RoutingConfiguration
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.fleet.store.StoreItem

/** Decodes what the platform and its operators write to the store. */
interface StoreCodec {
    /** Prefix of the keys of targets. */
    val targetPrefix: String

    /** Key of the newest configuration. */
    val configurationKey: String

    /** The target in [item], or null if the item describes none that can be used. */
    fun decodeTarget(item: StoreItem): ShardTarget?

    /** The configuration in [item], or null if it cannot be read. */
    fun decodeConfiguration(item: StoreItem): RoutingConfiguration?
}
