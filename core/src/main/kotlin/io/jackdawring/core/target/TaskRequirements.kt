package io.jackdawring.core.target

/** Resources and scheduling properties of a task; [expectedMillis] is its estimated run time. */
internal data class TaskRequirements(
    val service: String,
    val memoryMb: Int,
    val accelerators: Int,
    val expectedMillis: Long,
    val priority: Int,
    val idempotent: Boolean,
)
