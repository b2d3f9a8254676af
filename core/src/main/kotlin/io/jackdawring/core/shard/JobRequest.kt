package io.jackdawring.core.shard

import kotlinx.serialization.Serializable

/**
 * A request to the holder of a shard to run a job, or to report its outcome if the holder knows the job.
 *
 * [remainingMillis] is the time until the caller's deadline. [mayRun] is whether a holder of the shard may already have
 * started tasks of the job, because the caller's request was sent to the shard before. [firstFencingToken] is that of the
 * first holder to which it was sent then; 0 if that is not known.
 */
@Serializable
data class JobRequest(
    val job: JobSpec,
    val remainingMillis: Long,
    val admission: Admission,
    val mayRun: Boolean,
    val firstFencingToken: Long = 0,
)
