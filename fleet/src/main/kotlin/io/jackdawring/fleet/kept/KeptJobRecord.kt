package io.jackdawring.fleet.kept

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.DurableJob
import io.jackdawring.core.shard.JobProgress
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.fleet.peer.peerJson
import io.jackdawring.fleet.store.StoreItem
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

private val logger = KotlinLogging.logger("io.jackdawring.kept")

/** A kept job in the store; times are Unix milliseconds, [endedAtUnixMillis] is null while the job goes on. */
@Serializable
internal data class KeptJobRecord(
    val spec: JobSpec,
    val acceptedAtUnixMillis: Long,
    val progress: JobProgress = JobProgress(),
    val endedAtUnixMillis: Long? = null,
) {
    fun toDurableJob(nowUnixMillis: Long) = DurableJob(spec, progress, maxOf(0, nowUnixMillis - acceptedAtUnixMillis))

    fun encode(): ByteArray = peerJson.encodeToString(serializer(), this).encodeToByteArray()

    companion object {
        /** The record in [item], or null if it cannot be read. */
        fun decode(item: StoreItem): KeptJobRecord? = decode(item, serializer())
    }
}

/** The shard of a kept job, under a key that depends on the job's id alone. */
@Serializable
internal data class KeptJobPlace(
    val shardId: ShardId,
) {
    fun encode(): ByteArray = peerJson.encodeToString(serializer(), this).encodeToByteArray()

    companion object {
        /** The place in [item], or null if it cannot be read. */
        fun decode(item: StoreItem): KeptJobPlace? = decode(item, serializer())
    }
}

private fun <T> decode(
    item: StoreItem,
    type: KSerializer<T>,
): T? =
    try {
        peerJson.decodeFromString(type, item.value.decodeToString())
    } catch (e: SerializationException) {
        logger.error { "store item ${item.key} at revision ${item.revision} cannot be read: ${e.message}" }
        null
    }
