package io.jackdawring.fleet.durable

import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId

/** Store keys of durable jobs; outside [io.jackdawring.fleet.FleetKeys], which every entry instance mirrors. */
internal object JobKeys {
    private const val LOCATIONS = "jackdawring-jobs/places/"

    /** No id of a job has a slash. */
    private const val PARTS = "part/"
    private const val RECORDS = "jackdawring-jobs/records/"

    fun location(id: JobId) = "$LOCATIONS${id.value}"

    fun records(shardId: ShardId) = "$RECORDS${shardId.failureDomain.value}/${shardId.number}/"

    /** Keys of the parts that [shardId] runs, next to its records, so that one watch has both. */
    fun parts(shardId: ShardId) = records(shardId) + PARTS

    fun part(
        shardId: ShardId,
        id: JobId,
    ) = parts(shardId) + id.value

    fun isPart(
        shardId: ShardId,
        key: String,
    ) = key.startsWith(parts(shardId))

    fun record(
        shardId: ShardId,
        id: JobId,
    ) = records(shardId) + id.value
}
