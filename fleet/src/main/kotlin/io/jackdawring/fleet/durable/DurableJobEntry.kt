package io.jackdawring.fleet.durable

/** Last known record of a stored job, and the store revision at which it was written. */
internal class DurableJobEntry(
    var record: DurableJobRecord,
    var revision: Long,
)
