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

    /** Prefix of all keys that operators write, [configurationKey] among them. */
    val operatorPrefix: String

    /** Prefix of the keys that request evacuations; the name of the failure domain follows. */
    val evacuationPrefix: String

    /** The target in [item], or null if the item is malformed or the target is in an unknown state. */
    fun decodeTarget(item: StoreItem): ShardTarget?

    /** The configuration in [item], or null if the item is malformed. */
    fun decodeConfiguration(item: StoreItem): RoutingConfiguration?
}
