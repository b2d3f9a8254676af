package io.jackdawring.server

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.EntryInstance
import io.jackdawring.core.EntryOptions
import io.jackdawring.core.Event
import io.jackdawring.core.InstanceRole
import io.jackdawring.core.InstanceSnapshot
import io.jackdawring.core.ListedInstance
import io.jackdawring.core.Owner
import io.jackdawring.core.entryOptions
import io.jackdawring.server.burn.BurnSampler
import io.jackdawring.server.caller.CallerApi
import io.jackdawring.server.caller.SessionTokens
import io.jackdawring.server.control.ControlThread
import io.jackdawring.server.control.EffectDispatcher
import io.jackdawring.server.control.MonotonicClock
import io.jackdawring.server.dispatch.TargetClient
import io.jackdawring.server.http.HttpClientOptions
import io.jackdawring.server.http.HttpHandler
import io.jackdawring.server.http.HttpServer
import io.jackdawring.server.http.HttpServerOptions
import io.jackdawring.server.http.HttpTransport
import io.jackdawring.server.http.problemResponse
import io.jackdawring.server.http.unreadRejection
import io.jackdawring.server.logging.StateChangeLog
import io.jackdawring.server.metrics.ServerMetrics
import io.jackdawring.server.metrics.ServiceCatalog
import io.jackdawring.server.operator.OperatorApi
import io.jackdawring.server.peer.PeerApi
import io.jackdawring.server.peer.PeerClient
import io.jackdawring.server.platform.InstanceDirectory
import io.jackdawring.server.platform.StoreClient
import java.security.SecureRandom
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

private val logger = KotlinLogging.logger {}

internal class RealEntryServer(
    private val options: ServerOptions,
    factory: EntryInstance.Factory,
) : EntryServer {
    private val clock = MonotonicClock()
    private val catalog = ServiceCatalog()
    private val metrics = ServerMetrics(catalog)
    private val burn = BurnSampler(metrics, clock::nowMillis)
    private val transport = HttpTransport(options.eventLoopThreads, "traffic")
    private val housekeeping =
        Executors.newSingleThreadScheduledExecutor { Thread(it, "housekeeping").apply { isDaemon = true } }
    private val closed = AtomicBoolean()
    private val drainActions = ConcurrentLinkedQueue<() -> Unit>()

    @Volatile
    private var drained = false

    @Volatile
    private lateinit var control: ControlThread
    private lateinit var peerServer: HttpServer
    private lateinit var callerServer: HttpServer
    private var operatorServer: HttpServer? = null
    private lateinit var directory: InstanceDirectory

    init {
        try {
            start(factory)
        } catch (failure: Exception) {
            transport.close()
            housekeeping.shutdownNow()
            throw failure
        }
    }

    override val callerAddress: String get() = callerServer.address
    override val peerAddress: String get() = peerServer.address
    override val operatorAddress: String? get() = operatorServer?.address

    private fun start(factory: EntryInstance.Factory) {
        catalog.onUpdated = burn::sample
        burn.start(housekeeping)
        val tokens = SessionTokens(sessionKeys())
        // The peer listener comes first, because the instance's identity may contain its bound address. Messages that
        // arrive before the control thread exists are refused, which their senders see as a failed send.
        val peerApi = PeerApi(catalog) { control }
        peerServer =
            listen(options.peerListen, options.peerTls) {
                if (::control.isInitialized) peerApi.handle(it) else it.respond(STARTING)
            }
        val self =
            Owner(
                options.instanceId,
                System.currentTimeMillis(),
                options.peerAdvertise ?: peerServer.address,
                options.failureDomain,
            )
        control = createControl(factory, self)
        control.start()
        callerServer = listen(options.callerListen, options.callerTls, CallerApi(tokens, metrics) { control })
        operatorServer =
            options.operatorListen?.let {
                listen(it, options.operatorTls, OperatorApi(metrics, burn::report, options.operatorToken) { control })
            }
        directory = createDirectory(self)
        directory.start()
    }

    private fun sessionKeys(): List<SessionKey> {
        if (options.sessionKeys.isNotEmpty()) return options.sessionKeys
        require(options.allowRandomSessionKey) {
            "no session key is configured; tokens must verify on all entry instances, so set the same keys on each"
        }
        logger.warn { "no session key is configured; sessions opened here are only valid in this process" }
        val secret = ByteArray(RANDOM_SECRET_BYTES).also { SecureRandom().nextBytes(it) }
        return listOf(SessionKey("random", secret))
    }

    private fun listen(
        address: String,
        tls: TlsOptions?,
        handler: HttpHandler,
    ): HttpServer {
        val serverOptions =
            HttpServerOptions(
                maxConnections = options.maxConnections,
                maxBodyBytes = options.maxBodyBytes,
                idleTimeoutMillis = options.idleTimeoutMillis,
                sslContext = tls?.serverContext(),
                rejection = ::unreadRejection,
            )
        return transport.serverFactory(serverOptions).start(address, handler)
    }

    private fun createControl(
        factory: EntryInstance.Factory,
        self: Owner,
    ): ControlThread {
        val client = transport.client()
        val onEvent: (Event) -> Unit = { control.add(it) }
        val effects =
            EffectDispatcher(
                targets = TargetClient(transport.client(), metrics, onEvent),
                peers = PeerClient(transport.client(peerClientOptions()), transport.nextLoop(), metrics, onEvent),
                store =
                    StoreClient(client, options.platformAddress, options.storeTimeoutMillis, metrics, catalog, onEvent),
                changes = StateChangeLog(self, metrics),
                onShutdownComplete = { housekeeping.execute(::finishDrain) },
            )
        return ControlThread(
            instance = factory.create(entryOptionsOf(self)),
            clock = clock,
            effects = effects,
            queueCapacity = options.controlQueueCapacity,
            onFailure = ::close,
        )
    }

    private fun peerClientOptions() =
        HttpClientOptions(
            maxConnectionsPerAddress = MAX_CONNECTIONS_PER_PEER,
            sslContext = options.peerTls?.clientContext(),
        )

    private fun entryOptionsOf(self: Owner): EntryOptions =
        entryOptions(self) {
            seed = SecureRandom().nextLong()
            wallClockOffsetMillis = clock.wallClockOffsetMillis()
            targetPolicy = options.targetPolicy
            options.configureEntry(this)
        }

    private fun createDirectory(self: Owner): InstanceDirectory =
        InstanceDirectory(
            client = transport.client(),
            platformAddress = options.platformAddress,
            self =
                ListedInstance(
                    id = self.instanceId.value,
                    role = InstanceRole.ENTRY,
                    failureDomain = self.failureDomain,
                    address = self.peerAddress,
                ),
            waitMillis = options.listWaitMillis,
            timeoutMillis = options.storeTimeoutMillis,
            executor = housekeeping,
            onEvent = { control.add(it) },
        )

    override fun snapshot(): InstanceSnapshot =
        checkNotNull(control.snapshot(SNAPSHOT_LIMIT_MILLIS)) {
            "the control thread did not answer within $SNAPSHOT_LIMIT_MILLIS ms"
        }

    override fun drain(onComplete: () -> Unit) {
        drainActions.add(onComplete)
        // A caller that is refused here must reach another instance through the load balancer when it retries.
        callerServer.closeAfterAnswers()
        if (drained) runDrainActions() else control.add(Event.ShutdownRequested)
    }

    /** Runs each action once, including one that is added while the shutdown completes. */
    private fun runDrainActions() {
        while (true) (drainActions.poll() ?: return)()
    }

    /** Stops accepting connections, waits until all responses are written, then deregisters from the platform. */
    private fun finishDrain() {
        if (closed.get()) return
        callerServer.stopAccepting()
        if (callerServer.requestsInProgress > 0) {
            housekeeping.schedule(::finishDrain, DRAIN_CHECK_MILLIS, TimeUnit.MILLISECONDS)
            return
        }
        directory.deregister {
            drained = true
            runDrainActions()
        }
    }

    override fun close() {
        if (!closed.compareAndSet(false, true)) return
        housekeeping.shutdownNow()
        control.close()
        if (::directory.isInitialized) directory.close()
        if (::callerServer.isInitialized) callerServer.close()
        operatorServer?.close()
        peerServer.close()
        transport.close()
    }

    private companion object {
        const val RANDOM_SECRET_BYTES = 32
        const val SNAPSHOT_LIMIT_MILLIS = 5_000L
        const val DRAIN_CHECK_MILLIS = 10L

        /** Digests are small and infrequent; more connections would only accumulate messages for a slow peer. */
        const val MAX_CONNECTIONS_PER_PEER = 8
        val STARTING = problemResponse(503, "not-ready", "the instance is starting", retryAfterMillis = 1_000)
    }
}
