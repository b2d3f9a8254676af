package io.jackdawring.core

import kotlinx.serialization.Serializable

/**
 * One task of a submission.
 *
 * [expectedMillis] is the caller's estimate of the run time in milliseconds, null to use the kind's estimate;
 * [memoryMb] and [accelerators] are what a target must at least have.
 */
@Serializable
data class TaskSpec(
    val payload: Payload,
    val expectedMillis: Long? = null,
    val memoryMb: Int = 0,
    val accelerators: Int = 0,
)
