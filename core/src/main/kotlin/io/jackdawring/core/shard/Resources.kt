package io.jackdawring.core.shard

import kotlinx.serialization.Serializable

/** Capacity of a target or demand of a task; [cpuMillis] is in thousandths of a core. */
@Serializable
data class Resources(
    val cpuMillis: Int = 0,
    val memoryMb: Int = 0,
    val accelerators: Int = 0,
) {
    operator fun plus(other: Resources) =
        Resources(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators)

    operator fun minus(other: Resources) =
        Resources(cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators)

    /** The larger of both amounts for each resource. */
    fun elementwiseMax(other: Resources) =
        Resources(
            maxOf(cpuMillis, other.cpuMillis),
            maxOf(memoryMb, other.memoryMb),
            maxOf(accelerators, other.accelerators),
        )

    /** Whether this demand fits into [free]. */
    fun fitsInto(free: Resources): Boolean =
        cpuMillis <= free.cpuMillis && memoryMb <= free.memoryMb && accelerators <= free.accelerators
}
