package io.jackdawring.fleet.durable

import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId

/** Store keys of durable jobs; outside [io.jackdawring.fleet.FleetKeys], which every entry instance mirrors. */
internal object JobKeys {
    private const val LOCATIONS = "jackdawring-jobs/places/"
    private const val RECORDS = "jackdawring-jobs/records/"

    fun location(id: JobId) = "$LOCATIONS${id.value}"

    fun records(shardId: ShardId) = "$RECORDS${shardId.failureDomain.value}/${shardId.number}/"

    fun record(
        shardId: ShardId,
        id: JobId,
    ) = records(shardId) + id.value
}
