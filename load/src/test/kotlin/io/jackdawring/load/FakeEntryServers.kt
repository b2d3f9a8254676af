package io.jackdawring.load

import io.jackdawring.core.InstanceList
import io.jackdawring.core.InstanceSnapshot
import io.jackdawring.core.MemberStatus
import io.jackdawring.core.Owner
import io.jackdawring.core.TargetId
import io.jackdawring.core.TargetStatus
import io.jackdawring.server.EntryServer
import io.jackdawring.server.ServerOptions
import io.jackdawring.server.http.HttpClientOptions
import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpHandler
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.http.HttpTransport
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Fault of a fake entry instance. */
enum class EntryFault { NONE, STARTS_TWICE, SWAPS_RESULTS, OMITS_A_RESULT, NEVER_ANSWERS, REFUSES_ALL }

/** Entry instances that share one table of submissions and send tasks to targets round-robin. */
internal class FakeEntryServers(
    private val transport: HttpTransport,
    private val fault: EntryFault = EntryFault.NONE,
) : EntryServer.Factory,
    AutoCloseable {
    // One connection per slot, so that no target refuses a task as busy.
    private val client = transport.client(HttpClientOptions(maxConnectionsPerAddress = 8))
    private val submissions = ConcurrentHashMap<String, CompletableFuture<List<JsonElement>>>()
    private val started = ConcurrentHashMap<String, Owner>()
    private val nextTarget = AtomicInteger()

    override fun close() = client.close()

    override fun start(options: ServerOptions): EntryServer = FakeEntryServer(options)

    private inner class FakeEntryServer(
        private val options: ServerOptions,
    ) : EntryServer,
        HttpHandler {
        private val server = transport.serverFactory().start(options.callerListen, this)
        private val self = Owner(options.instanceId, 1, server.address, options.failureDomain)

        // Read in advance so that requests need not wait for it; it does not change once the fleet is ready.
        @Volatile
        private var list = InstanceList(0, emptyList())

        init {
            started[options.instanceId.value] = self
        }

        override val callerAddress = server.address
        override val peerAddress = server.address
        override val operatorAddress: String? = null

        override fun snapshot(): InstanceSnapshot {
            list = readList()
            return InstanceSnapshot(
                self = self,
                ready = true,
                draining = false,
                configurationVersion = 1,
                sessions = 0,
                records = 0,
                runningJobs = 0,
                queuedTasks = 0,
                tasksInFlight = 0,
                storeReachable = true,
                members = (started.values - self).map { MemberStatus(it, "live", 1) }.toImmutableList(),
                targets =
                    list.instances
                        .map { TargetStatus(TargetId(it.id), it.failureDomain, "live", 0, 8, 1.0) }
                        .toImmutableList(),
            )
        }

        override fun drain(onComplete: () -> Unit) = onComplete()

        override fun close() = server.close()

        override fun handle(exchange: HttpExchange) {
            when {
                exchange.request.path == "/v1/sessions" ->
                    exchange.respond(response(201, """{"session":"${options.instanceId.value}"}"""))
                fault == EntryFault.NEVER_ANSWERS -> Unit
                fault == EntryFault.REFUSES_ALL -> exchange.respond(response(429, "{}"))
                else -> answer(exchange)
            }
        }

        private fun answer(exchange: HttpExchange) {
            val id = exchange.request.header("idempotency-key").orEmpty()
            val results =
                submissions.computeIfAbsent(id) {
                    val body = Json.parseToJsonElement(exchange.request.body.decodeToString()) as JsonObject
                    run(id, (body["tasks"] as JsonArray).map { (it as JsonObject).getValue("payload") })
                }
            results.thenAccept { allResults ->
                val sentResults =
                    when (fault) {
                        EntryFault.SWAPS_RESULTS -> allResults.reversed()
                        EntryFault.OMITS_A_RESULT -> allResults.drop(1)
                        else -> allResults
                    }
                exchange.respond(response(200, """{"outcome":"complete","results":${JsonArray(sentResults)}}"""))
            }
        }

        private fun run(
            id: String,
            payloads: List<JsonElement>,
        ): CompletableFuture<List<JsonElement>> {
            if (fault == EntryFault.STARTS_TWICE) start("s/$id/0", payloads.first())
            val tasks = payloads.mapIndexed { index, payload -> start("s/$id/$index", payload) }
            return CompletableFuture.allOf(*tasks.toTypedArray()).thenApply { tasks.map { it.join() } }
        }

        private fun start(
            name: String,
            payload: JsonElement,
        ): CompletableFuture<JsonElement> {
            val result = CompletableFuture<JsonElement>()
            val address = list.instances[Math.floorMod(nextTarget.getAndIncrement(), list.instances.size)].address
            val headers = persistentMapOf("jackdaw-task" to name)
            val request =
                HttpRequestMessage("POST", "/tasks", headers = headers, body = payload.toString().encodeToByteArray())
            client.send(address, request, TIMEOUT_MILLIS) { answer ->
                val response = (answer as? HttpResult.Answered)?.response?.takeIf { it.status == 200 }
                val text = response?.body?.decodeToString()
                result.complete(text?.let(Json::parseToJsonElement) ?: JsonPrimitive("no result"))
            }
            return result
        }

        private fun readList(): InstanceList {
            val answer = CompletableFuture<HttpResult>()
            val request = HttpRequestMessage("GET", "/instances")
            client.send(options.platformAddress, request, TIMEOUT_MILLIS, answer::complete)
            val result = answer.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) as HttpResult.Answered
            return Json.decodeFromString(InstanceList.serializer(), result.response.body.decodeToString())
        }
    }

    private fun response(
        status: Int,
        body: String,
    ) = HttpResponseMessage(status, persistentMapOf("content-type" to "application/json"), body.encodeToByteArray())

    private companion object {
        const val TIMEOUT_MILLIS = 10_000L
    }
}
