package io.jackdawring.core.fleet

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId

/**
 * Decides when this entry instance tries to become the holder of a shard of its failure domain.
 *
 * A holder is suspected if nothing was received from it for [SUSPECT_AFTER_MILLIS], if it refuses connections or if it
 * denies that it is the holder. Members that accept connections try in descending order of weight, each
 * [RANK_DELAY_MILLIS] after the previous one; the store's compare-and-swap decides between concurrent attempts.
 */
class ShardElection(
    private val self: FleetMember,
) {
    private class MemberState(
        /** Time of the last message from the member, or of the first query about it if there was none. */
        var lastHeardMillis: Long,
        var heardFrom: Boolean = false,
        var consecutiveRefusals: Int = 0,
        /** Whether no process listens at the address of the member. */
        var hasEnded: Boolean = false,
        var consecutiveDenials: Int = 0,
        /** Time of the last message from the member; null before the first one. */
        var lastContactMillis: Long? = null,
        /** Time at which callers of its runs waited by its last reply that it holds its shards; own pauses do not shift it. */
        var lastServedMillis: Long? = null,
    ) {
        /** What was known of the member before its claim of a shard is outdated. */
        fun onClaimed(nowMillis: Long) {
            lastHeardMillis = nowMillis
            consecutiveRefusals = 0
            hasEnded = false
            consecutiveDenials = 0
        }

        fun isLive(nowMillis: Long) =
            heardFrom && consecutiveRefusals == 0 && nowMillis - lastHeardMillis < SUSPECT_AFTER_MILLIS
    }

    /** A holder of a shard, and when its predecessor was last known to hold the shard. */
    private class Succession(
        val revision: Long,
        val holder: InstanceId,
        val sinceMillis: Long,
        val hasPredecessor: Boolean,
        val predecessorSeenAtMillis: Long?,
    )

    private val memberStates = HashMap<InstanceId, MemberState>()
    private val successions = HashMap<ShardId, Succession>()
    private val vacantSince = HashMap<ShardId, Long>()
    private val nextAttempt = HashMap<ShardId, Long>()

    /**
     * Records a reply of [instanceId], according to which all callers of its runs waited at [servedAtMillis].
     *
     * [holds] is whether it holds all shards assigned to it in the store. The reply may have waited to be read.
     */
    fun onHeartbeat(
        instanceId: InstanceId,
        holds: Boolean,
        nowMillis: Long,
        servedAtMillis: Long = nowMillis,
    ) {
        val memberState = recordContact(instanceId, nowMillis)
        memberState.consecutiveDenials = if (holds) 0 else memberState.consecutiveDenials + 1
        if (holds) memberState.lastServedMillis = servedAtMillis
    }

    /** Records the holder of a shard according to the store; a change of it shows that the new holder is alive. */
    fun onHolder(
        holding: ShardHolding,
        nowMillis: Long,
    ) {
        val known = successions[holding.shardId]
        if (known != null && holding.revision <= known.revision) return
        val seenAtMillis = lastSeenMillis(holding.shardId, nowMillis)
        val holder = holding.holder.instanceId
        if (known != null) memberStates.getOrPut(holder) { MemberState(nowMillis) }.onClaimed(nowMillis)
        successions[holding.shardId] = Succession(holding.revision, holder, nowMillis, known != null, seenAtMillis)
    }

    /**
     * Time at which the last holder of [shardId] that took in jobs was known to hold it; null if that is not known.
     *
     * That is not the current holder if it took the shard over a moment ago and may still have runs that no job has
     * claimed.
     */
    fun lastSeenMillis(
        shardId: ShardId,
        nowMillis: Long,
    ): Long? {
        val succession = successions[shardId] ?: return null
        val isRecent = nowMillis - succession.sinceMillis < RECENT_MILLIS
        if (isRecent && succession.hasPredecessor) return succession.predecessorSeenAtMillis
        return memberStates[succession.holder]?.lastServedMillis
    }

    /** Records a request from [instanceId], which shows that it is alive. */
    fun onPeerRequest(
        instanceId: InstanceId,
        nowMillis: Long,
    ) {
        recordContact(instanceId, nowMillis)
    }

    private fun recordContact(
        instanceId: InstanceId,
        nowMillis: Long,
    ): MemberState {
        val memberState = memberStates.getOrPut(instanceId) { MemberState(nowMillis) }
        memberState.lastHeardMillis = nowMillis
        memberState.lastContactMillis = nowMillis
        memberState.heardFrom = true
        memberState.consecutiveRefusals = 0
        memberState.hasEnded = false
        return memberState
    }

    /** Time of the last request or answer of [instanceId]; null if there was none. */
    fun lastContactMillis(instanceId: InstanceId): Long? = memberStates[instanceId]?.lastContactMillis

    /** The instances that have sent a request or an answer since [sinceMillis]. */
    fun contactsSince(sinceMillis: Long): Set<InstanceId> =
        memberStates.filterValues { state -> state.lastContactMillis?.let { it >= sinceMillis } == true }.keys

    /**
     * Records that no connection to [instanceId] was possible; returns whether one more such case decides on a suspicion.
     *
     * With [hasEnded], no process listens at its address; otherwise it may be cut off.
     */
    fun onRefused(
        instanceId: InstanceId,
        nowMillis: Long,
        hasEnded: Boolean = false,
    ): Boolean {
        val memberState = memberStates.getOrPut(instanceId) { MemberState(nowMillis) }
        if (hasEnded) memberState.hasEnded = true
        memberState.consecutiveRefusals++
        return memberState.consecutiveRefusals == REFUSALS_FOR_SUSPICION - 1
    }

    /** Records that this instance was paused for [pausedMillis] and could receive nothing in that time. */
    fun onPaused(
        pausedMillis: Long,
        nowMillis: Long,
    ) = memberStates.values.forEach { it.lastHeardMillis = minOf(nowMillis, it.lastHeardMillis + pausedMillis) }

    /** Whether the holder in [holding] has probably failed or no longer acts as the holder. */
    fun isSuspected(
        holding: ShardHolding,
        nowMillis: Long,
    ): Boolean {
        val holder = holding.holder
        if (holder.instanceId == self.instanceId) return holder.incarnation != self.incarnation
        val memberState = memberStates.getOrPut(holder.instanceId) { MemberState(nowMillis) }
        return memberState.consecutiveDenials >= DENIALS_FOR_SUSPICION ||
            memberState.consecutiveRefusals >= REFUSALS_FOR_SUSPICION ||
            nowMillis - memberState.lastHeardMillis >= SUSPECT_AFTER_MILLIS
    }

    /** Whether the holder in [holding] is known not to act any more: its process has ended, or has released the shard. */
    fun hasEnded(holding: ShardHolding): Boolean {
        val holder = holding.holder
        if (holder.instanceId == self.instanceId) return holder.incarnation != self.incarnation
        val memberState = memberStates[holder.instanceId] ?: return false
        return memberState.hasEnded || memberState.consecutiveDenials >= DENIALS_FOR_SUSPICION
    }

    /** Whether the holder in [holding] has answered this instance and is not suspected. */
    fun isConfirmed(
        holding: ShardHolding,
        nowMillis: Long,
    ): Boolean = !isSuspected(holding, nowMillis) && memberStates[holding.holder.instanceId]?.heardFrom == true

    /** As [isConfirmed], or the holder has not refused a connection for a while and may only be slow to answer. */
    fun isPresumedAlive(
        holding: ShardHolding,
        nowMillis: Long,
    ): Boolean {
        if (isSuspected(holding, nowMillis)) return false
        val memberState = memberStates[holding.holder.instanceId] ?: return false
        val wasAsked = nowMillis - memberState.lastHeardMillis >= PRESUMED_ALIVE_MILLIS
        return memberState.heardFrom || wasAsked && memberState.consecutiveRefusals == 0
    }

    /** Whether this instance, which does not hold [shardId], should try to take it now. */
    fun shouldClaim(
        shardId: ShardId,
        holding: ShardHolding?,
        members: Collection<FleetMember>,
        nowMillis: Long,
    ): Boolean {
        // The store names this instance after a restart, or after a claim whose reply was lost.
        val isOwn = holding?.holder?.instanceId == self.instanceId
        if (holding != null && !isOwn && !isSuspected(holding, nowMillis)) {
            vacantSince.remove(shardId)
            return false
        }
        val since = vacantSince.getOrPut(shardId) { nowMillis }
        // This instance knows at once that it does not hold the shard; others suspect it only later.
        val rank = if (isOwn) 0 else rank(holding?.holder, members)
        val delay = rank * RANK_DELAY_MILLIS
        if (nowMillis - since < delay || nowMillis < (nextAttempt[shardId] ?: Long.MIN_VALUE)) return false
        nextAttempt[shardId] = nowMillis + ATTEMPT_INTERVAL_MILLIS
        return true
    }

    /** Live members that may succeed this instance as holder, highest weight first. */
    fun successors(
        members: Collection<FleetMember>,
        nowMillis: Long,
    ): List<FleetMember> = liveMembers(members, self.failureDomain, nowMillis)

    /** Other members of [domain] that answer, highest weight first. */
    fun liveMembers(
        members: Collection<FleetMember>,
        domain: FailureDomainId,
        nowMillis: Long,
    ): List<FleetMember> =
        members
            .filter { it.failureDomain == domain && it.instanceId != self.instanceId }
            .filter { member -> memberStates[member.instanceId]?.isLive(nowMillis) == true }
            .sortedWith(preference)

    private fun rank(
        suspect: FleetMember?,
        members: Collection<FleetMember>,
    ): Int =
        members.count {
            it.failureDomain == self.failureDomain &&
                it.instanceId != suspect?.instanceId &&
                it.instanceId != self.instanceId &&
                preference.compare(it, self) < 0 &&
                !refusesConnections(it)
        }

    /** Whether the last attempt to connect to [member] was refused, so that it cannot claim a shard now. */
    private fun refusesConnections(member: FleetMember) =
        (memberStates[member.instanceId]?.consecutiveRefusals ?: 0) > 0

    companion object {
        /** A host without the process refuses a connection within a few milliseconds. */
        const val PRESUMED_ALIVE_MILLIS = 50L

        /** Three missed pings, which are sent every 150 ms. */
        private const val SUSPECT_AFTER_MILLIS = 450L

        /** Time in which a new holder has stopped the runs that no job has claimed. */
        private const val RECENT_MILLIS = 1_300L

        /** A single refusal may come from a process that is just restarting. */
        private const val REFUSALS_FOR_SUSPICION = 2

        /** A single denial may have been sent before the holder learned that its claim succeeded. */
        private const val DENIALS_FOR_SUSPICION = 2

        /** Time for the higher-ranked member to take the shard and for that update to arrive. */
        private const val RANK_DELAY_MILLIS = 150L

        /** Limits the load of failing claims on an overloaded store. */
        private const val ATTEMPT_INTERVAL_MILLIS = 300L
        private val preference: Comparator<FleetMember> =
            compareByDescending<FleetMember> {
                it.weight
            }.thenBy { it.instanceId.value }
    }
}
