package io.jackdawring.core.target

/** What a task needs from a target; [expectedMillis] is its estimated run time in milliseconds. */
internal data class TaskNeed(
    val service: String,
    val memoryMb: Int,
    val accelerators: Int,
    val expectedMillis: Long,
    val priority: Int,
    val idempotent: Boolean,
)
