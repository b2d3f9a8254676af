package io.jackdawring.core.shard

/** A durable job of which nothing has run for a while, although the tasks of the steps in [needs] wait. */
data class StalledJob(
    val id: JobId,
    val needs: JobNeeds,
)
