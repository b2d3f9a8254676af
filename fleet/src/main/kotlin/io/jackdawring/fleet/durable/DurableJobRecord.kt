package io.jackdawring.fleet.durable

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

/** Store record of a durable job; [endedAtUnixMillis] is null until the job has ended. */
@Serializable
internal data class DurableJobRecord(
    val spec: JobSpec,
    val acceptedAtUnixMillis: Long,
    val progress: JobProgress = JobProgress(),
    val endedAtUnixMillis: Long? = null,
    val parts: List<DelegatedTasks> = emptyList(),
) {
    /** Tasks that other shards have, by their keys "step.index". */
    val delegatedTasks: Set<String> get() = parts.flatMapTo(HashSet()) { it.tasks }

    /** The job of this record; all its attempts so far are numbered up to [attemptBase]. */
    fun toDurableJob(
        nowUnixMillis: Long,
        attemptBase: Int = 0,
    ) = DurableJob(spec, progress, maxOf(0, nowUnixMillis - acceptedAtUnixMillis), attemptBase, delegatedTasks)

    fun encode(): ByteArray {
        val text =
            if (parts.isEmpty()) {
                peerJson.encodeToString(serializer(), this)
            } else {
                peerJson.encodeToString(SplitJobRecord.serializer(), SplitJobRecord(this))
            }
        return text.encodeToByteArray()
    }

    companion object {
        /** The record in [item], or null if it is malformed. */
        fun decode(item: StoreItem): DurableJobRecord? {
            val isSplit = item.value.decodeToString().startsWith(SPLIT_START)
            return if (isSplit) decode(item, SplitJobRecord.serializer())?.split else decode(item, serializer())
        }

        private const val SPLIT_START = "{\"split\""
    }
}

/** A job with parts, in a form that earlier versions reject: they would start the tasks of the parts as well. */
@Serializable
private class SplitJobRecord(
    val split: DurableJobRecord,
)

/** Store record of a job's shard; its key depends on the job's id alone, so that each job is stored only once. */
@Serializable
internal data class JobLocation(
    val shardId: ShardId,
) {
    fun encode(): ByteArray = peerJson.encodeToString(serializer(), this).encodeToByteArray()

    companion object {
        /** The location in [item], or null if it is malformed. */
        fun decode(item: StoreItem): JobLocation? = decode(item, serializer())
    }
}

internal fun <T> decode(
    item: StoreItem,
    type: KSerializer<T>,
): T? =
    try {
        peerJson.decodeFromString(type, item.value.decodeToString())
    } catch (e: SerializationException) {
        logger.error { "store item ${item.key} at revision ${item.revision} is malformed: ${e.message}" }
        null
    }
