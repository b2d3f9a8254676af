package io.jackdawring.standins

import io.jackdawring.core.InstanceList
import io.jackdawring.core.ListedInstance
import io.jackdawring.core.ListedState
import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpHandler
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.HttpServer
import kotlinx.serialization.Serializable
import java.util.Random
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

@Serializable
internal data class PutBody(
    val value: String,
    val expectedRevision: Long? = null,
    val leaseMillis: Long? = null,
)

@Serializable
internal data class Revision(
    val revision: Long,
)

@Serializable
internal data class KeyListing(
    val entries: List<ListedKey>,
)

@Serializable
internal data class StateBody(
    val state: ListedState,
)

internal class RealStandInPlatform(
    private val options: StandInPlatformOptions,
    http: HttpServer.Factory,
    private val timers: Timers,
) : StandInPlatform,
    HttpHandler {
    private val store = KeyValueStore(timers)
    private val directory = InstanceDirectory(timers)
    private val random = Random(options.seed)
    private val readCap = RateCap()
    private val writeCap = RateCap()
    private val counters = PlatformCounters()
    private val waiting = ConcurrentHashMap<HttpExchange, TimerHandle>()

    @Volatile
    private var currentFaults = options.faults

    private val farAddresses = ConcurrentHashMap<String, String>()
    private val server: HttpServer = http.start(options.listen, this)

    private val views: Map<String, HttpServer> =
        options.views.associateWith { viewer ->
            http.start(options.listen.substringBeforeLast(':') + ":0") { handle(it, viewer) }
        }

    override val address: String get() = server.address

    override fun addressFor(failureDomain: String): String = (views[failureDomain] ?: server).address

    override var faults: PlatformFaults
        get() = currentFaults
        set(value) = apply(value)

    init {
        apply(options.faults)
    }

    override fun counts(): PlatformCounts = counters.toCounts(store.waitingWatches + directory.waitingWatches)

    override fun close() {
        server.close()
        views.values.forEach { it.close() }
        timers.close()
    }

    override fun handle(exchange: HttpExchange) = handle(exchange, viewer = null)

    private fun handle(
        exchange: HttpExchange,
        viewer: String?,
    ) {
        val path = exchange.request.path
        when {
            path == "/faults" -> handleFaults(exchange)
            path == "/counts" -> exchange.respond(jsonResponse(200, counts()))
            else -> handleCall(exchange, viewer)
        }
    }

    private fun handleFaults(exchange: HttpExchange) {
        when (exchange.request.method) {
            "GET" -> exchange.respond(jsonResponse(200, faults))
            "PUT" -> {
                faults = exchange.bodyOrRefuse(PlatformFaults.serializer()) ?: return
                exchange.respond(jsonResponse(200, faults))
            }
            else -> exchange.respond(problem(405, "/faults supports GET and PUT"))
        }
    }

    private fun apply(faults: PlatformFaults) {
        val wasDown = currentFaults.down
        currentFaults = faults
        directory.lagMillis = faults.listLagMillis
        if (faults.down && !wasDown) {
            directory.suspendLeases()
            waiting.keys.forEach { exchange ->
                waiting.remove(exchange)?.cancel()
                answerAsDown(exchange)
            }
        }
        if (!faults.down && wasDown) directory.restartLeases()
    }

    private fun handleCall(
        exchange: HttpExchange,
        viewer: String?,
    ) {
        val isRead = exchange.request.method == "GET"
        val isStore = exchange.request.path.startsWith("/kv")
        counters.count(isRead, isStore)
        val withinCap =
            !isStore ||
                if (isRead) {
                    readCap.admits(timers.nowMillis(), faults.maxReadsPerSecond)
                } else {
                    writeCap.admits(timers.nowMillis(), faults.maxWritesPerSecond)
                }
        if (!withinCap) {
            counters.countOverCap(isRead)
            exchange.respond(problem(429, "more calls per second than the platform accepts"))
            return
        }
        val delayMillis = faults.delayMillis
        if (delayMillis == 0L) execute(exchange, viewer) else timers.schedule(delayMillis) { execute(exchange, viewer) }
    }

    private fun execute(
        exchange: HttpExchange,
        viewer: String?,
    ) {
        if (faults.down) {
            counters.callsWhileDown.incrementAndGet()
            answerAsDown(exchange)
            return
        }
        val path = exchange.request.path
        when {
            path == "/kv" || path == "/kv/" -> listKeys(exchange)
            path.startsWith("/kv/") -> handleKey(exchange, path.removePrefix("/kv/"))
            path == "/instances" -> handleInstances(exchange, viewer)
            path.startsWith("/instances/") -> handleInstance(exchange, path.removePrefix("/instances/"))
            else -> exchange.respond(problem(404, "no resource at $path"))
        }
    }

    private fun answerAsDown(exchange: HttpExchange) =
        when (faults.downMode) {
            DownMode.CLOSE -> exchange.disconnect()
            DownMode.STATUS_503 -> exchange.respond(problem(503, "the platform is down"))
        }

    private fun listKeys(exchange: HttpExchange) {
        val prefix = exchange.request.query["prefix"].orEmpty()
        exchange.respond(jsonResponse(200, KeyListing(store.list(prefix))))
    }

    private fun handleKey(
        exchange: HttpExchange,
        key: String,
    ) {
        when (exchange.request.method) {
            "GET" -> readKey(exchange, key)
            "PUT" -> {
                val body = exchange.bodyOrRefuse(PutBody.serializer()) ?: return
                if (body.value.encodeToByteArray().size > options.maxValueBytes) {
                    exchange.respond(problem(413, "the value is larger than ${options.maxValueBytes} bytes"))
                    return
                }
                answerWrite(exchange, store.put(key, body.value, body.expectedRevision, body.leaseMillis))
            }
            "DELETE" -> answerWrite(exchange, store.delete(key, exchange.request.queryLong("expectedRevision")))
            else -> exchange.respond(problem(405, "keys support GET, PUT and DELETE"))
        }
    }

    private fun readKey(
        exchange: HttpExchange,
        key: String,
    ) {
        val afterRevision = exchange.request.queryLong("afterRevision")
        if (afterRevision == null) {
            answerEntry(exchange, store.get(key))
            return
        }
        await(exchange) { done ->
            store.watch(key, afterRevision, exchange.waitMillis()) {
                done()
                answerEntry(exchange, it)
            }
        }
    }

    private fun answerEntry(
        exchange: HttpExchange,
        entry: KeyValueEntry,
    ) = exchange.respond(
        if (entry.value == null) jsonResponse(404, Revision(entry.revision)) else jsonResponse(200, entry),
    )

    private fun answerWrite(
        exchange: HttpExchange,
        result: WriteResult,
    ) {
        if (losesReply()) {
            counters.repliesLost.incrementAndGet()
            exchange.disconnect()
            return
        }
        exchange.respond(
            when (result) {
                is WriteResult.Written -> jsonResponse(200, Revision(result.revision))
                is WriteResult.Conflict -> jsonResponse(412, result.current)
            },
        )
    }

    private fun losesReply(): Boolean = random.nextInt(PERCENT) < faults.loseReplyPercent

    private fun handleInstances(
        exchange: HttpExchange,
        viewer: String?,
    ) {
        when (exchange.request.method) {
            "GET" -> listInstances(exchange, viewer)
            "POST" -> {
                val instance = exchange.bodyOrRefuse(ListedInstance.serializer()) ?: return
                exchange.request.query["farAddress"]?.let { farAddresses[instance.id] = it }
                directory.register(instance, exchange.request.queryLong("leaseMillis"))
                exchange.respond(HttpResponseMessage(204))
            }
            else -> exchange.respond(problem(405, "/instances supports GET and POST"))
        }
    }

    private fun listInstances(
        exchange: HttpExchange,
        viewer: String?,
    ) {
        val afterVersion = exchange.request.queryLong("afterVersion")
        if (afterVersion == null) {
            exchange.respond(jsonResponse(200, directory.list().viewFrom(viewer)))
            return
        }
        await(exchange) { done ->
            directory.watch(afterVersion, exchange.waitMillis()) {
                done()
                exchange.respond(jsonResponse(200, it.viewFrom(viewer)))
            }
        }
    }

    private fun InstanceList.viewFrom(viewer: String?): InstanceList {
        if (viewer == null) return this
        return copy(
            instances =
                instances.map { instance ->
                    val farAddress = farAddresses[instance.id].takeIf { instance.failureDomain.value != viewer }
                    if (farAddress == null) instance else instance.copy(address = farAddress)
                },
        )
    }

    private fun handleInstance(
        exchange: HttpExchange,
        id: String,
    ) {
        val known =
            when (exchange.request.method) {
                "DELETE" -> directory.remove(id)
                "PATCH" -> {
                    val body = exchange.bodyOrRefuse(StateBody.serializer()) ?: return
                    directory.setState(id, body.state)
                }
                else -> return exchange.respond(problem(405, "an instance supports DELETE and PATCH"))
            }
        exchange.respond(if (known) HttpResponseMessage(204) else problem(404, "no instance with id \"$id\""))
    }

    /** Runs [watch] and cancels it when the client disconnects; [watch] calls its argument before it responds. */
    private fun await(
        exchange: HttpExchange,
        watch: (done: () -> Unit) -> TimerHandle,
    ) {
        val ended = AtomicBoolean()
        val handle =
            watch {
                ended.set(true)
                waiting.remove(exchange)
            }
        waiting[exchange] = handle
        // The watch may have ended on another thread before it was added.
        if (ended.get()) waiting.remove(exchange)
        exchange.onDisconnected { waiting.remove(exchange)?.cancel() }
    }

    private fun HttpExchange.waitMillis(): Long = (request.queryLong("waitMillis") ?: 0).coerceIn(0, MAX_WAIT_MILLIS)

    private companion object {
        const val PERCENT = 100
        const val MAX_WAIT_MILLIS = 120_000L
    }
}

/** Counters behind [PlatformCounts]. */
internal class PlatformCounters {
    private val reads = AtomicLong()
    private val writes = AtomicLong()
    private val instanceReads = AtomicLong()
    private val instanceWrites = AtomicLong()
    private val readsOverCap = AtomicLong()
    private val writesOverCap = AtomicLong()
    val repliesLost = AtomicLong()
    val callsWhileDown = AtomicLong()

    fun count(
        isRead: Boolean,
        isStore: Boolean,
    ) {
        val counter =
            when {
                isStore -> if (isRead) reads else writes
                else -> if (isRead) instanceReads else instanceWrites
            }
        counter.incrementAndGet()
    }

    fun countOverCap(isRead: Boolean) {
        (if (isRead) readsOverCap else writesOverCap).incrementAndGet()
    }

    fun toCounts(waitingWatches: Int): PlatformCounts =
        PlatformCounts(
            reads = reads.get(),
            writes = writes.get(),
            instanceReads = instanceReads.get(),
            instanceWrites = instanceWrites.get(),
            waitingWatches = waitingWatches,
            readsOverCap = readsOverCap.get(),
            writesOverCap = writesOverCap.get(),
            repliesLost = repliesLost.get(),
            callsWhileDown = callsWhileDown.get(),
        )
}
