package io.jackdawring.standins.platform

import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.HttpServer
import io.jackdawring.server.http.HttpTransport
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import java.util.Base64
import java.util.concurrent.TimeUnit

/** The platform's store with revisions, leases, watches and history, over its HTTP interface. */
class StandInPlatformStore(
    private val transport: HttpTransport,
    address: String = "127.0.0.1:0",
) : AutoCloseable {
    /** How the store responds. */
    enum class Mode { HEALTHY, BUSY, SILENT, ANSWERS_LOST }

    private class Watch(
        val exchange: HttpExchange,
        val prefix: String,
        val after: Long,
    )

    private val executor = transport.executor()
    private val state = PlatformStoreState(HISTORY_LIMIT)
    private val watches = ArrayList<Watch>()
    private val server = transport.serverFactory().start(address) { handle(it, mode) }

    val address: String get() = server.address

    @Volatile
    var mode = Mode.HEALTHY

    init {
        executor.scheduleAtFixedRate(::expire, LEASE_CHECK_MILLIS, LEASE_CHECK_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Writes [value] without conditions, in place of an operator or a target. */
    fun put(
        key: String,
        value: String,
    ) = putEncoded(key, Base64.getEncoder().encodeToString(value.encodeToByteArray()))

    /** As [put] with a value that should be, but is not checked to be, in base64. */
    fun putEncoded(
        key: String,
        base64: String,
    ) = executor.execute {
        state.put(key, base64, 0)
        answerWatches()
    }

    fun remove(key: String) =
        executor.execute {
            state.remove(key)
            answerWatches()
        }

    /** Clears the history and disconnects the watches. */
    fun clearHistory() =
        executor.execute {
            state.clearHistory()
            watches.forEach { it.exchange.disconnect() }
            watches.clear()
        }

    /** The text of [key], or null. */
    fun read(key: String): String? =
        executor
            .submit<String?> {
                state.items[key]?.let {
                    Base64
                        .getDecoder()
                        .decode(
                            it.value,
                        ).decodeToString()
                }
            }.get()

    private fun nowMillis() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    private fun expire() {
        state.expireLeases(nowMillis())
        answerWatches()
    }

    /**
     * A further address of this store, which may turn away its clients while the store serves all others.
     *
     * Its methods block; do not call them on the event loop. While it refuses connections, another process may take an
     * [address] whose port the system hands out to clients.
     */
    inner class Door(
        val address: String,
    ) : AutoCloseable {
        @Volatile
        private var doorMode = Mode.HEALTHY
        private var server = open()

        /** The event loop releases the port of a closed listener only a little later. */
        private fun open(): HttpServer {
            repeat(OPEN_TRIES) {
                val server = runCatching { transport.serverFactory().start(address) { handle(it, doorMode) } }
                server.onSuccess { return it }
                Thread.sleep(OPEN_RETRY_MILLIS)
            }
            error("cannot listen on $address again")
        }

        /** Closes all connections and refuses new ones. */
        fun refuse() = server.close()

        /** Closes all connections and responds to new ones as in [mode]. */
        fun reopen(mode: Mode = Mode.HEALTHY) {
            server.close()
            doorMode = mode
            server = open()
        }

        override fun close() = server.close()
    }

    private fun handle(
        exchange: HttpExchange,
        mode: Mode,
    ) {
        when (mode) {
            Mode.HEALTHY -> answer(exchange)

            Mode.BUSY -> exchange.respond(HttpResponseMessage(UNAVAILABLE))

            Mode.SILENT -> Unit

            Mode.ANSWERS_LOST -> {
                if (exchange.request.method == "POST") answer(NoResponseExchange(exchange)) else answer(exchange)
            }
        }
    }

    /** Executes a call and closes its connection instead of responding. */
    private class NoResponseExchange(
        private val exchange: HttpExchange,
    ) : HttpExchange by exchange {
        override fun respond(response: HttpResponseMessage) = exchange.disconnect()
    }

    private fun answer(exchange: HttpExchange) {
        val path = exchange.request.path
        when {
            path == "/v1/kv-range" -> range(exchange)
            path == "/v1/kv-watch" -> watch(exchange)
            path == "/v1/kv-txn" -> commit(exchange)
            path == "/v1/kv-lease" -> grantLease(exchange)
            path.startsWith("/v1/kv-keep/") -> renewLease(exchange, path.substringAfterLast('/').toLong())
            else -> exchange.respond(HttpResponseMessage(NOT_FOUND))
        }
    }

    private fun range(exchange: HttpExchange) {
        val prefix = exchange.request.query["prefix"].orEmpty()
        val after = exchange.request.query["after"].orEmpty()
        val found = state.items.values.filter { it.key.startsWith(prefix) && it.key > after }
        exchange.json(OK) {
            put("items", JsonArray(found.take(PAGE_ITEMS).map(::toJson)))
            put("hasMore", found.size > PAGE_ITEMS)
            put("currentRev", state.revision)
        }
    }

    private fun watch(exchange: HttpExchange) {
        val query = exchange.request.query
        val watch = Watch(exchange, query["prefix"].orEmpty(), query["after"]?.toLong() ?: 0)
        if (answerWatch(watch, evenIfEmpty = false)) return
        watches.add(watch)
        val waitMillis = query["waitMs"]?.toLong() ?: 0
        executor.schedule(
            { if (watches.remove(watch)) answerWatch(watch, evenIfEmpty = true) },
            waitMillis,
            TimeUnit.MILLISECONDS,
        )
    }

    private fun answerWatches() = watches.removeAll { answerWatch(it, evenIfEmpty = false) }

    private fun answerWatch(
        watch: Watch,
        evenIfEmpty: Boolean,
    ): Boolean {
        val changes = state.changesAfter(watch.after, watch.prefix)
        when {
            changes == null -> {
                watch.exchange.respond(HttpResponseMessage(GONE))
            }

            changes.isEmpty() && !evenIfEmpty -> {
                return false
            }

            else -> {
                watch.exchange.json(OK) {
                    put("events", JsonArray(changes.map(::toJson)))
                    put("currentRev", state.revision)
                }
            }
        }
        return true
    }

    private fun commit(exchange: HttpExchange) {
        val body = exchange.body()
        val conditions =
            body["precondition"]?.jsonArray.orEmpty().map {
                it.jsonObject.text("key") to
                    it.jsonObject.number("revision")
            }
        val writes =
            body["writes"]?.jsonArray.orEmpty().map { write ->
                Triple(
                    write.jsonObject.text("key"),
                    write.jsonObject.text("value"),
                    write.jsonObject["lease"]?.jsonPrimitive?.long ?: 0,
                )
            }
        val removals = body["remove"]?.jsonArray.orEmpty().map { it.jsonPrimitive.content }
        when {
            writes.any { !state.hasLease(it.third) } -> {
                exchange.respond(HttpResponseMessage(NOT_FOUND))
            }

            conditions.any { (key, revision) -> (state.items[key]?.revision ?: 0) != revision } -> {
                val present = conditions.mapNotNull { state.items[it.first] }
                exchange.json(PRECONDITION_FAILED) { put("items", JsonArray(present.map(::toJson))) }
            }

            else -> {
                val revision = state.commit(writes, removals)
                exchange.json(OK) { put("revision", revision) }
                answerWatches()
            }
        }
    }

    private fun grantLease(exchange: HttpExchange) {
        val ttlMillis = exchange.body().number("ttlMs")
        val lease = state.grantLease(ttlMillis, nowMillis())
        exchange.json(OK) {
            put("lease", lease)
            put("ttlMs", ttlMillis)
        }
    }

    private fun renewLease(
        exchange: HttpExchange,
        lease: Long,
    ) {
        val ttl = state.renewLease(lease, nowMillis())
        if (ttl == null) exchange.respond(HttpResponseMessage(NOT_FOUND)) else exchange.json(OK) { put("ttlMs", ttl) }
    }

    private fun toJson(change: PlatformStoreState.Change): JsonObject =
        change.item?.let(::toJson)
            ?: buildJsonObject {
                put("key", change.key)
                put("revision", change.revision)
                put("removed", true)
            }

    private fun toJson(item: PlatformStoreState.Item) =
        buildJsonObject {
            put("key", item.key)
            put("value", item.value)
            put("revision", item.revision)
            put("createdAt", item.createdAt)
            put("lease", item.lease)
        }

    override fun close() = server.close()

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val GONE = 410
        const val PRECONDITION_FAILED = 412
        const val UNAVAILABLE = 503
        const val PAGE_ITEMS = 500
        const val HISTORY_LIMIT = 10_000
        const val LEASE_CHECK_MILLIS = 50L
        const val OPEN_TRIES = 100
        const val OPEN_RETRY_MILLIS = 5L
    }
}

internal fun HttpExchange.body(): JsonObject = Json.parseToJsonElement(request.body.decodeToString()).jsonObject

internal fun HttpExchange.json(
    status: Int,
    build: JsonObjectBuilder.() -> Unit,
) = respond(
    HttpResponseMessage(
        status,
        persistentMapOf("content-type" to "application/json"),
        buildJsonObject(build).toString().encodeToByteArray(),
    ),
)

internal fun JsonObject.text(name: String): String = getValue(name).jsonPrimitive.content

internal fun JsonObject.number(name: String): Long = (getValue(name) as JsonPrimitive).long
