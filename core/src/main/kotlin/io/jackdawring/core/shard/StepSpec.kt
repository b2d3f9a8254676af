package io.jackdawring.core.shard

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A step of a job: [count] tasks with the same [demand] and a declared duration of [estimateMillis].
 *
 * [after] lists the steps whose tasks must all be done first. A target must have [requiredLabel] if it is set, runs at
 * most [maxPerTarget] tasks of the step at a time, and is slower outside the rack [rackAffinity]. Tasks with
 * [checkpointing] can resume from the checkpoint of an earlier run. Tasks with [speculative] may run in several copies.
 * Tasks that are [longRunning] run until their job is cancelled. [image] names the program that the tasks run, if known.
 */
@Serializable
data class StepSpec(
    val count: Int,
    val demand: Resources,
    val estimateMillis: Long,
    val after: List<Int> = emptyList(),
    val requiredLabel: String? = null,
    val rackAffinity: String? = null,
    val maxPerTarget: Int? = null,
    val checkpointing: Boolean = false,
    val speculative: Boolean = false,
    @SerialName("lasting")
    val longRunning: Boolean = false,
    val image: String? = null,
)
