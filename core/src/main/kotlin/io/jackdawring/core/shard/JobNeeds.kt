package io.jackdawring.core.shard

import kotlinx.serialization.Serializable

/** What a job needs of the targets of [service]: each of [steps] has to fit on one of them. */
@Serializable
data class JobNeeds(
    val service: String,
    val steps: List<StepSpec>,
)
