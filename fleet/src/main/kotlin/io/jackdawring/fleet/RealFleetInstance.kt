package io.jackdawring.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.fleet.kept.KeptJobRequests
import io.jackdawring.fleet.kept.RealKeptHolders
import io.jackdawring.fleet.metrics.FleetMetrics
import io.jackdawring.fleet.peer.PeerApi
import io.jackdawring.fleet.peer.PeerClient
import io.jackdawring.fleet.peer.peerJson
import io.jackdawring.fleet.relay.JobRelay
import io.jackdawring.fleet.store.StoreMirror
import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.HttpServer
import io.jackdawring.server.http.HttpServerOptions
import kotlinx.collections.immutable.ImmutableCollection
import kotlinx.collections.immutable.toImmutableList
import java.util.UUID

private val logger = KotlinLogging.logger("io.jackdawring.fleet")

/** Connects the parts of an entry instance. */
class RealFleetInstance(
    private val options: FleetOptions,
    private val components: FleetComponents,
) : FleetInstance {
    private val loop: ControlLoop = RealControlLoop(components.controlTransport.executor())
    private val self =
        FleetMember(
            options.instanceId,
            UUID.randomUUID().toString(),
            options.failureDomain,
            options.peerAddress,
            options.weight,
        )
    private val metrics = FleetMetrics()
    private val directory = FleetDirectory()
    private val peers = PeerClient(components.peerClient)
    private val loads = ShardLoads(loop)
    private val fleetMirror = StoreMirror(FleetKeys.ROOT, components.store, loop, onChange = ::onFleetChanged)
    private val targetMirror =
        StoreMirror(
            components.storeCodec.targetPrefix,
            components.store,
            loop,
            TARGET_GATHER_MILLIS,
            onChange = ::onTargetsChanged,
        )
    private val configurationMirror =
        StoreMirror(components.storeCodec.configurationKey, components.store, loop, onChange = ::onConfigurationChanged)
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
            loads,
            metrics,
            System::currentTimeMillis,
            ::targetsOf,
            ::followTargets,
        )
    private val news = FleetNews(fleetMirror, configurationMirror)
    private val peerWatch = PeerWatch(self, peers, shards, directory, news, loads, loop, ::openCallerServer)
    private val holders = HolderAccess(self, shards, directory, peers, loads, loop)
    private val relay = JobRelay(loop, holders, metrics)
    private val keptHolders = RealKeptHolders(directory.shardsOf(self.failureDomain), shards, directory, holders, peers)
    private val keptRequests = KeptJobRequests(loop, keptHolders, components.store)
    private val registration = MemberRegistration(self, components.store, loop, fleetMirror::learn)
    private val callerApi = CallerApi(components.callerCodec, relay, loop, keptRequests)
    private val peerApi = PeerApi(self.incarnation, shards, loop, loads, news::after, peerWatch::onPeerRequest)

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

    /** Opened when jobs can be served, so that callers do not reach an instance that could only refuse them. */
    @Volatile
    private var callerServer: HttpServer? = null

    init {
        logger.info {
            "entry instance ${self.instanceId.value} of ${self.failureDomain.value} started, incarnation ${self.incarnation}"
        }
        loop.execute {
            fleetMirror.start()
            configurationMirror.start()
            loop.repeatEvery(PeerWatch.PING_INTERVAL_MILLIS, ::round)
        }
    }

    private fun round(): Boolean {
        registration.maintain(fleetMirror[FleetKeys.member(self.instanceId.value)])
        peerWatch.round(holders.holdersAsked)
        maintainShards()
        openCallerServer()
        return true
    }

    private fun maintainShards() {
        shards.maintain()
        followTargets()
    }

    /** Only holders need the list of targets, which changes with every heartbeat. */
    private fun followTargets() {
        holdsShards = shards.held.isNotEmpty()
        if (holdsShards) targetMirror.start() else targetMirror.stop()
    }

    private fun openCallerServer() {
        if (callerServer != null || draining) return
        if (!isReady() && loop.nowMillis() - startedAtMillis < STARTUP_LIMIT_MILLIS) return
        callerServer = components.callerTransport.serverFactory().start(options.callerAddress, callerApi::handle)
        logger.info { "listening for callers ${loop.nowMillis() - startedAtMillis} ms after the start" }
    }

    private fun onFleetChanged() {
        directory.update(fleetMirror)
        shards.onDirectoryChanged()
        shards.maintain()
        // Until callers are served, the holder is asked for a sign of life without waiting for the next round.
        if (callerServer == null) peerWatch.pingHolders(holders.holdersAsked)
        openCallerServer()
    }

    private fun onTargetsChanged() {
        targetsByDomain =
            targetMirror.items.mapNotNull(components.storeCodec::decodeTarget).groupBy { it.failureDomain.value }
        shards.onTargetsChanged()
    }

    /** No targets until the list has arrived; an earlier copy may have targets that are draining by now. */
    private fun targetsOf(id: ShardId): ImmutableCollection<ShardTarget> =
        targetsByDomain[id.failureDomain.value]
            .orEmpty()
            .takeIf { targetMirror.isLoaded }
            .orEmpty()
            .toImmutableList()

    private fun onConfigurationChanged() {
        val item = configurationMirror[components.storeCodec.configurationKey] ?: return
        val decoded = components.storeCodec.decodeConfiguration(item) ?: return
        val current = callerApi.configuration
        // The store may answer with older reads than the ones before.
        if (current != null && decoded.version <= current.version) return
        callerApi.configuration = decoded
        configuredAtMillis = loop.nowMillis()
        openCallerServer()
        logger.info { "configuration version ${decoded.version} is in force, store revision ${item.revision}" }
    }

    private fun onReadyRequest(exchange: HttpExchange) {
        exchange.respond(HttpResponseMessage(if (isReady()) STATUS_OK else STATUS_UNAVAILABLE))
    }

    private fun onMetricsRequest(exchange: HttpExchange) {
        exchange.respond(
            when (exchange.request.path) {
                METRICS_PATH -> metrics.expose()
                BELIEFS_PATH -> HttpResponseMessage(STATUS_OK, body = describeBeliefs().encodeToByteArray())
                else -> HttpResponseMessage(STATUS_NOT_FOUND)
            },
        )
    }

    private fun describeBeliefs(): String {
        val now = loop.nowMillis()
        val beliefs =
            FleetBeliefs(
                self.instanceId,
                self.failureDomain.value,
                self.incarnation,
                now - startedAtMillis,
                isReady(),
                draining,
                callerApi.configuration?.let {
                    FleetBeliefs.Configuration(
                        it.version,
                        now - configuredAtMillis,
                        it.queues.map { queue ->
                            queue.name
                        },
                    )
                },
                directory.members.values.map {
                    FleetBeliefs.Member(it.instanceId, it.failureDomain.value, it.address)
                },
                directory.holdings.values.map {
                    val suspected = shards.host(it.shardId) == null && shards.election.isSuspected(it, now)
                    FleetBeliefs.Shard(FleetKeys.shard(it.shardId), it.holder.instanceId, it.revision, suspected)
                },
                shards.held.mapNotNull { shards.host(it)?.describe() },
            )
        return peerJson.encodeToString(FleetBeliefs.serializer(), beliefs)
    }

    private fun isReady(): Boolean {
        if (draining || callerApi.configuration == null) return false
        return directory.shardsOf(self.failureDomain).all { id ->
            shards.host(id) != null ||
                directory.holdings[id]?.let { shards.election.isConfirmed(it, loop.nowMillis()) } == true
        }
    }

    private val requestsInProgress: Int get() = callerServer?.requestsInProgress ?: 0

    override fun drain() {
        logger.info { "stopping: shards are handed over, $requestsInProgress requests in progress" }
        draining = true
        loop.execute { shards.handOverAll() }
        val startedAt = loop.nowMillis()
        callerServer?.closeAfterAnswers()
        Thread.sleep(minOf(ROTATION_MILLIS, options.stopGraceMillis / 2))
        callerServer?.stopAccepting()
        callerServer?.closeIdleConnections()
        while ((requestsInProgress > 0 || holdsShards) &&
            loop.nowMillis() - startedAt < options.stopGraceMillis - EXIT_MARGIN_MILLIS
        ) {
            // A request that arrives on a kept connection now might not be done before the exit.
            callerServer?.closeIdleConnections()
            Thread.sleep(DRAIN_POLL_MILLIS)
        }
        logger.info {
            "stopped after ${loop.nowMillis() - startedAt} ms, $requestsInProgress requests in progress"
        }
    }

    override fun close() {
        callerServer?.close()
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
        const val BELIEFS_PATH = "/beliefs"
        const val MAX_PEER_CONNECTIONS = 4_000

        /** A leaving target must not get starts after 2 s; several watches fit into that. */
        const val TARGET_GATHER_MILLIS = 400L

        /** An instance that cannot serve by then listens all the same and says so to each caller. */
        const val STARTUP_LIMIT_MILLIS = 3_000L

        /** The balancer asks once a second and takes an instance out of rotation after two misses. */
        const val ROTATION_MILLIS = 2_600L

        /** Time left for closing before the process would be killed. */
        const val EXIT_MARGIN_MILLIS = 400L
        const val DRAIN_POLL_MILLIS = 20L
    }
}
