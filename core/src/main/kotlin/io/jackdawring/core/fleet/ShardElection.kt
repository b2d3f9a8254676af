package io.jackdawring.core.fleet

import io.jackdawring.core.InstanceId

/**
 * Decides when this entry instance tries to become the holder of a shard of its failure domain.
 *
 * A holder is suspected when it is silent for [SUSPICION_MILLIS] or refuses connections. The members try in the order of
 * their weight, each a little later than the one before; the store's compare-and-swap decides between them.
 */
class ShardElection(
    private val self: FleetMember,
) {
    private class Contact(
        /** Time of the last sign of life, or of the first question about the member. */
        var heardAtMillis: Long,
        var wasHeard: Boolean = false,
        var refusalsInRow: Int = 0,
        var denialsInRow: Int = 0,
    ) {
        fun isLive(nowMillis: Long) = refusalsInRow == 0 && nowMillis - heardAtMillis < SUSPICION_MILLIS
    }

    private val contacts = HashMap<InstanceId, Contact>()
    private val vacantSince = HashMap<ShardId, Long>()
    private val nextAttempt = HashMap<ShardId, Long>()

    /** Notes that [instanceId] has answered; [holds] is whether it says that it holds the shard the store ascribes to it. */
    fun onHeartbeat(
        instanceId: InstanceId,
        holds: Boolean,
        nowMillis: Long,
    ) {
        val contact = onSign(instanceId, nowMillis)
        contact.denialsInRow = if (holds) 0 else contact.denialsInRow + 1
    }

    /** Notes that [instanceId] has asked for a sign of life. */
    fun onPeerRequest(
        instanceId: InstanceId,
        nowMillis: Long,
    ) {
        onSign(instanceId, nowMillis)
    }

    private fun onSign(
        instanceId: InstanceId,
        nowMillis: Long,
    ): Contact {
        val contact = contacts.getOrPut(instanceId) { Contact(nowMillis) }
        contact.heardAtMillis = nowMillis
        contact.wasHeard = true
        contact.refusalsInRow = 0
        return contact
    }

    /** Notes that [instanceId] has refused a connection. */
    fun onRefused(
        instanceId: InstanceId,
        nowMillis: Long,
    ) {
        contacts.getOrPut(instanceId) { Contact(nowMillis) }.refusalsInRow++
    }

    /** Notes that this instance itself did nothing for [pausedMillis], in which it could hear nobody. */
    fun onPaused(
        pausedMillis: Long,
        nowMillis: Long,
    ) = contacts.values.forEach { it.heardAtMillis = minOf(nowMillis, it.heardAtMillis + pausedMillis) }

    /** Whether the holder in [holding] is believed not to work as its holder. */
    fun isSuspected(
        holding: ShardHolding,
        nowMillis: Long,
    ): Boolean {
        val holder = holding.holder
        if (holder.instanceId == self.instanceId) return holder.incarnation != self.incarnation
        val contact = contacts.getOrPut(holder.instanceId) { Contact(nowMillis) }
        return contact.denialsInRow >= DENIALS_FOR_SUSPICION ||
            contact.refusalsInRow >= REFUSALS_FOR_SUSPICION ||
            nowMillis - contact.heardAtMillis >= SUSPICION_MILLIS
    }

    /** Whether the holder in [holding] has answered this instance and is not suspected. */
    fun isConfirmed(
        holding: ShardHolding,
        nowMillis: Long,
    ): Boolean = !isSuspected(holding, nowMillis) && contacts[holding.holder.instanceId]?.wasHeard == true

    /** Whether this instance, which does not hold [shardId], should try to take it now. */
    fun shouldClaim(
        shardId: ShardId,
        holding: ShardHolding?,
        members: Collection<FleetMember>,
        nowMillis: Long,
    ): Boolean {
        // The store names this instance after a restart, or after a claim whose answer was lost.
        val isOwn = holding?.holder?.instanceId == self.instanceId
        if (holding != null && !isOwn && !isSuspected(holding, nowMillis)) {
            vacantSince.remove(shardId)
            return false
        }
        val since = vacantSince.getOrPut(shardId) { nowMillis }
        // Nobody else suspects this instance as early as it knows that it does not hold the shard.
        val rank = if (isOwn) 0 else rank(holding?.holder, members)
        val delay = rank * RANK_DELAY_MILLIS
        if (nowMillis - since < delay || nowMillis < (nextAttempt[shardId] ?: Long.MIN_VALUE)) return false
        nextAttempt[shardId] = nowMillis + ATTEMPT_INTERVAL_MILLIS
        return true
    }

    /** Live members that may succeed this instance as holder, the best first. */
    fun successors(
        members: Collection<FleetMember>,
        nowMillis: Long,
    ): List<FleetMember> =
        members
            .filter { it.failureDomain == self.failureDomain && it.instanceId != self.instanceId }
            .filter { member -> contacts[member.instanceId]?.isLive(nowMillis) == true }
            .sortedWith(preference)

    private fun rank(
        suspect: FleetMember?,
        members: Collection<FleetMember>,
    ): Int =
        members.count {
            it.failureDomain == self.failureDomain &&
                it.instanceId != suspect?.instanceId &&
                it.instanceId != self.instanceId &&
                preference.compare(it, self) < 0
        }

    private companion object {
        /** Three missed pings of 150 ms. */
        const val SUSPICION_MILLIS = 450L

        /** A single refusal may hit a process that has just restarted. */
        const val REFUSALS_FOR_SUSPICION = 2

        /** A single denial may have crossed the news of the holder's claim. */
        const val DENIALS_FOR_SUSPICION = 2

        /** Time for the better-ranked member to take the shard and for the news to arrive. */
        const val RANK_DELAY_MILLIS = 150L

        /** Keeps a claim that fails from loading a store in trouble. */
        const val ATTEMPT_INTERVAL_MILLIS = 300L
        val preference: Comparator<FleetMember> =
            compareByDescending<FleetMember> {
                it.weight
            }.thenBy { it.instanceId.value }
    }
}
