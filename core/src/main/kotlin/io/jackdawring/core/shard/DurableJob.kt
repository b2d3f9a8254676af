package io.jackdawring.core.shard

/**
 * A job that is stored and runs, across holders, until it ends or is cancelled; it was accepted [ageMillis] ago.
 *
 * All its attempts so far are numbered up to [attemptBase]. Other shards have the tasks with the keys in [delegated].
 */
data class DurableJob(
    val spec: JobSpec,
    val progress: JobProgress = JobProgress(),
    val ageMillis: Long = 0,
    val attemptBase: Int = 0,
    val delegated: Set<String> = emptySet(),
)
