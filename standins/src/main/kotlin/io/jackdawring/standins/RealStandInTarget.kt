package io.jackdawring.standins

import io.jackdawring.server.http.HttpClient
import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpHandler
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.HttpServer
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.util.Random
import java.util.concurrent.atomic.AtomicLong

/** Payload of a stand-in task; [runMillis] is the nominal run time. */
@Serializable
internal data class StandInTask(
    val runMillis: Long = 100,
    val fail: Boolean = false,
)

internal class RealStandInTarget(
    private val options: StandInTargetOptions,
    http: HttpServer.Factory,
    private val client: HttpClient,
    private val timers: Timers,
    private val wallClockMillis: () -> Long,
    private val refusedConnections: AtomicLong = AtomicLong(),
) : StandInTarget,
    HttpHandler {
    private class RunningTask(
        val exchange: HttpExchange,
        val name: String,
        val task: StandInTask,
    ) {
        var timer: TimerHandle = TimerHandle {}
        var ended = false
    }

    private val lock = Any()
    private val random = Random(options.seed)
    private val startLog = StartLog(options.startLogFile)
    private val deferredActions = ArrayList<() -> Unit>()
    private var currentModes = options.modes
    private var counts = TargetCounts()
    private val server = http.start(options.listen, this)
    private val farServer =
        options.farOneWayMillis.takeIf { it > 0 }?.let { oneWayMillis ->
            http.start(options.listen.substringBeforeLast(':') + ":0") { exchange ->
                timers.schedule(oneWayMillis) { handle(DelayedExchange(exchange, timers, oneWayMillis)) }
            }
        }
    private val registration = TargetRegistration(options, server.address, farServer?.address, client, timers)

    override val id: String get() = options.id

    override val address: String get() = server.address

    override val modes: TargetModes get() = synchronized(lock) { currentModes }

    init {
        registration.start()
        if (options.modes.leaving) registration.announce(true)
    }

    override fun control(change: TargetModeChange) {
        val (before, after, resumed) =
            synchronized(lock) {
                val before = currentModes
                currentModes = change.applyTo(before)
                val resumed = if (currentModes.frozen) emptyList() else deferredActions.toList()
                if (!currentModes.frozen) deferredActions.clear()
                Triple(before, currentModes, resumed)
            }
        if (before.leaving != after.leaving) registration.announce(after.leaving)
        resumed.forEach { it() }
    }

    override fun starts(): List<TaskStart> = startLog.toList()

    override fun counts(): TargetCounts =
        synchronized(lock) { counts }.copy(refusedConnections = refusedConnections.get())

    override fun close() {
        registration.close()
        server.close()
        farServer?.close()
        client.close()
        timers.close()
        startLog.close()
    }

    override fun handle(exchange: HttpExchange) {
        val request = exchange.request
        when ("${request.method} ${request.path}") {
            "POST /tasks" -> unlessFrozen { accept(exchange) }
            "POST /control" -> {
                control(exchange.bodyOrRefuse(TargetModeChange.serializer()) ?: return)
                exchange.respond(jsonResponse(200, modes))
            }
            "GET /control" -> exchange.respond(jsonResponse(200, modes))
            "GET /counts" -> exchange.respond(jsonResponse(200, counts()))
            "GET /starts" ->
                exchange.respond(
                    HttpResponseMessage(200, JSON_LINES, startLog.toJsonLines().toByteArray()),
                )
            else -> exchange.respond(problem(404, "no resource at ${request.path}"))
        }
    }

    private fun unlessFrozen(action: () -> Unit) {
        val deferred = synchronized(lock) { currentModes.frozen.also { if (it) deferredActions.add(action) } }
        if (!deferred) action()
    }

    private fun accept(exchange: HttpExchange) {
        val name = exchange.request.header("jackdaw-task")
        val task = parse(exchange.request.body)
        if (name == null || task == null) {
            exchange.respond(problem(400, "a task needs the header Jackdaw-Task and a JSON payload"))
            return
        }
        val running = RunningTask(exchange, name, task)
        val refusal =
            synchronized(lock) {
                refusal().also { if (it == null) start(running) }
            }
        if (refusal != null) {
            answer(exchange, HttpResponseMessage(503, persistentMapOf("jackdaw-not-started" to refusal)))
            return
        }
        exchange.onDisconnected { end(running) { counts = counts.copy(cancelled = counts.cancelled + 1) } }
    }

    private fun refusal(): String? =
        when {
            currentModes.leaving -> {
                counts = counts.copy(refusedLeaving = counts.refusedLeaving + 1)
                "leaving"
            }
            counts.running >= options.slots -> {
                counts = counts.copy(refusedBusy = counts.refusedBusy + 1)
                "busy"
            }
            else -> null
        }

    private fun start(running: RunningTask) {
        startLog.add(TaskStart(running.name, options.id, wallClockMillis()))
        val inUse = counts.running + 1
        counts =
            counts.copy(started = counts.started + 1, running = inUse, peakRunning = maxOf(inUse, counts.peakRunning))
        val fails = running.task.fail || currentModes.failEverything
        val isStraggler = random.nextDouble() * PERCENT < currentModes.stragglerPercent
        val factor = (if (isStraggler) currentModes.stragglerFactor else 1.0) / currentModes.speed
        // A target that fails everything fails immediately, so that it looks idle to its callers.
        val runMillis = if (currentModes.failEverything) 0 else (running.task.runMillis * factor).toLong()
        running.timer = timers.schedule(runMillis) { unlessFrozen { finish(running, fails) } }
    }

    private fun finish(
        running: RunningTask,
        fails: Boolean,
    ) {
        val ended =
            end(running) {
                counts =
                    if (fails) {
                        counts.copy(failed = counts.failed + 1)
                    } else {
                        counts.copy(succeeded = counts.succeeded + 1)
                    }
            }
        if (!ended) return
        answer(running.exchange, if (fails) problem(500, "the task failed") else success(running))
    }

    /** Frees the slot of [running] once and runs [count] under the lock. Returns false if it was already freed. */
    private fun end(
        running: RunningTask,
        count: () -> Unit,
    ): Boolean =
        synchronized(lock) {
            if (running.ended) return false
            running.ended = true
            running.timer.cancel()
            counts = counts.copy(running = counts.running - 1)
            count()
            true
        }

    private fun success(running: RunningTask): HttpResponseMessage {
        val payload =
            running.exchange.request.body
                .decodeToString()
                .ifBlank { "null" }
        val name = JsonPrimitive(running.name)
        val target = JsonPrimitive(options.id)
        val body = """{"task":$name,"target":$target,"payload":$payload}"""
        return HttpResponseMessage(200, JSON_HEADERS, body.encodeToByteArray())
    }

    private fun answer(
        exchange: HttpExchange,
        response: HttpResponseMessage,
    ) {
        val (modes, inUse) = synchronized(lock) { currentModes to counts.running }
        var headers = response.headers
        if (modes.usageHeaders) headers = headers.toPersistentMap().put("jackdaw-slots-in-use", inUse.toString())
        if (modes.leaving) headers = headers.toPersistentMap().put("jackdaw-leaving", "true")
        exchange.respond(HttpResponseMessage(response.status, headers, response.body))
    }

    private fun parse(body: ByteArray): StandInTask? =
        try {
            val text = body.decodeToString()
            when (val payload = if (text.isBlank()) null else payloadJson.parseToJsonElement(text)) {
                is JsonObject -> payloadJson.decodeFromJsonElement(StandInTask.serializer(), payload)
                else -> StandInTask()
            }
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        const val PERCENT = 100
        val JSON_LINES = persistentMapOf("content-type" to "application/jsonl")
        val payloadJson = Json { ignoreUnknownKeys = true }
    }
}
