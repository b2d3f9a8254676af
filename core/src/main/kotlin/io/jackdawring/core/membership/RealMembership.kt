package io.jackdawring.core.membership

import io.jackdawring.core.EntryOptions
import io.jackdawring.core.InstanceId
import io.jackdawring.core.InstanceList
import io.jackdawring.core.InstanceRole
import io.jackdawring.core.MemberStatus
import io.jackdawring.core.Owner
import io.jackdawring.core.StateChange
import java.util.TreeMap
import kotlin.random.Random

internal class RealMembership(
    private val options: EntryOptions,
    private val report: (StateChange) -> Unit,
) : Membership {
    private val self = options.self
    private val idHash = self.instanceId.value.hashCode()
    private val random = Random(options.seed xor idHash.toLong() xor self.incarnation)
    private val members = TreeMap<String, Member>()
    private val byAddress = HashMap<String, MutableSet<Member>>()
    private val byToken = HashMap<String, Member>()
    private val successions = SuccessionTable(options.sessionLifetimeMillis, 2 * options.gossipIntervalMillis)
    private val selection = FactSelection()

    /** Last (incarnation, heartbeat) of dropped members, so that late gossip does not add them again. */
    private val dropped = HashMap<String, DroppedMember>()

    /** Addresses of entry instances in the platform's list by id, this instance excluded. */
    private var listed: Map<String, String> = emptyMap()
    private var listedAddresses: Set<String> = emptySet()
    private var listVersion = Long.MIN_VALUE
    private val failedAddresses = HashSet<String>()

    private var heartbeat = 1L
    private var draining = false
    private var succeededBy: InstanceId? = null
    private var successorIncarnation: Long? = null
    private var successionSinceMillis: Long? = null
    private var advertisedVersion = 0L
    private var nextGossipMillis = DUE_AT_ONCE
    private var lastGossipMillis = DUE_AT_ONCE
    private var urgent = false
    private var nextSweepMillis = DUE_AT_ONCE
    private val sweepIntervalMillis = maxOf(1, options.gossipIntervalMillis / SWEEPS_PER_GOSSIP_INTERVAL)

    private var tasksInFlight = 0
    override val othersInFlight: Int get() = members.values.sumOf { if (it.isLive) it.tasksInFlight else 0 }

    override var liveCount = 1
        private set
    override var rank = 0
        private set

    override fun applyList(
        list: InstanceList,
        nowMillis: Long,
    ) {
        if (list.version < listVersion) return
        listVersion = list.version
        listed =
            list.instances
                .filter { it.role == InstanceRole.ENTRY && it.id != self.instanceId.value }
                .associate { it.id to it.address }
        listedAddresses = listed.values.toSet()
        failedAddresses.retainAll { isKnownAddress(it) }
    }

    override fun merge(
        sender: Owner,
        facts: List<MemberFact>,
        nowMillis: Long,
    ) {
        facts.forEach { mergeFact(it, nowMillis) }
        updateLiveCountAndRank()
    }

    private fun mergeFact(
        fact: MemberFact,
        nowMillis: Long,
    ) {
        successions.merge(fact, nowMillis)
        val id = fact.owner.instanceId.value
        if (id == self.instanceId.value) return
        val member = members[id]
        when {
            // A fact with a successor outlives its instance, so it does not prove that the instance is up.
            member == null -> if (fact.succeededBy == null && !isDropped(fact)) add(fact, nowMillis)
            fact.owner.incarnation > member.fact.owner.incarnation -> replace(member, fact, nowMillis)
            fact.owner.incarnation == member.fact.owner.incarnation -> update(member, fact, nowMillis)
        }
    }

    private fun isDropped(fact: MemberFact): Boolean {
        val last = dropped[fact.owner.instanceId.value] ?: return false
        return fact.owner.incarnation < last.incarnation ||
            (fact.owner.incarnation == last.incarnation && fact.heartbeat <= last.heartbeat)
    }

    private fun add(
        fact: MemberFact,
        nowMillis: Long,
    ) {
        val member = Member(fact, nowMillis)
        members[fact.owner.instanceId.value] = member
        byAddress.getOrPut(fact.owner.peerAddress) { HashSet() }.add(member)
        byToken[member.token] = member
        failedAddresses.remove(fact.owner.peerAddress)
        dropped.remove(fact.owner.instanceId.value)
        reportState(member, member.stateName())
    }

    private fun remove(member: Member) {
        val owner = member.fact.owner
        members.remove(owner.instanceId.value)
        byToken.remove(member.token, member)
        byAddress[owner.peerAddress]?.let {
            it.remove(member)
            if (it.isEmpty()) byAddress.remove(owner.peerAddress)
        }
    }

    private fun replace(
        former: Member,
        fact: MemberFact,
        nowMillis: Long,
    ) {
        if (fact.succeededBy == null) {
            remove(former)
            add(fact, nowMillis)
        } else {
            drop(former, fact.owner.incarnation, fact.heartbeat, nowMillis)
        }
    }

    /** Content and heartbeat are compared separately: a bare heartbeat may overtake its fact. */
    private fun update(
        member: Member,
        fact: MemberFact,
        nowMillis: Long,
    ) {
        if (fact.heartbeat > member.fact.heartbeat) {
            val before = member.stateName()
            if (!member.hasSameContent(fact)) member.factSendCount = 0
            // The address of an incarnation never changes; the index by address relies on it.
            member.fact = fact.copy(owner = member.fact.owner)
            if (member.stateName() != before) reportState(member, member.stateName())
        }
        applyHeartbeat(member, fact.heartbeat, fact.tasksInFlight, nowMillis)
    }

    override fun mergeHeartbeats(
        heartbeats: List<Heartbeat>,
        nowMillis: Long,
    ) {
        for (received in heartbeats) {
            byToken[received.token]?.let { applyHeartbeat(it, received.heartbeat, received.tasksInFlight, nowMillis) }
        }
        updateLiveCountAndRank()
    }

    private fun applyHeartbeat(
        member: Member,
        newHeartbeat: Long,
        tasksInFlight: Int,
        nowMillis: Long,
    ) {
        if (newHeartbeat <= member.heartbeat) return
        member.tasksInFlight = tasksInFlight
        member.heartbeat = newHeartbeat
        member.advancedAtMillis = nowMillis
        failedAddresses.remove(member.fact.owner.peerAddress)
        setSuspicion(member, silent = false, sendFailed = false)
    }

    private fun setSuspicion(
        member: Member,
        silent: Boolean,
        sendFailed: Boolean,
    ) {
        val before = member.isSuspect
        member.silent = silent
        member.sendFailed = sendFailed
        if (member.isSuspect != before) reportState(member, member.stateName())
    }

    private fun reportState(
        member: Member,
        state: String,
    ) = report(StateChange.MemberChanged(member.fact.owner.instanceId, state))

    override fun sendFailed(
        peerAddress: String,
        nowMillis: Long,
    ) {
        if (isKnownAddress(peerAddress)) failedAddresses.add(peerAddress)
        byAddress[peerAddress]?.forEach { setSuspicion(it, silent = it.silent, sendFailed = true) }
        updateLiveCountAndRank()
    }

    /** An acknowledgement does not clear [Member.silent]: another incarnation may answer at the same address. */
    override fun sendAcknowledged(
        peerAddress: String,
        nowMillis: Long,
    ) {
        if (!failedAddresses.remove(peerAddress)) return
        byAddress[peerAddress]?.forEach { setSuspicion(it, silent = it.silent, sendFailed = false) }
        updateLiveCountAndRank()
    }

    private fun updateLiveCountAndRank() {
        var live = 1
        var before = 0
        for ((id, member) in members) {
            if (!member.isLive) continue
            live++
            if (id < self.instanceId.value) before++
        }
        liveCount = live
        rank = before
    }

    override fun setTasksInFlight(tasksInFlight: Int) {
        this.tasksInFlight = tasksInFlight
    }

    override fun facts(
        configurationVersion: Long,
        nowMillis: Long,
    ): List<MemberFact> {
        // Incremented per message and not per round, so that a newer value arrives sooner over one of the gossip paths.
        heartbeat++
        advertisedVersion = configurationVersion
        return selection.facts(ownFact(nowMillis), members.values, successions, nowMillis)
    }

    private fun ownFact(nowMillis: Long): MemberFact {
        if (succeededBy != null && successionSinceMillis == null) successionSinceMillis = nowMillis
        return MemberFact(
            owner = self,
            heartbeat = heartbeat,
            configurationVersion = advertisedVersion,
            draining = draining,
            succeededBy = succeededBy,
            successorIncarnation = successorIncarnation,
            successionAgeMillis = successionSinceMillis?.let { nowMillis - it } ?: 0,
            tasksInFlight = tasksInFlight,
        )
    }

    override fun heartbeats(nowMillis: Long): List<Heartbeat> = selection.heartbeats(members.values)

    override fun takeGossipPeers(nowMillis: Long): List<String> {
        if (nowMillis < nextGossipMillis) return emptyList()
        nextGossipMillis = nowMillis + options.gossipIntervalMillis
        lastGossipMillis = nowMillis
        val fanOut = if (urgent) maxOf(URGENT_FAN_OUT, options.gossipFanOut) else options.gossipFanOut
        urgent = false
        val addresses =
            (byAddress.keys + listedAddresses)
                .ifEmpty { options.peerSeeds.toSet() }
                .filter { it != self.peerAddress }
                .sorted()
        val (suspects, healthy) = addresses.partition { isSuspectAddress(it) }
        val peers = healthy.shuffled(random).take(fanOut).toMutableList()
        // Suspect peers get a digest now and then, so that both sides of a healed partition discover each other again.
        val probe = suspects.isNotEmpty() && random.nextInt(ROUNDS_PER_PROBE) == 0
        if (probe && peers.size == fanOut) peers.removeLast()
        if (probe || peers.size < fanOut) {
            peers += suspects.shuffled(random).take(fanOut - peers.size)
        }
        return peers
    }

    override fun gossipNow(nowMillis: Long) {
        urgent = true
        nextGossipMillis = minOf(nextGossipMillis, maxOf(nowMillis, lastGossipMillis + URGENT_INTERVAL_MILLIS))
    }

    private fun isSuspectAddress(address: String): Boolean =
        address in failedAddresses || byAddress[address]?.all { it.isSuspect } == true

    override fun isReachable(owner: Owner): Boolean {
        if (owner.instanceId == self.instanceId) return owner == self
        val id = owner.instanceId.value
        val member = members[id]
        if (member != null) return member.fact.owner == owner && !member.isSuspect
        return listed[id] == owner.peerAddress && owner.peerAddress !in failedAddresses && id !in dropped
    }

    override fun isKnownAddress(peerAddress: String): Boolean =
        peerAddress in byAddress || peerAddress in listedAddresses

    override fun successorOf(owner: Owner): Owner? =
        successions.findLiveHolder(owner) { id, incarnation ->
            reachableOwner(id)?.takeIf { incarnation == null || it.incarnation == incarnation }
        }

    private fun reachableOwner(id: InstanceId): Owner? {
        if (id == self.instanceId) return self
        val member = members[id.value] ?: return null
        return if (member.isSuspect) null else member.fact.owner
    }

    override fun successorCandidates(): List<Owner> =
        rendezvousOrder(self, members.values.filter { it.isLive && !it.fact.draining }.map { it.fact.owner })

    override fun drain(succeededBy: InstanceId?) {
        if (draining && this.succeededBy == succeededBy) return
        draining = true
        this.succeededBy = succeededBy
        successorIncarnation = succeededBy?.let { members[it.value]?.fact?.owner?.incarnation }
        successionSinceMillis = null
        heartbeat++
    }

    override fun nextTimerMillis(): Long = minOf(nextGossipMillis, nextSweepMillis)

    override fun onTimer(nowMillis: Long) {
        if (nowMillis < nextSweepMillis) return
        discountOwnPause(nowMillis)
        nextSweepMillis = nowMillis + sweepIntervalMillis
        for (member in members.values.toList()) {
            val silenceMillis = nowMillis - member.advancedAtMillis
            when {
                silenceMillis >= options.dropAfterMillis ->
                    drop(member, member.fact.owner.incarnation, member.heartbeat, nowMillis)
                silenceMillis >= options.suspectAfterMillis ->
                    setSuspicion(member, silent = true, sendFailed = member.sendFailed)
            }
        }
        dropped.values.removeAll { it.forgetAtMillis <= nowMillis }
        successions.expire(nowMillis)
        updateLiveCountAndRank()
    }

    /** Excludes a pause of this process from the silence of members: it could receive nothing meanwhile. */
    private fun discountOwnPause(nowMillis: Long) {
        val lateMillis = nowMillis - nextSweepMillis
        if (nextSweepMillis == DUE_AT_ONCE || lateMillis < options.suspectAfterMillis / 2) return
        members.values.forEach { it.advancedAtMillis = minOf(nowMillis, it.advancedAtMillis + lateMillis) }
    }

    private fun drop(
        member: Member,
        incarnation: Long,
        lastHeartbeat: Long,
        nowMillis: Long,
    ) {
        remove(member)
        // A peer may gossip the last heartbeat for up to one more drop time; after two, no instance does.
        val forgetAtMillis = nowMillis + 2 * options.dropAfterMillis
        dropped[member.fact.owner.instanceId.value] = DroppedMember(incarnation, lastHeartbeat, forgetAtMillis)
        reportState(member, "dropped")
    }

    override fun status(): List<MemberStatus> =
        members.values.map { MemberStatus(it.fact.owner, it.stateName(), it.fact.configurationVersion) }

    private class DroppedMember(
        val incarnation: Long,
        val heartbeat: Long,
        val forgetAtMillis: Long,
    )

    companion object {
        val Factory = Membership.Factory { options, report -> RealMembership(options, report) }

        private const val DUE_AT_ONCE = Long.MIN_VALUE / 2

        /** Suspicion is delayed by at most a quarter of the gossip interval. */
        private const val SWEEPS_PER_GOSSIP_INTERVAL = 4
        private const val ROUNDS_PER_PROBE = 4

        /** A fan-out of 3 reaches 30 instances in four rounds, well within the 3 s limit for a leaving target. */
        private const val URGENT_FAN_OUT = 3

        /** Limits the traffic when many targets leave at the same time. */
        private const val URGENT_INTERVAL_MILLIS = 200L
    }
}
