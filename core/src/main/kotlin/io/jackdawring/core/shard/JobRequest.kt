package io.jackdawring.core.shard

import kotlinx.serialization.Serializable

/**
 * A request for a job at the holder of its shard.
 *
 * [remainingMillis] is how long the caller still waits. [mayRun] is whether a holder of the shard may have started tasks
 * of the job for the same request of the caller.
 */
@Serializable
data class JobRequest(
    val job: JobSpec,
    val remainingMillis: Long,
    val admission: Admission,
    val mayRun: Boolean,
)
