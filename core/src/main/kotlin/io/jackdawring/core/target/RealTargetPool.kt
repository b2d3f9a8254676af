package io.jackdawring.core.target

import io.jackdawring.core.EntryOptions
import io.jackdawring.core.InstanceList
import io.jackdawring.core.InstanceRole
import io.jackdawring.core.ListedInstance
import io.jackdawring.core.ListedState
import io.jackdawring.core.NotStartedReason
import io.jackdawring.core.StateChange
import io.jackdawring.core.TargetAnswer
import io.jackdawring.core.TargetId
import io.jackdawring.core.TargetStatus
import io.jackdawring.core.membership.TargetFact
import io.jackdawring.core.membership.TargetFactState
import kotlin.math.max
import kotlin.random.Random

/** Target pool that learns free slots, speed and health of every target from the answers. */
internal class RealTargetPool(
    private val options: EntryOptions,
    private val report: (StateChange) -> Unit,
) : TargetPool {
    private val random = Random(options.seed)
    private val idHash =
        options.self.instanceId.value
            .hashCode()
    private val targets = LinkedHashMap<TargetId, PooledTarget>()
    private val services = HashMap<String, ServiceTargets>()
    private val facts = TargetFacts()
    private val health = TargetHealth(random, ::onHealthChanged)
    private val adaptive = AdaptiveChooser(random, options.spareSlots)
    private val usage = UsageTracker(adaptive.refusals, random)
    private val chooser: TargetChooser = baselineChooser(options.targetPolicy, random) ?: adaptive

    /** Starts on registrations that have since been replaced; their answers say nothing about the new one. */
    private val startsOnReplaced = HashMap<TargetId, Int>()

    private var listVersion = -1L
    private var entryInstances = 1
    private var rank = 0
    private var retryAtMillis: Long? = null
    private var lastSeenMillis = 0L

    override fun applyList(
        list: InstanceList,
        nowMillis: Long,
    ) {
        if (list.version <= listVersion) return
        val firstList = listVersion < 0
        listVersion = list.version
        val listed = list.instances.filter { it.role == InstanceRole.TARGET }.associateBy { TargetId(it.id) }
        targets.values.filter { it.id !in listed }.forEach(::unlist)
        for ((id, instance) in listed) applyListed(id, instance, if (firstList) 0 else list.version, nowMillis)
        facts.forgetUnlisted(listVersion) { it in listed }
        services.values.forEach(ServiceTargets::updateSizes)
    }

    override fun applyFact(
        fact: TargetFact,
        nowMillis: Long,
    ): Boolean {
        val target = targets[fact.targetId]
        // A fact from before the present registration is about another process.
        if (target != null && fact.listVersion < target.registeredInVersion) return false
        val known = facts[fact.targetId]
        val news = facts.accept(fact)
        if (target == null || !target.listed || target.instance.address != fact.address) return news
        if (news) {
            applyState(target, fact, nowMillis)
        } else if (target.leaving != null && fact.state != TargetFactState.LEAVING && fact.sameVersionAs(known)) {
            // Two instances chose the same sequence; only a higher one can replace the peer's fact.
            publish(target, TargetFactState.LEAVING)
        }
        return news
    }

    override fun takeFacts(): List<TargetFact> = facts.take()

    override fun takeUrgentFlag(): Boolean = facts.takeUrgentFlag()

    override fun setEntryInstances(
        entryInstances: Int,
        rank: Int?,
    ) {
        val instances = max(1, entryInstances)
        val newRank = rank ?: idHash.mod(instances)
        if (instances == this.entryInstances && newRank == this.rank) return
        this.entryInstances = instances
        this.rank = newRank
        facts.setEntryInstances(instances)
        for (target in targets.values) {
            target.share(instances, newRank)
            index(target)
        }
    }

    override fun updateFleetLoad(
        othersInFlight: Int,
        nowMillis: Long,
    ) = usage.assumeFleetLoad(targets.values, othersInFlight, nowMillis, ::index)

    override fun availability(need: TaskNeed): Availability {
        val service = services[need.service] ?: return Availability.NO_TARGETS
        return when {
            service.accepting.isEmpty() -> Availability.NO_TARGETS
            !service.everyTargetFits(need) && service.accepting.none { it.fits(need) } -> Availability.NEVER
            service.accepting.none { it.health == Health.USABLE || it.probeDue } -> Availability.NO_TARGETS
            else -> Availability.POSSIBLE
        }
    }

    override fun choose(
        need: TaskNeed,
        nowMillis: Long,
    ): ChosenTarget? {
        val service = services[need.service] ?: return null
        service.notePresence(need, nowMillis)
        val target = probe(service, need, nowMillis) ?: chooser.choose(service, need, nowMillis)
        if (target == null) {
            if (retryAtMillis == null) retryAtMillis = nowMillis + RETRY_MILLIS
            return null
        }
        target.inFlight++
        index(target)
        return ChosenTarget(target.id, target.instance.address)
    }

    override fun complete(
        targetId: TargetId,
        need: TaskNeed,
        answer: TargetAnswer?,
        elapsedMillis: Long,
        nowMillis: Long,
    ): Collection<String> {
        lastSeenMillis = nowMillis
        if (endStartOnReplaced(targetId)) return emptyList()
        val target = targets[targetId] ?: return emptyList()
        val inFlightBefore = target.inFlight
        target.inFlight = max(0, target.inFlight - 1)
        // Failures of a leaving target must not replace the fact that it is leaving.
        if (target.accepting) {
            if (usage.learn(target, answer, inFlightBefore, nowMillis)) services[need.service]?.lastAnswered = target
            learnHealth(target, need, answer, elapsedMillis, nowMillis)
            if (answer?.usage?.leaving == true) leave(target, listVersion, nowMillis)
        }
        index(target)
        if (!target.listed && target.inFlight == 0) targets.remove(targetId)
        return target.instance.services
    }

    override fun nextTimerMillis(): Long? {
        val healthMillis = health.nextDueMillis() ?: Long.MAX_VALUE
        val retryMillis = retryAtMillis ?: Long.MAX_VALUE
        val dueMillis = minOf(healthMillis, retryMillis, usage.nextRetryMillis() ?: Long.MAX_VALUE)
        return if (dueMillis == Long.MAX_VALUE) null else dueMillis
    }

    override fun onTimer(nowMillis: Long) {
        health.onTimer(nowMillis)
        usage.onTimer(nowMillis, ::index)
        if ((retryAtMillis ?: Long.MAX_VALUE) <= nowMillis) retryAtMillis = null
    }

    override fun capacity(service: String): PoolCapacity {
        val known = services[service] ?: return PoolCapacity(0, 0, 1.0)
        return PoolCapacity(
            usableSlots = max(known.inFlight + known.room, known.fairShares),
            inFlight = known.inFlight,
            slowness = known.slowness,
            fleetSlots = known.slots,
        )
    }

    override fun status(): List<TargetStatus> =
        targets.values.map {
            val state =
                when {
                    !it.listed -> "unlisted"
                    it.leaving != null -> "leaving"
                    else -> it.health.name.lowercase()
                }
            TargetStatus(
                it.id,
                it.instance.failureDomain,
                state,
                it.inFlight,
                it.window,
                it.slowness(lastSeenMillis),
            )
        }

    private fun applyListed(
        id: TargetId,
        instance: ListedInstance,
        registeredInVersion: Long,
        nowMillis: Long,
    ) {
        val known = targets[id]
        val target =
            when {
                known == null -> register(id, instance, registeredInVersion, nowMillis)
                known.isReplacedBy(instance, nowMillis) -> replace(known, instance, nowMillis)
                else -> known
            }
        val returned = known?.leaving != null && target.leaving == null && instance.state == ListedState.LIVE
        if (returned) publish(target, TargetFactState.RECOVERED)
        target.listedAsLeaving = instance.state == ListedState.LEAVING
        if (target.instance != instance) update(target, instance)
        if (target.listedAsLeaving) leave(target, listVersion, nowMillis)
        index(target)
    }

    /**
     * Whether the list shows that a new process took the place of this registration.
     *
     * A list that merely still says "live" may be older than the target's own word that it is leaving.
     */
    private fun PooledTarget.isReplacedBy(
        instance: ListedInstance,
        nowMillis: Long,
    ): Boolean {
        val sinceMillis = leaving?.sinceMillis ?: nowMillis
        val live = instance.state == ListedState.LIVE
        return instance.address != this.instance.address ||
            !listed ||
            (live && (listedAsLeaving || nowMillis - sinceMillis >= LEAVING_MEMORY_MILLIS))
    }

    private fun register(
        id: TargetId,
        instance: ListedInstance,
        registeredInVersion: Long,
        nowMillis: Long,
    ): PooledTarget {
        val local = instance.failureDomain == options.self.failureDomain
        val target = PooledTarget(id, instance, registeredInVersion, local, options.spareSlots, servicesOf(instance))
        targets[id] = target
        target.share(entryInstances, rank)
        // The targets of the first list are no change.
        if (registeredInVersion > 0) report(StateChange.TargetChanged(id, "usable"))
        index(target)
        val fact = facts[id]
        if (fact != null && target.isMeantBy(fact)) applyState(target, fact, nowMillis)
        return target
    }

    private fun replace(
        old: PooledTarget,
        instance: ListedInstance,
        nowMillis: Long,
    ): PooledTarget {
        unlist(old)
        if (old.inFlight > 0) startsOnReplaced.merge(old.id, old.inFlight, Int::plus)
        return register(old.id, instance, listVersion, nowMillis)
    }

    private fun update(
        target: PooledTarget,
        instance: ListedInstance,
    ) {
        remove(target)
        target.instance = instance
        target.services = servicesOf(instance)
        target.share(entryInstances, rank)
    }

    private fun unlist(target: PooledTarget) {
        target.listed = false
        health.forget(target)
        usage.forget(target)
        index(target)
        if (target.inFlight == 0) targets.remove(target.id)
    }

    private fun servicesOf(instance: ListedInstance): List<ServiceTargets> =
        instance.services.distinct().map { services.getOrPut(it, ::ServiceTargets) }

    private fun leave(
        target: PooledTarget,
        knownInVersion: Long,
        nowMillis: Long,
    ) {
        if (target.leaving != null) return
        target.leaving = PooledTarget.Leaving(knownInVersion, nowMillis)
        health.forget(target)
        index(target)
        report(StateChange.TargetChanged(target.id, "leaving"))
        val known = facts[target.id]
        val isKnown = known != null && known.state == TargetFactState.LEAVING && target.isMeantBy(known)
        if (!isKnown) publish(target, TargetFactState.LEAVING)
    }

    private fun applyState(
        target: PooledTarget,
        fact: TargetFact,
        nowMillis: Long,
    ) {
        val leaving = target.leaving
        when {
            fact.state == TargetFactState.LEAVING -> leave(target, fact.listVersion, nowMillis)
            leaving == null && fact.state == TargetFactState.ISOLATED -> health.isolatedByPeer(target, nowMillis)
            leaving == null -> health.recoveredAtPeer(target)
            fact.state == TargetFactState.RECOVERED &&
                fact.listVersion > leaving.listVersion &&
                (!target.listedAsLeaving || fact.listVersion > listVersion) ->
                replace(target, target.instance, nowMillis)
            // The peer did not know that the target is leaving; tell it with a higher sequence.
            else -> publish(target, TargetFactState.LEAVING)
        }
    }

    private fun publish(
        target: PooledTarget,
        state: TargetFactState,
    ) = facts.publish(target.id, target.instance, listVersion, state)

    private fun onHealthChanged(target: PooledTarget) {
        index(target)
        if (!target.probeDue) report(StateChange.TargetChanged(target.id, target.health.name.lowercase()))
    }

    private fun probe(
        service: ServiceTargets,
        need: TaskNeed,
        nowMillis: Long,
    ): PooledTarget? {
        if (service.probes.isEmpty()) return null
        val target = service.probes.firstOrNull { it.fits(need) && mayProbe(it, service, need, nowMillis) }
        target?.probeInFlight = true
        return target
    }

    private fun mayProbe(
        target: PooledTarget,
        service: ServiceTargets,
        need: TaskNeed,
        nowMillis: Long,
    ): Boolean =
        // A failing probe fails its job, so the highest class is spared while lower ones are present.
        (need.idempotent && !service.isTopClass(need, nowMillis)) ||
            // A refused connection provably starts nothing.
            target.health == Health.UNREACHABLE ||
            // No better task came within a further interval, since it would have become the probe.
            nowMillis >= target.blockedUntilMillis + target.blockMillis ||
            service.accepting.none { it.health == Health.USABLE }

    private fun endStartOnReplaced(targetId: TargetId): Boolean {
        val starts = startsOnReplaced[targetId] ?: return false
        if (starts > 1) startsOnReplaced[targetId] = starts - 1 else startsOnReplaced -= targetId
        return true
    }

    private fun learnHealth(
        target: PooledTarget,
        need: TaskNeed,
        answer: TargetAnswer?,
        elapsedMillis: Long,
        nowMillis: Long,
    ) {
        when (answer) {
            null -> health.probeWithoutResult(target)
            is TargetAnswer.Succeeded -> {
                learnSlowness(target, need, elapsedMillis, nowMillis)
                if (health.succeeded(target, nowMillis)) publish(target, TargetFactState.RECOVERED)
            }
            is TargetAnswer.TaskFailed, is TargetAnswer.Lost ->
                if (health.failed(target, nowMillis)) publish(target, TargetFactState.ISOLATED)
            is TargetAnswer.NotStarted ->
                when (answer.reason) {
                    NotStartedReason.BUSY -> health.busy(target, nowMillis)
                    NotStartedReason.LEAVING -> leave(target, listVersion, nowMillis)
                    NotStartedReason.UNREACHABLE -> health.unreachable(target, nowMillis)
                }
        }
    }

    private fun learnSlowness(
        target: PooledTarget,
        need: TaskNeed,
        elapsedMillis: Long,
        nowMillis: Long,
    ) {
        val service = services[need.service] ?: return
        if (need.expectedMillis <= 0) return
        val runMillis = max(0.0, elapsedMillis - target.distanceMillis)
        val ratio = max(ServiceTargets.MIN_RATIO, runMillis / need.expectedMillis)
        target.learnSlowness(service.normalise(need, ratio), nowMillis)
    }

    private fun remove(target: PooledTarget) {
        val old = target.indexed
        target.indexed = IndexedState.ABSENT
        target.services.forEach { it.index(target, old, IndexedState.ABSENT) }
    }

    /** Updates the sets and sums of the target's services after a change of [target]. */
    private fun index(target: PooledTarget) {
        val old = target.indexed
        val new = target.indexedState()
        if (old == new) return
        target.indexed = new
        target.services.forEach { it.index(target, old, new) }
    }

    /** Whether [fact] is about this registration and not about an earlier process. */
    private fun PooledTarget.isMeantBy(fact: TargetFact): Boolean =
        fact.address == instance.address && fact.listVersion >= registeredInVersion

    private fun TargetFact.sameVersionAs(other: TargetFact?): Boolean =
        other != null && listVersion == other.listVersion && sequence == other.sequence

    companion object {
        val Factory = TargetPool.Factory { options, report -> RealTargetPool(options, report) }

        /** Completions drive the queue; this slow timer serves an instance without any start in flight. */
        const val RETRY_MILLIS = 50L

        /** A target cannot take this long to leave, so a newer list that still shows it live is right by then. */
        const val LEAVING_MEMORY_MILLIS = 600_000L
    }
}
