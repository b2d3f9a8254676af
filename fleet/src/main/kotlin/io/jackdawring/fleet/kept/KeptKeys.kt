package io.jackdawring.fleet.kept

import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId

/** Keys of kept jobs; apart from those of the fleet, which every entry instance follows. */
internal object KeptKeys {
    private const val PLACES = "jackdawring-jobs/places/"
    private const val RECORDS = "jackdawring-jobs/records/"

    fun place(id: JobId) = "$PLACES${id.value}"

    fun records(shardId: ShardId) = "$RECORDS${shardId.failureDomain.value}/${shardId.number}/"

    fun record(
        shardId: ShardId,
        id: JobId,
    ) = records(shardId) + id.value
}
