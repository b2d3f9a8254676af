package io.jackdawring.testing.shard

import io.jackdawring.core.TargetId
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.core.shard.StepSpec

/** Checks that no start brings a target that does not guard its capacity over what its holder was told of it. */
internal class CapacityChecker {
    private val listed = HashMap<TargetId, Resources>()

    /** Records the [targets] that the holder is told of. */
    fun onListed(targets: Collection<ShardTarget>) = targets.associateTo(listed) { it.id to it.capacity }

    /** Capacity of [id] as the holder knows it now. */
    fun knownCapacity(id: TargetId): Resources = listed.getValue(id)

    /** Checks a start that was sent when the capacity was [knownCapacity]; runs that are being stopped count. */
    fun checkStart(
        target: FakeShardTarget,
        step: StepSpec,
        knownCapacity: Resources,
        nowMillis: Long,
    ) {
        if (target.guardsCapacity) return
        val free = target.freeOf(knownCapacity)
        check(step.demand.fitsInto(free)) {
            "a start of ${step.demand} at $nowMillis ms exceeds the capacity of ${target.registration.id.value}: " +
                "$free is free"
        }
    }
}
