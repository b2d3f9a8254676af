package io.jackdawring.core.shard

import io.jackdawring.core.TargetId
import kotlinx.collections.immutable.ImmutableCollection

/** Registry of a shard's targets: those in the platform's list, and those that left it but may still have runs. */
internal class TargetRegistry(
    cost: DecisionCost,
    private val evacuation: Evacuation,
    private val onChanged: (target: TrackedTarget, state: String, reason: String) -> Unit,
) {
    private val byId = LinkedHashMap<TargetId, TrackedTarget>()
    private var nextSequence = 0
    val targets: Collection<TrackedTarget> get() = byId.values
    val byFreeCpu = TargetsByFreeCpu(cost)

    /** Time at which targets first became known; null before. */
    var firstListedAtMillis: Long? = null
        private set

    /**
     * Whether previous holders have named all targets with runs; the list alone may lack some of them.
     *
     * Runs of [CutOffHolders] do not count.
     */
    var knowsAllWithRuns = false

    /** Whether a successor has been told the targets, so that those listed from now on must not get runs. */
    var isHandingOver = false

    operator fun get(id: TargetId): TrackedTarget? = byId[id]

    /** Applies the platform's list; [onMoved] is called for targets that are listed at another address than before. */
    fun update(
        listed: ImmutableCollection<ShardTarget>,
        nowMillis: Long,
        onMoved: (TrackedTarget) -> Unit,
    ) {
        if (firstListedAtMillis == null && listed.isNotEmpty()) firstListedAtMillis = nowMillis
        val seen = HashSet<TargetId>()
        for (registration in listed) {
            seen.add(registration.id)
            val target = byId.getOrPut(registration.id) { newTarget(registration) }
            val state = if (registration.draining) "draining" else "ready"
            if (target.registration.draining != registration.draining) onChanged(target, state, "target list changed")
            val isMoved = target.listedAddress != registration.address
            target.listedAddress = registration.address
            // The list may be outdated: a target that answers keeps its address.
            val current = registration.copy(address = target.registration.address)
            if (target.registration != current) target.registration = current
            if (isMoved) onMoved(target)
            target.unlistedSinceMillis = null
        }
        for (target in byId.values) {
            if (target.id in seen || target.unlistedSinceMillis != null) continue
            target.unlistedSinceMillis = nowMillis
            onChanged(target, "unlisted", "no longer in the target list")
        }
    }

    /** Adds [known] targets of an earlier holder, which the list may lack. */
    fun add(
        known: Collection<ShardTarget>,
        nowMillis: Long,
    ) {
        if (firstListedAtMillis == null && known.isNotEmpty()) firstListedAtMillis = nowMillis
        for (registration in known) {
            val target =
                byId.getOrPut(registration.id) { newTarget(registration).apply { unlistedSinceMillis = nowMillis } }
            target.suggestAddress(registration.address)
        }
    }

    private fun newTarget(registration: ShardTarget) =
        TrackedTarget(registration, nextSequence++, byFreeCpu, evacuation).apply { isHeldBack = isHandingOver }

    /** Forgets targets that left the list, have no runs and may not start any. */
    fun forgetGone(nowMillis: Long) {
        val gone = byId.values.filter { !it.isListed(nowMillis) && it.runs.isEmpty() && it.unansweredStarts.isEmpty }
        gone.forEach {
            byId.remove(it.id)
            byFreeCpu.remove(it)
        }
    }
}
