package io.jackdawring.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.InstanceId
import io.jackdawring.core.PauseGuard
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.RelayFailureDetector
import io.jackdawring.core.fleet.ShardElection
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.HandOver
import io.jackdawring.core.shard.ShardDispatcher
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.fleet.durable.DurableJobStore
import io.jackdawring.fleet.durable.PeerPartClient
import io.jackdawring.fleet.durable.PeerShardCapacities
import io.jackdawring.fleet.metrics.FleetMetrics
import io.jackdawring.fleet.peer.HandOverMessage
import io.jackdawring.fleet.peer.PeerClient
import io.jackdawring.fleet.peer.PeerClocks
import io.jackdawring.fleet.peer.PeerReply
import io.jackdawring.fleet.shard.DecisionLog
import io.jackdawring.fleet.shard.DurableOwnership
import io.jackdawring.fleet.shard.ShardHost
import io.jackdawring.fleet.store.CommitResult
import io.jackdawring.fleet.store.KeyValueStore
import io.jackdawring.fleet.store.StoreChange
import io.jackdawring.fleet.store.StoreItem
import io.jackdawring.fleet.store.StoreMirror
import kotlinx.collections.immutable.ImmutableCollection
import kotlinx.collections.immutable.persistentListOf

private val logger = KotlinLogging.logger("io.jackdawring.fleet")

/**
 * Claims, holds and releases shards: those of the local failure domain, and abandoned ones of others.
 *
 * Confined to the control thread.
 */
internal class HeldShards(
    private val self: FleetMember,
    private val options: FleetOptions,
    private val loop: ControlLoop,
    private val store: KeyValueStore,
    private val mirror: StoreMirror,
    private val directory: FleetDirectory,
    private val targetClient: TargetClient,
    private val peers: PeerClient,
    private val clocks: PeerClocks,
    private val loads: ShardLoads,
    private val metrics: FleetMetrics,
    private val unixMillis: () -> Long,
    private val pauses: PauseGuard,
    private val targetsOf: (ShardId) -> ImmutableCollection<ShardTarget>,
    private val evacuations: DomainEvacuations = DomainEvacuations.Off,
    private val onHeldChanged: () -> Unit,
) {
    private val hosts = HashMap<ShardId, ShardHost>()
    private val claiming = HashSet<ShardId>()
    private val handingOver = HashSet<ShardId>()

    /** Hosts with an offer that was not answered and may still be taken, however later ones are answered. */
    private val undecided = HashSet<ShardHost>()
    private val abandoned = AbandonedShards(self)
    private val stopped = StoppedHoldings(directory, peers, clocks, loop, hosts::get)
    private var draining = false
    val election = ShardElection(self)
    val relays = RelayFailureDetector()
    private val earlierHolders = EarlierHolders(self, mirror, directory, election, peers, loop)
    private val lapsed = LapsedOwnerships(self, mirror, election)

    /** Times until which members of its failure domain are not offered a shard again. */
    private val nextReturnMillis = HashMap<ShardId, Long>()

    val held: Set<ShardId> get() = hosts.keys

    fun host(id: ShardId): ShardHost? = hosts[id]

    /** Longest time for which callers of runs in one of the held shards may have been gone. */
    fun unservedMillis(): Long = hosts.values.maxOfOrNull { it.unservedMillis() } ?: 0

    /** Claims shards whose holder is missing or suspected, and hands back those of other failure domains. */
    fun maintain() {
        stopped.announce()
        if (draining || !mirror.isLoaded) return
        val now = loop.nowMillis()
        val foreign = abandoned.find(directory, now) + lapsed.find(directory, isHolder = hosts.isNotEmpty(), now)
        for (id in directory.shardsOf(self.failureDomain) + foreign.distinct()) {
            val holding = directory.holdings[id]
            if (id in hosts || id in claiming) continue
            if (election.shouldClaim(id, holding, directory.members.values, now)) claimFrom(id, holding)
        }
        hosts.values.toList().forEach(::returnToOwnDomain)
    }

    /** Hands over a shard of another failure domain once entry instances of that domain answer again. */
    private fun returnToOwnDomain(host: ShardHost) {
        val id = host.holding.shardId
        val domain = id.failureDomain
        val now = loop.nowMillis()
        if (domain == self.failureDomain || id in handingOver || now < (nextReturnMillis[id] ?: 0)) return
        // The entry of a lost instance lasts for a while, and one that was written since then is that of a new process.
        val live = election.liveMembers(directory.members.values, domain, now).toSet()
        val members =
            directory.members.values.filter { it.failureDomain == domain && (it in live || isNewer(it, host.holding)) }
        if (members.isEmpty()) return
        nextReturnMillis[id] = now + RETURN_INTERVAL_MILLIS
        handOver(host, members.sortedByDescending { it.weight }, isRepeated = false)
    }

    private fun isNewer(
        member: FleetMember,
        holding: ShardHolding,
    ) = (mirror[FleetKeys.member(member.instanceId.value)]?.revision ?: 0) > holding.revision

    /** Confirms the holder of [shardId] at [revision] to it; see [EarlierHolders.confirm]. */
    fun confirm(
        shardId: ShardId,
        revision: Long,
    ): Boolean {
        val isHeldLater = hosts[shardId]?.let { it.holding.revision != revision } == true
        return earlierHolders.confirm(shardId, revision, mayHaveClaimed = isHeldLater || shardId in claiming)
    }

    /** Records that the entry of this instance was written to the store. */
    fun onRegistered() = earlierHolders.onRegistered()

    /** Releases shards for which the store names a newer holder. */
    fun onDirectoryChanged() {
        earlierHolders.onDirectoryChanged()
        directory.holdings.values.forEach { election.onHolder(it, loop.nowMillis()) }
        for (host in hosts.values.toList()) {
            val current = directory.holdings[host.holding.shardId] ?: continue
            if (current.revision <= host.holding.revision) continue
            release(host, "store names ${current.holder.instanceId.value} as holder")
        }
        stopped.announce()
    }

    /** Passes the news of a stopped holder on to a later one in this process; returns whether there is one. */
    fun onHolderStopped(message: HandOverMessage): Boolean {
        val host = hosts[message.shardId]?.takeIf { it.holding.revision > message.revision } ?: return false
        val stoppedAtMillis = message.madeAtMillis(loop.nowMillis(), PeerClient.PING_TIMEOUT_MILLIS)
        host.onHolderStopped(message.revision, message.toHandOver(), stoppedAtMillis)
        return true
    }

    fun onTargetsChanged() = hosts.values.forEach { it.updateTargets(targetsOf(it.holding.shardId)) }

    fun onEvacuationsChanged() =
        hosts.values.toList().forEach {
            val domain = it.holding.shardId.failureDomain
            it.updateEvacuated(evacuations.isEvacuated(domain), evacuations.graceMillis(domain))
        }

    /** Drops the jobs of [relay], which has sent nothing since [sinceMillis]. */
    fun onRelayFailed(
        relay: InstanceId,
        sinceMillis: Long,
    ) = hosts.values.forEach { it.expireAll(relay.value, sinceMillis) }

    /** Claims the shard [id], whose holder according to [previous] is missing or suspected. */
    private fun claimFrom(
        id: ShardId,
        previous: ShardHolding?,
    ) {
        val seenAt = election.lastSeenMillis(id, loop.nowMillis())
        val cutOffRevision = previous?.let { it.cutOffRevisionFor(self, election.hasEnded(it)) }
        claim(id, previous?.revision ?: 0, cutOffRevision) { taken ->
            if (taken && previous == null) hosts[id]?.inherit(holderToken = 0, HandOver.NONE, loop.nowMillis())
            if (taken && seenAt != null) hosts[id]?.onPredecessorServed(seenAt)
            // An adopter does not reach the targets of a holder that it has claimed the shard from.
            val wasAdopted = previous != null && previous.holder.failureDomain != id.failureDomain
            if (taken && wasAdopted && previous.cutOffRevision != null) hosts[id]?.onOthersCutOff()
        }
    }

    private fun claim(
        id: ShardId,
        revision: Long,
        cutOffRevision: Long?,
        onResult: (Boolean) -> Unit,
    ) {
        claiming.add(id)
        val previous = directory.holdings[id]?.takeIf { it.revision == revision }
        val claimedAtMillis = pauses.elapsedMillis(loop.nowMillis())
        val key = FleetKeys.shard(id)
        val value = self.encodeClaim(cutOffRevision)
        val change =
            StoreChange(
                persistentListOf(StoreChange.Condition(key, revision)),
                persistentListOf(StoreChange.Write(key, value)),
            )
        store.commit(change) { result ->
            claiming.remove(id)
            when (result) {
                is CommitResult.Committed ->
                    startHolding(
                        ShardHolding(id, self, result.revision, cutOffRevision),
                        claimedAtMillis,
                        previous,
                        revision,
                        StoreItem(key, value, result.revision),
                    )
                is CommitResult.Conflict -> result.items.forEach(mirror::applyIfNewer)
                is CommitResult.LeaseEnded -> Unit
                is CommitResult.Unavailable -> {
                    if (result.mayHaveApplied) earlierHolders.onClaimUnanswered(id)
                    logger.debug { "claim of shard $key at revision $revision failed: ${result.detail}" }
                }
            }
            onResult(id in hosts)
        }
    }

    private fun startHolding(
        holding: ShardHolding,
        claimedAtMillis: Long,
        previous: ShardHolding?,
        previousRevision: Long,
        item: StoreItem,
    ) {
        if (draining) return
        val name = FleetKeys.shard(holding.shardId)
        hosts[holding.shardId]?.let { release(it, "acquired again, after a holder of which no news has arrived") }
        metrics.shardAcquired()
        logger.info {
            "acquired shard $name with fencing token ${holding.revision} from " +
                (previous?.let { "${it.holder.instanceId.value} with ${it.revision}" } ?: "nobody known") +
                ", holders that may be cut off: up to ${holding.cutOffRevision ?: "none"}"
        }
        val host = createHost(holding, claimedAtMillis, previous)
        holding.cutOffRevision?.let { host.onHoldersCutOff(it, isPredecessor = it == previousRevision) }
        // Without a grace: this holder has started nothing yet.
        host.updateEvacuated(evacuations.isEvacuated(holding.shardId.failureDomain), graceMillis = 0)
        hosts[holding.shardId] = host
        // Started first, so that a failure in a listener cannot leave a shard that is held but never loaded.
        host.start()
        onHeldChanged()
        mirror.applyIfNewer(item)
        host.updateTargets(targetsOf(holding.shardId))
        stopped.announce()
    }

    private fun createHost(
        holding: ShardHolding,
        claimedAtMillis: Long,
        previous: ShardHolding?,
    ): ShardHost =
        ShardHost(
            holding,
            options.shard,
            ShardDispatcher.Factory.Default,
            pauses,
            targetClient,
            loop,
            DecisionLog(FleetKeys.shard(holding.shardId), metrics),
            onLoad = { percents -> loads.applyIfNewer(holding.shardId, percents, ageMillis = 0) },
            onFenced = { releaseFenced(holding) },
            PeerShardCapacities(directory, peers, ::host),
            PeerPartClient(directory, peers, ::host),
            haveEarlierHoldersStopped = { earlierHolders.haveStopped(holding, previous) },
            lastSentMillis = { relay -> relays.lastSentMillis(InstanceId(relay)) },
            DurableOwnership(holding, claimedAtMillis, store, loop, pauses, { mirror.confirmedAtMillis }) { onResult ->
                earlierHolders.requestConfirmations(holding, onResult)
            },
        ) { listener -> DurableJobStore(holding, store, loop, unixMillis, options.durableRetentionMillis, listener) }

    private fun releaseFenced(holding: ShardHolding) {
        val host = hosts[holding.shardId] ?: return
        if (host.holding.revision == holding.revision) release(host, "fencing token rejected")
    }

    private fun release(
        host: ShardHost,
        reason: String,
    ) {
        val name = FleetKeys.shard(host.holding.shardId)
        val targets = host.describe().targets
        logger.info {
            "released shard $name with fencing token ${host.holding.revision} and ${targets.sumOf { it.runs }} runs " +
                "on ${targets.size} targets: $reason"
        }
        metrics.shardReleased()
        hosts.remove(host.holding.shardId)
        handingOver.remove(host.holding.shardId)
        undecided.remove(host)
        stopped.add(host.holding, host.handOver())
        host.release()
        stopped.announce()
        onHeldChanged()
    }

    /** Asks peers to take over all shards; a shard stays held and is offered again until a peer takes it. */
    fun handOverAll() {
        draining = true
        hosts.values.toList().forEach { handOver(it, successors(it), isRepeated = true) }
    }

    /** Durable jobs go to another failure domain if nobody in this one can take them. */
    private fun successors(host: ShardHost): List<FleetMember> {
        val now = loop.nowMillis()
        val members = directory.members.values
        val local = election.successors(members, now)
        if (local.isNotEmpty() || !host.hasDurableJobs) return local
        val otherDomains = members.map { it.failureDomain }.distinct() - self.failureDomain
        return otherDomains.flatMap { election.liveMembers(members, it, now) }
    }

    /** Offers the shard of [host] to [candidates], one after the other. */
    private fun handOver(
        host: ShardHost,
        candidates: List<FleetMember>,
        isRepeated: Boolean,
    ) {
        val id = host.holding.shardId
        if (hosts[id] !== host) return
        val successor = candidates.firstOrNull()
        if (successor == null) {
            handingOver.remove(id)
            if (host !in undecided) host.cancelHandOver()
            if (isRepeated) {
                loop.schedule(
                    HAND_OVER_RETRY_MILLIS,
                ) { handOver(host, successors(host), isRepeated = true) }
            }
            return
        }
        handingOver.add(id)
        val sentAtMillis = clocks.clockOf(successor, loop.nowMillis())
        val message = HandOverMessage.of(host.holding, host.handOver()).copy(sentAtMillis = sentAtMillis)
        peers.handOver(successor, message) { reply ->
            if (hosts[id] !== host) return@handOver
            if (reply is PeerReply.NoResponse || reply is PeerReply.Cancelled) undecided.add(host)
            if (reply is PeerReply.Answered && reply.message.taken) {
                release(host, "handed over to ${successor.instanceId.value}")
            } else {
                handOver(host, candidates.drop(1), isRepeated)
            }
        }
    }

    /** Takes over a shard that its holder hands over; [onResult] receives whether this instance holds it now. */
    fun takeOver(
        message: HandOverMessage,
        onResult: (Boolean) -> Unit,
    ) {
        if (draining || message.shardId in claiming) {
            onResult(false)
        } else {
            val madeAtMillis = message.madeAtMillis(loop.nowMillis(), PeerClient.HAND_OVER_TIMEOUT_MILLIS)
            val seenAt = election.lastSeenMillis(message.shardId, loop.nowMillis())
            val before = hosts[message.shardId]
            claim(message.shardId, message.revision, message.cutOffRevision) {
                val host = hosts[message.shardId]
                val taken = host != null && host.holding.revision > message.revision
                logger.info {
                    "hand-over of ${FleetKeys.shard(message.shardId)} at revision ${message.revision} with " +
                        "${message.targets.size} targets, all runs there: ${message.areAllRunsThere}, " +
                        "cut off up to: ${message.cutOffRevision}, taken: $taken"
                }
                val handOver = message.toHandOver()
                // A shard that was held before has had other holders since the message was sent.
                val known = if (host === before) handOver.copy(areAllRunsThere = false) else handOver
                host?.inherit(message.revision, known, madeAtMillis)
                if (seenAt != null) host?.onPredecessorServed(seenAt)
                onResult(taken)
            }
        }
    }

    private companion object {
        /** Retry interval while there is no successor, for example while all peers restart. */
        const val HAND_OVER_RETRY_MILLIS = 200L

        /** Interval of offers to a failure domain whose instances decline, for example because they stop. */
        const val RETURN_INTERVAL_MILLIS = 1_000L
    }
}
