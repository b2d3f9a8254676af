package io.jackdawring.load

import io.jackdawring.standins.PlatformFaults
import io.jackdawring.standins.TargetModes

/** A load and a fault; [loadFactor] is the ratio of the offered load to the capacity of all targets without faults. */
enum class Scenario(
    val label: String,
    val loadFactor: Double,
) {
    HALF("50%", 0.5),
    USUAL("80%", 0.8),
    HIGH("95%", 0.95),
    OVERLOAD("200%", 2.0),

    /** Every tenth target runs at a quarter of its speed. */
    SLOW_TARGETS("80%, 10% slow targets", 0.8) {
        override fun targetModes(index: Int): TargetModes =
            super.targetModes(index).let { if (index % 10 == 0) it.copy(speed = it.speed / 4) else it }
    },

    /** One target fails each task immediately. */
    FAILING_TARGET("80%, one target fails all", 0.8) {
        override fun targetModes(index: Int): TargetModes = super.targetModes(index).copy(failEverything = index == 0)
    },

    /** One entry instance stops halfway through the load. */
    ENTRY_KILLED("80%, entry killed", 0.8) {
        override fun atMidpoint(fleet: LocalFleet) = fleet.entries.first().close()
    },

    /** The platform goes down once the entry instances are ready. */
    STORE_DOWN("80%, store down", 0.8) {
        override fun beforeLoad(fleet: LocalFleet) {
            fleet.platform.faults = PlatformFaults(down = true)
        }
    }, ;

    internal open fun targetModes(index: Int): TargetModes = TargetModes(speed = Deployment.speed(index))

    internal open fun beforeLoad(fleet: LocalFleet) = Unit

    internal open fun atMidpoint(fleet: LocalFleet) = Unit
}
