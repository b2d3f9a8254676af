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

/** Target pool that estimates the free slots, speed and health of every target from the answers to starts. */
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

    /** In-flight starts on replaced registrations; their answers say nothing about the new registration. */
    private val startsOnReplaced = HashMap<TargetId, Int>()

    private var listVersion = -1L
    private var entryInstances = 1
    private var rank = 0
    private var retryAtMillis: Long? = null
    private var lastCompletionMillis = 0L

    override fun applyList(
        list: InstanceList,
        nowMillis: Long,
    ) {
        if (list.version <= listVersion) return
        val firstList = listVersion < 0
        listVersion = list.version
        val listed = list.instances.filter { it.role == InstanceRole.TARGET }.associateBy { TargetId(it.id) }
        targets.values.filter { it.id !in listed }.forEach(::markUnlisted)
        for ((id, instance) in listed) applyListed(id, instance, if (firstList) 0 else list.version, nowMillis)
        facts.forgetUnlisted(listVersion) { it in listed }
        services.values.forEach(ServiceTargets::updateMinResources)
    }

    override fun applyFact(
        fact: TargetFact,
        nowMillis: Long,
    ): Boolean {
        val target = targets[fact.targetId]
        // A fact from before the current registration is about an earlier process.
        if (target != null && fact.listVersion < target.registeredInVersion) return false
        val known = facts[fact.targetId]
        val isNewer = facts.accept(fact)
        if (target == null || !target.listed || target.instance.address != fact.address) return isNewer
        if (isNewer) {
            applyState(target, fact, nowMillis)
        } else if (target.leaving != null && fact.state != TargetFactState.LEAVING && fact.sameVersionAs(known)) {
            // Two instances used the same sequence number, and only a higher one replaces the peer's fact.
            publish(target, TargetFactState.LEAVING)
        }
        return isNewer
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
            target.updateShares(instances, newRank)
            updateIndex(target)
        }
    }

    override fun updateFleetLoad(
        othersInFlight: Int,
        nowMillis: Long,
    ) = usage.assumeFleetLoad(targets.values, othersInFlight, nowMillis, ::updateIndex)

    override fun availability(requirements: TaskRequirements): Availability {
        val service = services[requirements.service] ?: return Availability.NO_TARGETS
        return when {
            service.accepting.isEmpty() -> Availability.NO_TARGETS
            !service.everyTargetFits(requirements) && service.accepting.none { it.fits(requirements) } ->
                Availability.NEVER
            service.accepting.none { it.health == Health.USABLE || it.probeDue } -> Availability.NO_TARGETS
            else -> Availability.POSSIBLE
        }
    }

    override fun choose(
        requirements: TaskRequirements,
        nowMillis: Long,
    ): ChosenTarget? {
        val service = services[requirements.service] ?: return null
        service.recordLowerClass(requirements, nowMillis)
        val target = probe(service, requirements, nowMillis) ?: chooser.choose(service, requirements, nowMillis)
        if (target == null) {
            if (retryAtMillis == null) retryAtMillis = nowMillis + CHOOSE_RETRY_MILLIS
            return null
        }
        target.inFlight++
        updateIndex(target)
        return ChosenTarget(target.id, target.instance.address)
    }

    override fun complete(
        targetId: TargetId,
        requirements: TaskRequirements,
        answer: TargetAnswer?,
        elapsedMillis: Long,
        nowMillis: Long,
    ): Collection<String> {
        lastCompletionMillis = nowMillis
        if (endStartOnReplaced(targetId)) return emptyList()
        val target = targets[targetId] ?: return emptyList()
        val inFlightBefore = target.inFlight
        target.inFlight = max(0, target.inFlight - 1)
        // Failures during the shutdown of a target must not replace the fact that it is leaving.
        if (target.accepting) {
            if (usage.learn(target, answer, inFlightBefore, nowMillis)) {
                services[requirements.service]?.lastAnswered = target
            }
            updateHealth(target, requirements, answer, elapsedMillis, nowMillis)
            if (answer?.usage?.leaving == true) markLeaving(target, listVersion, nowMillis)
        }
        updateIndex(target)
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
        usage.onTimer(nowMillis, ::updateIndex)
        if ((retryAtMillis ?: Long.MAX_VALUE) <= nowMillis) retryAtMillis = null
    }

    override fun capacity(service: String): PoolCapacity {
        val known = services[service] ?: return PoolCapacity(0, 0, 1.0)
        return PoolCapacity(
            usableSlots = max(known.inFlight + known.availableSlots, known.fairShares),
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
                it.slowness(lastCompletionMillis),
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
        if (target.listedAsLeaving) markLeaving(target, listVersion, nowMillis)
        updateIndex(target)
    }

    /**
     * Whether the list shows that a new process has replaced this registration.
     *
     * A list that still shows the target as live may be older than the report that it is leaving.
     */
    private fun PooledTarget.isReplacedBy(
        instance: ListedInstance,
        nowMillis: Long,
    ): Boolean {
        val sinceMillis = leaving?.sinceMillis ?: nowMillis
        val live = instance.state == ListedState.LIVE
        return instance.address != this.instance.address ||
            !listed ||
            (live && (listedAsLeaving || nowMillis - sinceMillis >= MAX_LEAVING_MILLIS))
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
        target.updateShares(entryInstances, rank)
        // The first list only initialises the pool, so its targets are not reported as changes.
        if (registeredInVersion > 0) report(StateChange.TargetChanged(id, "usable"))
        updateIndex(target)
        val fact = facts[id]
        if (fact != null && target.matches(fact)) applyState(target, fact, nowMillis)
        return target
    }

    private fun replace(
        old: PooledTarget,
        instance: ListedInstance,
        nowMillis: Long,
    ): PooledTarget {
        markUnlisted(old)
        if (old.inFlight > 0) startsOnReplaced.merge(old.id, old.inFlight, Int::plus)
        return register(old.id, instance, listVersion, nowMillis)
    }

    private fun update(
        target: PooledTarget,
        instance: ListedInstance,
    ) {
        removeFromIndex(target)
        target.instance = instance
        target.services = servicesOf(instance)
        target.updateShares(entryInstances, rank)
    }

    private fun markUnlisted(target: PooledTarget) {
        target.listed = false
        health.forget(target)
        usage.forget(target)
        updateIndex(target)
        if (target.inFlight == 0) targets.remove(target.id)
    }

    private fun servicesOf(instance: ListedInstance): List<ServiceTargets> =
        instance.services.distinct().map { services.getOrPut(it, ::ServiceTargets) }

    private fun markLeaving(
        target: PooledTarget,
        knownInVersion: Long,
        nowMillis: Long,
    ) {
        if (target.leaving != null) return
        target.leaving = PooledTarget.Leaving(knownInVersion, nowMillis)
        health.forget(target)
        updateIndex(target)
        report(StateChange.TargetChanged(target.id, "leaving"))
        val known = facts[target.id]
        val isKnown = known != null && known.state == TargetFactState.LEAVING && target.matches(known)
        if (!isKnown) publish(target, TargetFactState.LEAVING)
    }

    private fun applyState(
        target: PooledTarget,
        fact: TargetFact,
        nowMillis: Long,
    ) {
        val leaving = target.leaving
        when {
            fact.state == TargetFactState.LEAVING -> markLeaving(target, fact.listVersion, nowMillis)
            leaving == null && fact.state == TargetFactState.ISOLATED -> health.onIsolatedByPeer(target, nowMillis)
            leaving == null -> health.onRecoveredAtPeer(target)
            fact.state == TargetFactState.RECOVERED &&
                fact.listVersion > leaving.listVersion &&
                (!target.listedAsLeaving || fact.listVersion > listVersion) ->
                replace(target, target.instance, nowMillis)
            // The peer did not know that the target is leaving, so the fact is published with a higher sequence number.
            else -> publish(target, TargetFactState.LEAVING)
        }
    }

    private fun publish(
        target: PooledTarget,
        state: TargetFactState,
    ) = facts.publish(target.id, target.instance, listVersion, state)

    private fun onHealthChanged(target: PooledTarget) {
        updateIndex(target)
        if (!target.probeDue) report(StateChange.TargetChanged(target.id, target.health.name.lowercase()))
    }

    private fun probe(
        service: ServiceTargets,
        requirements: TaskRequirements,
        nowMillis: Long,
    ): PooledTarget? {
        if (service.probes.isEmpty()) return null
        val target =
            service.probes.firstOrNull { it.fits(requirements) && mayProbe(it, service, requirements, nowMillis) }
        target?.probeInFlight = true
        return target
    }

    private fun mayProbe(
        target: PooledTarget,
        service: ServiceTargets,
        requirements: TaskRequirements,
        nowMillis: Long,
    ): Boolean =
        // A failing probe fails its job, so the highest class is not used while lower classes are present.
        (requirements.idempotent && !service.isTopClass(requirements, nowMillis)) ||
            // A refused connection cannot have started the task.
            target.health == Health.UNREACHABLE ||
            // No more suitable task arrived within another backoff interval, or it would have become the probe.
            nowMillis >= target.nextProbeMillis + target.probeBackoffMillis ||
            service.accepting.none { it.health == Health.USABLE }

    private fun endStartOnReplaced(targetId: TargetId): Boolean {
        val starts = startsOnReplaced[targetId] ?: return false
        if (starts > 1) startsOnReplaced[targetId] = starts - 1 else startsOnReplaced -= targetId
        return true
    }

    private fun updateHealth(
        target: PooledTarget,
        requirements: TaskRequirements,
        answer: TargetAnswer?,
        elapsedMillis: Long,
        nowMillis: Long,
    ) {
        when (answer) {
            null -> health.onProbeInconclusive(target)
            is TargetAnswer.Succeeded -> {
                learnSlowness(target, requirements, elapsedMillis, nowMillis)
                if (health.onSucceeded(target, nowMillis)) publish(target, TargetFactState.RECOVERED)
            }
            is TargetAnswer.TaskFailed, is TargetAnswer.Lost ->
                if (health.onFailed(target, nowMillis)) publish(target, TargetFactState.ISOLATED)
            is TargetAnswer.NotStarted ->
                when (answer.reason) {
                    NotStartedReason.BUSY -> health.onBusy(target, nowMillis)
                    NotStartedReason.LEAVING -> markLeaving(target, listVersion, nowMillis)
                    NotStartedReason.UNREACHABLE -> health.onUnreachable(target, nowMillis)
                }
        }
    }

    private fun learnSlowness(
        target: PooledTarget,
        requirements: TaskRequirements,
        elapsedMillis: Long,
        nowMillis: Long,
    ) {
        val service = services[requirements.service] ?: return
        if (requirements.expectedMillis <= 0) return
        val runMillis = max(0.0, elapsedMillis - target.roundTripMillis)
        val ratio = max(ServiceTargets.MIN_SLOWNESS, runMillis / requirements.expectedMillis)
        target.learnSlowness(service.learnRelativeSlowness(requirements, ratio), nowMillis)
    }

    private fun removeFromIndex(target: PooledTarget) {
        val old = target.indexed
        target.indexed = IndexedState.ABSENT
        target.services.forEach { it.updateIndex(target, old, IndexedState.ABSENT) }
    }

    /** Updates the sets and sums of the target's services after [target] has changed. */
    private fun updateIndex(target: PooledTarget) {
        val old = target.indexed
        val new = target.indexedState()
        if (old == new) return
        target.indexed = new
        target.services.forEach { it.updateIndex(target, old, new) }
    }

    /** Whether [fact] is about this registration rather than an earlier process. */
    private fun PooledTarget.matches(fact: TargetFact): Boolean =
        fact.address == instance.address && fact.listVersion >= registeredInVersion

    private fun TargetFact.sameVersionAs(other: TargetFact?): Boolean =
        other != null && listVersion == other.listVersion && sequence == other.sequence

    companion object {
        val Factory = TargetPool.Factory { options, report -> RealTargetPool(options, report) }

        /** Completions trigger dispatches; this slow timer is needed when no task is in flight. */
        const val CHOOSE_RETRY_MILLIS = 50L

        /** No target takes this long to leave, so a list that still shows it live after this time is trusted. */
        const val MAX_LEAVING_MILLIS = 600_000L
    }
}
