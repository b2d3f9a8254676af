package io.jackdawring.fleet.model

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.PauseGuard
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.fleet.DomainEvacuations
import io.jackdawring.fleet.FleetDirectory
import io.jackdawring.fleet.FleetKeys
import io.jackdawring.fleet.HeldShards
import io.jackdawring.fleet.MemberRegistration
import io.jackdawring.fleet.PeerHealthMonitor
import io.jackdawring.fleet.RealShardClient
import io.jackdawring.fleet.ShardLoads
import io.jackdawring.fleet.StoreGossip
import io.jackdawring.fleet.StoredEvacuations
import io.jackdawring.fleet.durable.DurableJobRequests
import io.jackdawring.fleet.durable.RealDurableJobClient
import io.jackdawring.fleet.fleetOptions
import io.jackdawring.fleet.metrics.FleetMetrics
import io.jackdawring.fleet.peer.PeerApi
import io.jackdawring.fleet.peer.PeerClient
import io.jackdawring.fleet.peer.PeerClocks
import io.jackdawring.fleet.relay.JobRelay
import io.jackdawring.fleet.repeatEvery
import io.jackdawring.fleet.store.StoreMirror
import kotlinx.collections.immutable.ImmutableCollection
import kotlinx.collections.immutable.toImmutableList

/** One incarnation of an entry instance: the components of a real one, connected to the fakes of [fleet]. */
internal class FakeEntryInstance(
    val id: String,
    val domain: String,
    weight: Double,
    incarnation: Int,
    private val fleet: FakeFleet,
) {
    val process = FakeProcess(fleet.clock)
    private val self = FleetMember(InstanceId(id), "$id-$incarnation", FailureDomainId(domain), id, weight)
    private val pauses = PauseGuard { UNIX_MILLIS + fleet.clock.nowMillis }
    private val store = FakeStoreClient(id, process, fleet.store, fleet.links, fleet.clock, fleet.random)
    private val metrics = FleetMetrics()
    private val directory = FleetDirectory()
    private val peers = PeerClient(fleet.network.client(id, process))
    private val loads = ShardLoads(process)
    private val clocks = PeerClocks()
    private val fleetMirror = StoreMirror(FleetKeys.ROOT, store, process, onChange = ::onFleetChanged)
    private val targetMirror =
        StoreMirror(FakeFleet.TARGETS, store, process, TARGET_BATCH_DELAY_MILLIS, onChange = ::onTargetsChanged)
    private val operatorMirror =
        StoreMirror(FakeFleet.OPERATOR_ITEMS, store, process, onChange = ::onOperatorItemsChanged)
    private val storedEvacuations =
        fleet.evacuateMillis?.let { StoredEvacuations(operatorMirror, FakeFleet.EVACUATIONS, it, process, metrics) }
    private val evacuations = storedEvacuations ?: DomainEvacuations.Off
    private val shards =
        HeldShards(
            self,
            fleetOptions { },
            process,
            store,
            fleetMirror,
            directory,
            FakeTargetClient(id, process, fleet),
            peers,
            clocks,
            loads,
            metrics,
            { UNIX_MILLIS + fleet.clock.nowMillis },
            pauses,
            ::targetsOf,
            evacuations,
            ::updateTargetWatch,
        )
    private val gossip = StoreGossip(fleetMirror, operatorMirror)
    private val peerHealth = PeerHealthMonitor(self, peers, shards, directory, gossip, loads, clocks, process) {}
    private val shardClient = RealShardClient(self, shards, directory, peers, loads, clocks, process, evacuations)
    private val registration =
        MemberRegistration(self, store, process) { entry ->
            shards.onRegistered()
            fleetMirror.applyIfNewer(entry)
        }
    private val peerApi =
        PeerApi(
            self.incarnation,
            shards,
            process,
            loads,
            gossip::itemsNewerThan,
            pauses,
            peerHealth.silence,
            peerHealth::onPeerRequest,
        )
    val relay = JobRelay(process, shardClient, metrics, pauses, peerHealth.silence)
    private val durableJobClient =
        RealDurableJobClient(directory.shardsOf(self.failureDomain), shards, directory, shardClient, peers)
    val durableJobs = DurableJobRequests(process, durableJobClient, store)
    var draining = false
        private set

    /** Whether callers are accepted. */
    val isListening: Boolean get() = process.alive && fleetMirror.isLoaded

    val holdsShard: Boolean get() = process.alive && shards.held.isNotEmpty()

    init {
        fleet.network.listen(id, process, peerApi::handle)
        fleetMirror.start()
        if (fleet.evacuateMillis != null) operatorMirror.start()
        process.repeatEvery(PeerHealthMonitor.PING_INTERVAL_MILLIS, ::runRound)
        process.repeatEvery(PAUSE_TICK_MILLIS) {
            pauses.onTick(process.nowMillis())
            true
        }
    }

    private fun runRound(): Boolean {
        registration.maintain(fleetMirror[FleetKeys.member(id)])
        peerHealth.runRound(shardClient.holdersWithPendingRequests)
        shards.maintain()
        updateTargetWatch()
        return true
    }

    private fun updateTargetWatch() {
        if (shards.held.isEmpty()) targetMirror.stop() else targetMirror.start()
    }

    private fun onFleetChanged() {
        directory.update(fleetMirror)
        shards.onDirectoryChanged()
        shards.maintain()
    }

    private fun onOperatorItemsChanged() {
        if (storedEvacuations?.update() == true) shards.onEvacuationsChanged()
    }

    private fun onTargetsChanged() = shards.onTargetsChanged()

    private fun targetsOf(shardId: ShardId): ImmutableCollection<ShardTarget> =
        targetMirror.items
            .takeIf { targetMirror.isLoaded }
            .orEmpty()
            .map { fleet.targets.getValue(it.value.decodeToString()).registration }
            .filter { it.failureDomain == shardId.failureDomain }
            .toImmutableList()

    /** Hands its shards over, as in a graceful stop. */
    fun drain() {
        draining = true
        process.execute(shards::handOverAll)
    }

    private companion object {
        const val UNIX_MILLIS = 1_700_000_000_000L
        const val PAUSE_TICK_MILLIS = 100L
        const val TARGET_BATCH_DELAY_MILLIS = 400L
    }
}
