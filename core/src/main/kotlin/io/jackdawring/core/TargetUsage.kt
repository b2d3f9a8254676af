package io.jackdawring.core

/** Load that a target reported; [slotsInUse] counts the running tasks of all entry instances, null if not reported. */
data class TargetUsage(
    val slotsInUse: Int?,
    val leaving: Boolean,
)
