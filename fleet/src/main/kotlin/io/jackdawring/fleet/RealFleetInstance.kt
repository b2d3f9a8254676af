package io.jackdawring.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.PauseGuard
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardElection
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.fleet.durable.DurableJobRequests
import io.jackdawring.fleet.durable.RealDurableJobClient
import io.jackdawring.fleet.metrics.FleetMetrics
import io.jackdawring.fleet.peer.PeerApi
import io.jackdawring.fleet.peer.PeerClient
import io.jackdawring.fleet.peer.PeerClocks
import io.jackdawring.fleet.peer.peerJson
import io.jackdawring.fleet.relay.JobRelay
import io.jackdawring.fleet.store.StoreMirror
import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.HttpServerOptions
import kotlinx.collections.immutable.ImmutableCollection
import kotlinx.collections.immutable.toImmutableList
import java.util.UUID
import java.util.concurrent.ThreadLocalRandom

private val logger = KotlinLogging.logger("io.jackdawring.fleet")

/** Wires the components of an entry instance, and starts and stops them. */
class RealFleetInstance(
    private val options: FleetOptions,
    private val components: FleetComponents,
) : FleetInstance {
    private val loop: ControlLoop = RealControlLoop(components.controlTransport.executor())
    private val self =
        FleetMember(
            options.instanceId,
            newIncarnation(),
            options.failureDomain,
            options.peerAddress,
            options.weight,
        )
    private val metrics = FleetMetrics()
    private val pauses = PauseGuard(System::currentTimeMillis)
    private val directory = FleetDirectory()
    private val peers = PeerClient(components.peerClient)
    private val loads = ShardLoads(loop)
    private val clocks = PeerClocks()
    private val fleetMirror = StoreMirror(FleetKeys.ROOT, components.store, loop, onChange = ::onFleetChanged)
    private val targetMirror =
        StoreMirror(
            components.storeCodec.targetPrefix,
            components.store,
            loop,
            TARGET_BATCH_DELAY_MILLIS,
            onChange = ::onTargetsChanged,
        )

    /** Has the configuration, and the requests to evacuate failure domains if those are used. */
    private val configurationMirror =
        StoreMirror(
            with(components.storeCodec) { if (options.evacuateMillis != null) operatorPrefix else configurationKey },
            components.store,
            loop,
            onChange = ::onOperatorItemsChanged,
        )
    private val storedEvacuations =
        options.evacuateMillis?.let {
            StoredEvacuations(configurationMirror, components.storeCodec.evacuationPrefix, it, loop, metrics)
        }
    private val evacuations = storedEvacuations ?: DomainEvacuations.Off
    private var targetsByDomain = emptyMap<String, List<ShardTarget>>()
    private val shards =
        HeldShards(
            self,
            options,
            loop,
            components.store,
            fleetMirror,
            directory,
            components.targets,
            peers,
            clocks,
            loads,
            metrics,
            System::currentTimeMillis,
            pauses,
            ::targetsOf,
            evacuations,
            ::onHeldChanged,
        )
    private val gossip = StoreGossip(fleetMirror, configurationMirror)
    private val peerHealth =
        PeerHealthMonitor(self, peers, shards, directory, gossip, loads, clocks, loop, ::openCallerListener)
    private val shardClient = RealShardClient(self, shards, directory, peers, loads, clocks, loop, evacuations)
    private val relay = JobRelay(loop, shardClient, metrics, pauses, peerHealth.silence)
    private val durableJobClient =
        RealDurableJobClient(directory.shardsOf(self.failureDomain), shards, directory, shardClient, peers)
    private val durableRequests = DurableJobRequests(loop, durableJobClient, components.store)
    private val registration =
        MemberRegistration(self, components.store, loop) { entry ->
            shards.onRegistered()
            fleetMirror.applyIfNewer(entry)
        }
    private val callerApi = CallerApi(components.callerCodec, relay, loop, durableRequests)
    private val peerApi =
        PeerApi(
            self.incarnation,
            shards,
            loop,
            loads,
            gossip::itemsNewerThan,
            pauses,
            peerHealth.silence,
            peerHealth::onPeerRequest,
        )

    @Volatile
    private var draining = false

    @Volatile
    private var holdsShards = false

    private val controlServers =
        components.controlTransport.serverFactory(
            HttpServerOptions(maxConnections = MAX_PEER_CONNECTIONS),
        )
    private val peerServer = controlServers.start(options.peerAddress, peerApi::handle)
    private val metricsServer = options.metricsAddress?.let { controlServers.start(it, ::onMetricsRequest) }
    private val readyServer = controlServers.start(options.readyAddress, ::onReadyRequest)
    private val startedAtMillis = loop.nowMillis()
    private var configuredAtMillis = 0L

    private val callerListener =
        CallerListener(loop, { canServe(::isPresumedAlive) }, { canServe(::isConfirmed) }) {
            components.callerTransport.serverFactory().start(options.callerAddress, callerApi::handle)
        }

    init {
        logger.info {
            "entry instance ${self.instanceId.value} of ${self.failureDomain.value} started, incarnation ${self.incarnation}"
        }
        loop.execute {
            fleetMirror.start()
            configurationMirror.start()
            loop.repeatEvery(PeerHealthMonitor.PING_INTERVAL_MILLIS, ::runRound)
            loop.repeatEvery(PAUSE_TICK_MILLIS) {
                pauses.onTick(loop.nowMillis())
                true
            }
        }
    }

    private fun runRound(): Boolean {
        registration.maintain(fleetMirror[FleetKeys.member(self.instanceId.value)])
        peerHealth.runRound(shardClient.holdersWithPendingRequests)
        maintainShards()
        openCallerListener()
        return true
    }

    private fun maintainShards() {
        shards.maintain()
        updateTargetWatch()
    }

    /** Watches the targets only while holding a shard, because the list changes with every heartbeat. */
    private fun updateTargetWatch() {
        holdsShards = shards.held.isNotEmpty()
        if (holdsShards) targetMirror.start() else targetMirror.stop()
    }

    /** A new holder can serve callers at once, whichever of the claim's answer and the watch arrives first. */
    private fun onHeldChanged() {
        updateTargetWatch()
        openCallerListener()
    }

    private fun openCallerListener() {
        if (!draining) callerListener.openIfPossible()
    }

    private fun onFleetChanged() {
        directory.update(fleetMirror)
        shards.onDirectoryChanged()
        shards.maintain()
        // Readiness requires an answer of the holder, so startup does not wait for the next round to ping it.
        if (callerListener.server == null) {
            peerHealth.pingHolders(shardClient.holdersWithPendingRequests)
            loop.schedule(ShardElection.PRESUMED_ALIVE_MILLIS, ::openCallerListener)
        }
        openCallerListener()
    }

    private fun onTargetsChanged() {
        targetsByDomain =
            targetMirror.items.mapNotNull(components.storeCodec::decodeTarget).groupBy { it.failureDomain.value }
        shards.onTargetsChanged()
    }

    /** Empty until the list is loaded, because an earlier copy may contain targets that are draining by now. */
    private fun targetsOf(id: ShardId): ImmutableCollection<ShardTarget> =
        targetsByDomain[id.failureDomain.value]
            .orEmpty()
            .takeIf { targetMirror.isLoaded }
            .orEmpty()
            .toImmutableList()

    private fun onOperatorItemsChanged() {
        // First, so that jobs which are refused now are not offered to a failure domain that is evacuated too.
        if (storedEvacuations?.update() == true) shards.onEvacuationsChanged()
        onConfigurationChanged()
    }

    private fun onConfigurationChanged() {
        val item = configurationMirror[components.storeCodec.configurationKey] ?: return
        val decoded = components.storeCodec.decodeConfiguration(item) ?: return
        val current = callerApi.configuration
        // The store may return stale reads.
        if (current != null && decoded.version <= current.version) return
        callerApi.configuration = decoded
        configuredAtMillis = loop.nowMillis()
        openCallerListener()
        logger.info { "applied configuration version ${decoded.version}, store revision ${item.revision}" }
    }

    private fun onReadyRequest(exchange: HttpExchange) {
        exchange.respond(HttpResponseMessage(if (callerListener.isReady) STATUS_OK else STATUS_UNAVAILABLE))
    }

    private fun onMetricsRequest(exchange: HttpExchange) {
        exchange.respond(
            when (exchange.request.path) {
                METRICS_PATH -> metrics.expose()
                STATUS_PATH -> HttpResponseMessage(STATUS_OK, body = describeStatus().encodeToByteArray())
                else -> HttpResponseMessage(STATUS_NOT_FOUND)
            },
        )
    }

    private fun describeStatus(): String {
        val now = loop.nowMillis()
        val status =
            FleetStatus(
                self.instanceId,
                self.failureDomain.value,
                self.incarnation,
                now - startedAtMillis,
                callerListener.isReady,
                draining,
                callerApi.configuration?.let {
                    FleetStatus.Configuration(
                        it.version,
                        now - configuredAtMillis,
                        it.queues.map { queue ->
                            queue.name
                        },
                    )
                },
                directory.members.values.map {
                    FleetStatus.Member(it.instanceId, it.failureDomain.value, it.address)
                },
                directory.holdings.values.map {
                    val suspected = shards.host(it.shardId) == null && shards.election.isSuspected(it, now)
                    FleetStatus.Shard(FleetKeys.shard(it.shardId), it.holder.instanceId, it.revision, suspected)
                },
                shards.held.mapNotNull { shards.host(it)?.describe() },
                storedEvacuations?.domains.orEmpty().map { it.value },
            )
        return peerJson.encodeToString(FleetStatus.serializer(), status)
    }

    /** Whether jobs can be served, with holders in the local failure domain that fulfil [isUsable]. */
    private fun canServe(isUsable: (ShardHolding) -> Boolean): Boolean {
        if (draining || callerApi.configuration == null) return false
        return directory.shardsOf(self.failureDomain).all { id ->
            shards.host(id) != null || directory.holdings[id]?.let(isUsable) == true
        }
    }

    private fun isConfirmed(holding: ShardHolding) = shards.election.isConfirmed(holding, loop.nowMillis())

    private fun isPresumedAlive(holding: ShardHolding) = shards.election.isPresumedAlive(holding, loop.nowMillis())

    private val requestsInProgress: Int get() = callerListener.server?.requestsInProgress ?: 0

    override fun drain() {
        logger.info { "draining: handing over shards, $requestsInProgress requests in progress" }
        draining = true
        loop.execute { shards.handOverAll() }
        val startedAt = loop.nowMillis()
        callerListener.server?.closeAfterAnswers()
        Thread.sleep(minOf(BALANCER_REMOVAL_MILLIS, options.stopGraceMillis / 2))
        callerListener.server?.stopAccepting()
        callerListener.server?.closeIdleConnections()
        while ((requestsInProgress > 0 || holdsShards) &&
            loop.nowMillis() - startedAt < options.stopGraceMillis - EXIT_MARGIN_MILLIS
        ) {
            // A request that arrives on a keep-alive connection now might not finish before the exit.
            callerListener.server?.closeIdleConnections()
            Thread.sleep(DRAIN_POLL_MILLIS)
        }
        logger.info {
            "drained after ${loop.nowMillis() - startedAt} ms, $requestsInProgress requests in progress"
        }
    }

    override fun close() {
        callerListener.server?.close()
        peerServer.close()
        readyServer.close()
        metricsServer?.close()
        components.callerTransport.close()
        components.controlTransport.close()
    }

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
        const val STATUS_NOT_FOUND = 404
        const val METRICS_PATH = "/metrics"
        const val STATUS_PATH = "/beliefs"
        const val MAX_PEER_CONNECTIONS = 4_000

        /** A target must get no starts 2 s after it began to drain, which leaves time for several watches. */
        const val TARGET_BATCH_DELAY_MILLIS = 400L

        /** The load balancer checks once a second and removes an instance after two failed checks. */
        const val BALANCER_REMOVAL_MILLIS = 2_600L

        /** Several of these fit into the shortest pause that is detected. */
        const val PAUSE_TICK_MILLIS = 100L

        /** Time reserved for closing before the platform kills the process. */
        const val EXIT_MARGIN_MILLIS = 400L
        const val DRAIN_POLL_MILLIS = 20L
    }
}

/** An id that no other process has; it is no secret, and a secure random source would prolong the start. */
private fun newIncarnation(): String = with(ThreadLocalRandom.current()) { UUID(nextLong(), nextLong()) }.toString()
