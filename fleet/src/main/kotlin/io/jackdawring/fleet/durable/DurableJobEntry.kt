package io.jackdawring.fleet.durable

import io.jackdawring.core.shard.JobId

/** Last known record of a stored job, and the store revision at which it was written. */
internal class DurableJobEntry(
    var record: DurableJobRecord,
    var revision: Long,
) {
    val id: JobId get() = record.spec.id
}
