package io.jackdawring.fleet

import io.jackdawring.core.InstanceId
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardElection
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.fleet.peer.ConfirmationMessage
import io.jackdawring.fleet.peer.PeerClient
import io.jackdawring.fleet.peer.PeerReply
import io.jackdawring.fleet.shard.DurableOwnership
import io.jackdawring.fleet.store.StoreMirror

/**
 * Confirms holders to each other while the store is out, and tells when earlier holders have lost their ownership.
 *
 * See [DurableOwnership] for what a holder does with confirmations. Confined to the control thread.
 */
internal class EarlierHolders(
    private val self: FleetMember,
    private val mirror: StoreMirror,
    private val directory: FleetDirectory,
    private val election: ShardElection,
    private val peers: PeerClient,
    private val loop: ControlLoop,
) {
    private class KnownMember(
        val member: FleetMember,
        val listedAtMillis: Long,
    )

    /** Times at which this instance last confirmed a shard to a holder. */
    private val confirmedAt = HashMap<ShardId, Long>()

    /** Times of claims of this instance that were not answered and may still be applied. */
    private val unansweredClaims = HashMap<ShardId, Long>()

    /** Members that are, or were lately, in the store. */
    private val knownMembers = HashMap<InstanceId, KnownMember>()
    private var registeredAtMillis = loop.nowMillis()

    /** Records that the entry of this instance was written. */
    fun onRegistered() {
        registeredAtMillis = loop.nowMillis()
    }

    fun onDirectoryChanged() {
        val now = loop.nowMillis()
        directory.members.values.forEach { knownMembers[it.instanceId] = KnownMember(it, now) }
        knownMembers.values.removeIf { now - it.listedAtMillis >= MEMORY_MILLIS && !isListed(it.member) }
    }

    private fun isListed(member: FleetMember) = member.instanceId.value in directory.members

    fun onClaimUnanswered(shardId: ShardId) {
        unansweredClaims[shardId] = loop.nowMillis()
    }

    /** Confirms the holder of [shardId] at [revision] unless a later one is known or this instance [mayHaveClaimed] it. */
    fun confirm(
        shardId: ShardId,
        revision: Long,
        mayHaveClaimed: Boolean,
    ): Boolean {
        val now = loop.nowMillis()
        val hasOpenClaim = unansweredClaims[shardId]?.let { now - it < OPEN_CLAIM_MILLIS } == true
        val isOutdated = (directory.holdings[shardId]?.revision ?: 0) > revision
        if (mayHaveClaimed || hasOpenClaim || isOutdated) return false
        confirmedAt[shardId] = now
        return true
    }

    /** Asks all other instances to confirm [holding]; calls [onResult] once, with false if one of them cannot be asked. */
    fun requestConfirmations(
        holding: ShardHolding,
        onResult: (Boolean) -> Unit,
    ) {
        val now = loop.nowMillis()
        onDirectoryChanged()
        val others = knownMembers.values.map { it.member }.filter { it.instanceId != self.instanceId }
        val known = others.map { it.instanceId }.toSet() + self.instanceId
        if (!known.containsAll(election.contactsSince(now - MEMORY_MILLIS))) return onResult(false)
        var open = others.size
        var isConfirmed = true
        if (open == 0) return onResult(true)
        val message = ConfirmationMessage(self.instanceId.value, holding.shardId, holding.revision)
        for (other in others) {
            peers.requestConfirmation(other, message) { reply ->
                val hasEnded = reply is PeerReply.NotSent && reply.refused
                val confirms = reply is PeerReply.Answered && reply.message.confirmed
                isConfirmed = isConfirmed && (hasEnded || confirms)
                if (--open == 0) onResult(isConfirmed)
            }
        }
    }

    /** Whether no holder before the one in [holding], which is this instance, has ownership of the shard. */
    fun haveStopped(
        holding: ShardHolding,
        previous: ShardHolding?,
    ): Boolean {
        val now = loop.nowMillis()
        if (!mirror.isLoaded || mirror.revision < holding.revision) return false
        val prefix = FleetKeys.ownerships(holding.shardId)
        val hasKey = mirror.items.any { it.key.startsWith(prefix) && isEarlier(it.key.removePrefix(prefix), holding) }
        val lastConfirmedMillis = maxOf(confirmedAt[holding.shardId] ?: registeredAtMillis, registeredAtMillis)
        if (hasKey || now - lastConfirmedMillis < DurableOwnership.CONFIRMED_MILLIS) return false
        // Before that, an earlier holder that does not know this instance may count on the other ones.
        val isOldMember =
            now - registeredAtMillis >= DurableOwnership.MAX_OUTAGE_MILLIS + DurableOwnership.CONFIRMED_MILLIS
        return isOldMember || previous != null && previous.cutOffRevision == null && isKnownTo(previous.holder)
    }

    private fun isEarlier(
        revision: String,
        holding: ShardHolding,
    ) = (revision.toLongOrNull() ?: 0) < holding.revision

    private fun isKnownTo(member: FleetMember): Boolean =
        election.lastContactMillis(member.instanceId)?.let { it >= registeredAtMillis } == true

    companion object {
        /** Exceeds the time for which a holder can count on peers after it last saw the store. */
        private const val MEMORY_MILLIS = 2 * DurableOwnership.MAX_OUTAGE_MILLIS

        /** Longest time after which the platform's store applies a write whose answer was lost. */
        private const val OPEN_CLAIM_MILLIS = 15_000L
    }
}
