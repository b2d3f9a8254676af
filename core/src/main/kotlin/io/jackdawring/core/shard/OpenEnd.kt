package io.jackdawring.core.shard

/** An end that its target must not forget yet, because [version] of its job's progress is not stored. */
internal class OpenEnd(
    val sequence: Long,
    val jobId: JobId,
    val version: Long,
)
