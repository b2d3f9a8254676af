package io.jackdawring.core.shard

import kotlinx.serialization.Serializable

/**
 * A step of a job: [count] tasks with the same [demand] and a declared duration of [estimateMillis].
 *
 * [after] lists the steps whose tasks must all be done first. A target must have [requiredLabel] if it is set, runs at
 * most [maxPerTarget] tasks of the step at a time, and is slower outside the rack [rackAffinity]. A task with
 * [checkpointing] can go on from where an earlier run of it has saved its progress. Tasks with [speculative] may run in
 * several copies. Tasks that are [lasting] run until their job is cancelled.
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
    val lasting: Boolean = false,
)
