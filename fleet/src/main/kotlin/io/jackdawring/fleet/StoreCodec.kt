package io.jackdawring.fleet

import io.jackdawring.core.routing.RoutingConfiguration
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.fleet.store.StoreItem

/** Decodes the store items that are written by the platform and its operators. */
interface StoreCodec {
    /** Key prefix of targets. */
    val targetPrefix: String

    /** Key of the current configuration. */
    val configurationKey: String

    /** The target in [item], or null if the item is malformed or the target is in an unknown state. */
    fun decodeTarget(item: StoreItem): ShardTarget?

    /** The configuration in [item], or null if the item is malformed. */
    fun decodeConfiguration(item: StoreItem): RoutingConfiguration?
}
