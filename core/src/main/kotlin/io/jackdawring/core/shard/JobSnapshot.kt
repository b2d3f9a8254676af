package io.jackdawring.core.shard

/** Progress of a durable job at one time; [version] counts its changes. */
data class JobSnapshot(
    val progress: JobProgress,
    val version: Long,
)
