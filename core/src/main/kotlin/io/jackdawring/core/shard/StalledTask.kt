package io.jackdawring.core.shard

/** A task with the key "step.index" that has waited for a while; [isPart] tells that the job is another shard's. */
data class StalledTask(
    val jobId: JobId,
    val task: String,
    val needs: JobNeeds,
    val isPart: Boolean,
)
