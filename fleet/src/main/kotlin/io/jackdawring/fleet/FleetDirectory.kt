package io.jackdawring.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.fleet.peer.peerJson
import io.jackdawring.fleet.store.StoreItem
import io.jackdawring.fleet.store.StoreMirror
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject

private val logger = KotlinLogging.logger("io.jackdawring.fleet")

/** Members and shard holders according to the store; confined to the control thread. */
internal class FleetDirectory {
    var members: ImmutableMap<String, FleetMember> = persistentMapOf()
        private set
    var holdings: ImmutableMap<ShardId, ShardHolding> = persistentMapOf()
        private set

    fun update(mirror: StoreMirror) {
        val memberItems = mirror.items.filter { it.key.startsWith(FleetKeys.MEMBERS) }
        members = memberItems.mapNotNull { decodeMember(it) }.associateBy { it.instanceId.value }.toImmutableMap()
        val found = mirror.items.mapNotNull(::decodeHolding).associateBy { it.shardId }
        found.values.filter { holdings[it.shardId]?.revision != it.revision }.forEach { holding ->
            logger.info {
                "shard ${FleetKeys.shard(
                    holding.shardId,
                )} is held by ${holding.holder.instanceId.value}, fencing token ${holding.revision}"
            }
        }
        holdings = found.toImmutableMap()
    }

    /** The shards of [domain]; currently always one, whatever the number of targets. */
    fun shardsOf(domain: FailureDomainId): List<ShardId> = listOf(ShardId(domain, 0))

    private fun decodeHolding(item: StoreItem): ShardHolding? {
        if (!item.key.startsWith(FleetKeys.SHARDS)) return null
        val parts = item.key.removePrefix(FleetKeys.SHARDS).split('/')
        val number = parts.lastOrNull()?.toIntOrNull()
        val holder = decodeMember(item)
        if (parts.size != SHARD_KEY_PARTS || number == null || holder == null) return null
        val id = ShardId(FailureDomainId(parts.first()), number)
        return ShardHolding(id, holder, item.revision, decodeCutOffRevision(item))
    }

    /** As [ShardHolding.cutOffRevision]; if it cannot be read, all earlier holders may be cut off. */
    private fun decodeCutOffRevision(item: StoreItem): Long? {
        val history = decode(item, HoldingHistory.serializer()) ?: HoldingHistory(item.revision)
        return history.cutOffRevision?.coerceAtMost(item.revision - 1)
    }

    private fun decodeMember(item: StoreItem): FleetMember? = decode(item, FleetMember.serializer())

    private fun <T> decode(
        item: StoreItem,
        type: DeserializationStrategy<T>,
    ): T? =
        try {
            peerJson.decodeFromString(type, item.value.decodeToString())
        } catch (e: SerializationException) {
            logger.warn { "store item ${item.key} at revision ${item.revision} is not valid: ${e.message}" }
            null
        }

    private companion object {
        const val SHARD_KEY_PARTS = 2
    }
}

/** Keys in the platform's store that every entry instance mirrors. */
internal object FleetKeys {
    const val ROOT = "jackdawring/"
    const val MEMBERS = "jackdawring/members/"
    const val SHARDS = "jackdawring/shards/"
    private const val OWNERSHIPS = "jackdawring/ownerships/"

    fun member(instanceId: String) = "$MEMBERS$instanceId"

    /** Prefix of the keys of [ownership] for all holders of the shard [id]. */
    fun ownerships(id: ShardId) = "$OWNERSHIPS${id.failureDomain.value}/${id.number}/"

    /** Key of the holder at [revision] while it may run durable jobs. */
    fun ownership(
        id: ShardId,
        revision: Long,
    ) = ownerships(id) + revision

    fun shard(id: ShardId) = "$SHARDS${id.failureDomain.value}/${id.number}"
}

internal fun FleetMember.encode(): ByteArray =
    peerJson.encodeToString(FleetMember.serializer(), this).encodeToByteArray()

/** Value of the key of a shard that this member claims; see [ShardHolding.cutOffRevision]. */
internal fun FleetMember.encodeClaim(cutOffRevision: Long?): ByteArray {
    val member = peerJson.encodeToJsonElement(FleetMember.serializer(), this).jsonObject
    val history = peerJson.encodeToJsonElement(HoldingHistory.serializer(), HoldingHistory(cutOffRevision)).jsonObject
    return JsonObject(member + history).toString().encodeToByteArray()
}

/** What the key of a shard says beside its holder; see [ShardHolding.cutOffRevision]. */
@Serializable
private data class HoldingHistory(
    val cutOffRevision: Long? = null,
)
