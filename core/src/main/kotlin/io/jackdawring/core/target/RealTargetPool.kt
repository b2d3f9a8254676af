package io.jackdawring.core.target

import io.jackdawring.core.EntryOptions
import io.jackdawring.core.InstanceList
import io.jackdawring.core.InstanceRole
import io.jackdawring.core.ListedInstance
import io.jackdawring.core.ListedState
import io.jackdawring.core.StateChange
import io.jackdawring.core.TargetAnswer
import io.jackdawring.core.TargetId
import io.jackdawring.core.TargetStatus
import io.jackdawring.core.membership.TargetFact
import io.jackdawring.core.membership.TargetFactState
import kotlin.math.min

/** Target pool with a fixed share of slots per target; scans all targets. */
internal class RealTargetPool(
    private val options: EntryOptions,
    private val report: (StateChange) -> Unit,
) : TargetPool {
    private val targets = LinkedHashMap<TargetId, Target>()
    private var listVersion = -1L
    private var entryInstances = 1

    override fun applyList(
        list: InstanceList,
        nowMillis: Long,
    ) {
        if (list.version <= listVersion) return
        listVersion = list.version
        val listed = list.instances.filter { it.role == InstanceRole.TARGET }.associateBy { TargetId(it.id) }
        targets.values.removeIf { it.id !in listed && it.inFlight == 0 }
        targets.values.forEach { if (it.id !in listed) it.leaving = true }
        for ((id, instance) in listed) {
            val target = targets.getOrPut(id) { Target(id, instance) }
            target.leaving = instance.state == ListedState.LEAVING
            target.listed = instance
        }
    }

    override fun applyFact(
        fact: TargetFact,
        nowMillis: Long,
    ): Boolean {
        val target = targets[fact.targetId] ?: return false
        if (fact.state != TargetFactState.LEAVING || target.leaving || fact.listVersion < listVersion) return false
        target.leaving = true
        return true
    }

    override fun takeFacts(): List<TargetFact> = emptyList()

    override fun shareWith(entryInstances: Int) {
        this.entryInstances = maxOf(1, entryInstances)
    }

    override fun availability(need: TaskNeed): Availability {
        val usable = targets.values.filter { !it.leaving && need.service in it.listed.services }
        return when {
            usable.isEmpty() -> Availability.NO_TARGETS
            usable.none { it.fits(need) } -> Availability.NEVER
            else -> Availability.POSSIBLE
        }
    }

    override fun choose(
        need: TaskNeed,
        nowMillis: Long,
    ): ChosenTarget? {
        val target =
            targets.values
                .filter { it.inFlight < window(it) && it.fits(need) && nowMillis >= it.unusableUntilMillis }
                .minByOrNull { it.inFlight } ?: return null
        target.inFlight++
        return ChosenTarget(target.id, target.listed.address)
    }

    override fun complete(
        targetId: TargetId,
        need: TaskNeed,
        answer: TargetAnswer?,
        elapsedMillis: Long,
        nowMillis: Long,
    ) {
        val target = targets[targetId] ?: return
        target.inFlight = maxOf(0, target.inFlight - 1)
        if (answer?.usage?.leaving == true) target.leaving = true
        if (answer is TargetAnswer.NotStarted) {
            target.unusableUntilMillis = nowMillis + UNUSABLE_MILLIS
        }
        if (target.leaving) report(StateChange.TargetChanged(targetId, "leaving"))
    }

    override fun nextTimerMillis(): Long? =
        targets.values
            .map { it.unusableUntilMillis }
            .filter { it > 0 }
            .minOrNull()

    override fun onTimer(nowMillis: Long) {
        targets.values.forEach { if (it.unusableUntilMillis <= nowMillis) it.unusableUntilMillis = 0 }
    }

    override fun capacity(service: String): PoolCapacity {
        val usable = targets.values.filter { !it.leaving && service in it.listed.services }
        return PoolCapacity(usable.sumOf(::window), usable.sumOf { it.inFlight }, 1.0)
    }

    override fun status(): List<TargetStatus> =
        targets.values.map {
            val state = if (it.leaving) "leaving" else "usable"
            TargetStatus(it.id, it.listed.failureDomain, state, it.inFlight, window(it), 1.0)
        }

    private fun window(target: Target): Int {
        val slots = (target.listed.slots + entryInstances - 1) / entryInstances
        return min(slots, maxOf(1, target.listed.connections / entryInstances))
    }

    private class Target(
        val id: TargetId,
        var listed: ListedInstance,
    ) {
        var inFlight = 0
        var leaving = false
        var unusableUntilMillis = 0L

        fun fits(need: TaskNeed): Boolean =
            !leaving &&
                need.service in listed.services &&
                need.memoryMb <= listed.memoryMb &&
                need.accelerators <= listed.accelerators
    }

    companion object {
        val Factory = TargetPool.Factory { options, report -> RealTargetPool(options, report) }

        const val UNUSABLE_MILLIS = 100L
    }
}
