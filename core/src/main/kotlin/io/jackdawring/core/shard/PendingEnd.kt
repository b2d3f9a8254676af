package io.jackdawring.core.shard

/** An ended run that its target must keep listing until [version] of its job's progress is stored. */
internal class PendingEnd(
    val sequence: Long,
    val jobId: JobId,
    val version: Long,
)
