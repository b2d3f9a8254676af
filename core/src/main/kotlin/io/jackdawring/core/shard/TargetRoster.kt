package io.jackdawring.core.shard

import io.jackdawring.core.TargetId
import kotlinx.collections.immutable.ImmutableCollection

/** The targets of a shard: those in the platform's list, and those that left it and may still run something. */
internal class TargetRoster(
    cost: DecisionCost,
    private val onChanged: (target: HeldTarget, state: String, reason: String) -> Unit,
) {
    private val byId = LinkedHashMap<TargetId, HeldTarget>()
    private var nextSequence = 0
    val targets: Collection<HeldTarget> get() = byId.values
    val byRoom = TargetsByRoom(cost)

    /** Time of the first list of targets; null before. */
    var listedAtMillis: Long? = null
        private set

    /** Whether the targets of the holder before are known; the list alone may lack some that still run. */
    var inherited = false
        private set

    operator fun get(id: TargetId): HeldTarget? = byId[id]

    /** Applies the platform's list; [onMoved] is called for targets at a new address. */
    fun update(
        listed: ImmutableCollection<ShardTarget>,
        nowMillis: Long,
        onMoved: (HeldTarget) -> Unit,
    ) {
        if (listedAtMillis == null && listed.isNotEmpty()) listedAtMillis = nowMillis
        val seen = HashSet<TargetId>()
        for (facts in listed) {
            seen.add(facts.id)
            val target = byId.getOrPut(facts.id) { newTarget(facts) }
            val state = if (facts.draining) "draining" else "ready"
            if (target.facts.draining != facts.draining) onChanged(target, state, "listed so")
            if (target.facts.address != facts.address) onMoved(target)
            if (target.facts != facts) target.facts = facts
            target.unlistedSinceMillis = null
        }
        for (target in byId.values) {
            if (target.id in seen || target.unlistedSinceMillis != null) continue
            target.unlistedSinceMillis = nowMillis
            onChanged(target, "unlisted", "no longer in the store")
        }
    }

    /** Adds the targets that the holder before knew. */
    fun inherit(
        targets: ImmutableCollection<ShardTarget>,
        nowMillis: Long,
    ) {
        inherited = true
        if (listedAtMillis == null) listedAtMillis = nowMillis
        for (facts in targets) {
            byId.getOrPut(facts.id) { newTarget(facts).apply { unlistedSinceMillis = nowMillis } }
        }
    }

    private fun newTarget(facts: ShardTarget) = HeldTarget(facts, nextSequence++, byRoom)

    /** Forgets targets that are gone and run nothing. */
    fun forgetGone(nowMillis: Long) {
        val gone = byId.values.filter { !it.isListed(nowMillis) && it.runs.isEmpty() }
        gone.forEach {
            byId.remove(it.id)
            byRoom.remove(it)
        }
    }
}
