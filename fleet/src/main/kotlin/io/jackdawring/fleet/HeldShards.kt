package io.jackdawring.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.InstanceId
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardElection
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.ShardDispatcher
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.fleet.kept.KeptJobStore
import io.jackdawring.fleet.metrics.FleetMetrics
import io.jackdawring.fleet.peer.HandOverMessage
import io.jackdawring.fleet.peer.PeerClient
import io.jackdawring.fleet.peer.PeerReply
import io.jackdawring.fleet.peer.TargetMessage
import io.jackdawring.fleet.shard.DecisionLog
import io.jackdawring.fleet.shard.ShardHost
import io.jackdawring.fleet.store.CommitResult
import io.jackdawring.fleet.store.KeyValueStore
import io.jackdawring.fleet.store.StoreChange
import io.jackdawring.fleet.store.StoreItem
import io.jackdawring.fleet.store.StoreMirror
import kotlinx.collections.immutable.ImmutableCollection
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

private val logger = KotlinLogging.logger("io.jackdawring.fleet")

/** Takes, holds and lets go of the shards of the own failure domain; belongs to the control thread. */
internal class HeldShards(
    private val self: FleetMember,
    private val options: FleetOptions,
    private val loop: ControlLoop,
    private val store: KeyValueStore,
    private val mirror: StoreMirror,
    private val directory: FleetDirectory,
    private val targetClient: TargetClient,
    private val peers: PeerClient,
    private val loads: ShardLoads,
    private val metrics: FleetMetrics,
    private val unixMillis: () -> Long,
    private val targetsOf: (ShardId) -> ImmutableCollection<ShardTarget>,
    private val onHeldChanged: () -> Unit,
) {
    private val hosts = HashMap<ShardId, ShardHost>()
    private val claiming = HashSet<ShardId>()
    private val handingOver = HashSet<ShardId>()
    private val abandoned = AbandonedShards(self)
    private var leaving = false
    val election = ShardElection(self)

    val held: Set<ShardId> get() = hosts.keys

    fun host(id: ShardId): ShardHost? = hosts[id]

    /** Claims shards whose holder is missing or suspected, and gives those of other failure domains back. */
    fun maintain() {
        if (leaving || !mirror.isLoaded) return
        val now = loop.nowMillis()
        for (id in directory.shardsOf(self.failureDomain) + abandoned.find(directory, now)) {
            val holding = directory.holdings[id]
            if (id in hosts || id in claiming) continue
            if (election.shouldClaim(id, holding, directory.members.values, now)) claim(id, holding?.revision ?: 0)
        }
        hosts.values.toList().forEach(::giveBack)
    }

    /** Hands a shard of another failure domain over once that has live entry instances again. */
    private fun giveBack(host: ShardHost) {
        val domain = host.holding.shardId.failureDomain
        if (domain == self.failureDomain || host.holding.shardId in handingOver) return
        val members = directory.members.values.filter { it.failureDomain == domain }
        if (members.isNotEmpty()) handOver(host, members.sortedByDescending { it.weight }, isRepeated = false)
    }

    /** Lets go of shards that the store ascribes to another holder. */
    fun onDirectoryChanged() {
        for (host in hosts.values.toList()) {
            val current = directory.holdings[host.holding.shardId] ?: continue
            if (current.revision <= host.holding.revision) continue
            letGo(host, "the store names ${current.holder.instanceId.value}")
        }
    }

    fun onTargetsChanged() = hosts.values.forEach { it.updateTargets(targetsOf(it.holding.shardId)) }

    fun onRelaySilent(relay: InstanceId) = hosts.values.forEach { it.dismissAll(relay.value) }

    private fun claim(
        id: ShardId,
        revision: Long,
        onResult: (Boolean) -> Unit = {},
    ) {
        claiming.add(id)
        val key = FleetKeys.shard(id)
        val value = self.encode()
        val change =
            StoreChange(
                persistentListOf(StoreChange.Condition(key, revision)),
                persistentListOf(StoreChange.Write(key, value)),
            )
        store.commit(change) { result ->
            claiming.remove(id)
            when (result) {
                is CommitResult.Committed ->
                    hold(
                        ShardHolding(id, self, result.revision),
                        StoreItem(key, value, result.revision),
                    )
                is CommitResult.Conflict -> result.items.forEach(mirror::learn)
                is CommitResult.LeaseEnded -> Unit
                is CommitResult.Unavailable ->
                    logger.debug {
                        "claim of shard $key at revision $revision not answered: ${result.detail}"
                    }
            }
            onResult(id in hosts)
        }
    }

    private fun hold(
        holding: ShardHolding,
        item: StoreItem,
    ) {
        if (leaving) return
        val name = FleetKeys.shard(holding.shardId)
        metrics.shardTaken()
        logger.info { "took shard $name with fence ${holding.revision}" }
        val host = createHost(holding)
        hosts[holding.shardId] = host
        onHeldChanged()
        mirror.learn(item)
        host.updateTargets(targetsOf(holding.shardId))
        host.start()
    }

    private fun createHost(holding: ShardHolding): ShardHost =
        ShardHost(
            holding,
            options.shard,
            ShardDispatcher.Factory.Default,
            targetClient,
            loop,
            DecisionLog(FleetKeys.shard(holding.shardId), metrics),
            onLoad = { percents -> loads.learn(holding.shardId, percents, ageMillis = 0) },
            onFenced = { letGoFenced(holding) },
        ) { listener -> KeptJobStore(holding, store, loop, unixMillis, options.keptRetentionMillis, listener) }

    private fun letGoFenced(holding: ShardHolding) {
        val host = hosts[holding.shardId] ?: return
        if (host.holding.revision == holding.revision) letGo(host, "its fence is rejected")
    }

    private fun letGo(
        host: ShardHost,
        reason: String,
    ) {
        val name = FleetKeys.shard(host.holding.shardId)
        logger.info { "let go of shard $name with fence ${host.holding.revision}: $reason" }
        metrics.shardLetGo()
        hosts.remove(host.holding.shardId)
        handingOver.remove(host.holding.shardId)
        host.release()
        onHeldChanged()
    }

    /** Asks peers to take the shards; those that nobody takes are held on. */
    fun handOverAll() {
        leaving = true
        hosts.values.toList().forEach { handOver(it, successors(), isRepeated = true) }
    }

    private fun successors() = election.successors(directory.members.values, loop.nowMillis())

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
            if (isRepeated) loop.schedule(HAND_OVER_RETRY_MILLIS) { handOver(host, successors(), isRepeated = true) }
            return
        }
        handingOver.add(id)
        val message = HandOverMessage(id, host.holding.revision, host.knownTargets().map(TargetMessage::of))
        peers.handOver(successor, message) { reply ->
            val taken = reply is PeerReply.Answered && reply.message.taken
            when {
                hosts[id] !== host -> Unit
                taken -> letGo(host, "handed over to ${successor.instanceId.value}")
                else -> handOver(host, candidates.drop(1), isRepeated)
            }
        }
    }

    /** Takes a shard from a holder that is leaving; [onResult] tells whether it was taken. */
    fun takeOver(
        message: HandOverMessage,
        onResult: (Boolean) -> Unit,
    ) {
        if (leaving || message.shardId in claiming) {
            onResult(false)
        } else {
            claim(message.shardId, message.revision) { taken ->
                hosts[message.shardId]?.inherit(message.targets.map { it.toTarget() }.toImmutableList())
                onResult(taken)
            }
        }
    }

    private companion object {
        /** Interval of looking for a successor while none is there, for example while all peers restart. */
        const val HAND_OVER_RETRY_MILLIS = 200L
    }
}
