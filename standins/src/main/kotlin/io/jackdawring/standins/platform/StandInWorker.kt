package io.jackdawring.standins.platform

import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.http.HttpTransport
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import java.util.concurrent.TimeUnit

/** A target in the platform's protocol: capacity, fence, lease on all runs, numbered ends. All runs take [workMillis]. */
class StandInWorker(
    val id: String,
    private val transport: HttpTransport,
    private val slots: Int = 4,
    private val workMillis: Long = 30,
    address: String = "127.0.0.1:0",
) : AutoCloseable {
    private class Run(
        val task: String,
        val attempt: Long,
    )

    private class End(
        val number: Long,
        val task: String,
        val attempt: Long,
        val how: String,
    )

    private class Look(
        val exchange: HttpExchange,
        val lastSeen: Long,
    )

    private val executor = transport.executor()
    private val server = transport.serverFactory().start(address, ::handle)
    private val runs = LinkedHashMap<String, Run>()
    private val ends = ArrayList<End>()
    private val endedAttempts = HashMap<String, Long>()
    private val looks = ArrayList<Look>()
    private val bornMillis = System.currentTimeMillis()
    private var fence = 0L
    private var leaseUntilMillis = 0L
    private var nextEnd = 1L

    val address: String get() = server.address

    /** Names of the tasks that were started, in order; read on the event loop or after the traffic. */
    val starts = java.util.concurrent.CopyOnWriteArrayList<String>()

    private fun clockMillis() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    /** The entry that the target writes to the store. */
    fun registration(
        failureDomain: String,
        service: String,
        state: String = "ready",
    ): String =
        """{"service":"$service","address":"$address","zone":"$failureDomain","version":"v1","slots":8,""" +
            """"state":"$state","coldMs":0,"capacity":{"cpu":${slots * CPU_PER_SLOT},"memMb":65536,"gpu":0},"labels":["a"],"seqNo":1}"""

    private fun handle(exchange: HttpExchange) {
        val expected = exchange.request.header("x-expect-instance")
        if (expected != null && expected != id) {
            exchange.respond(HttpResponseMessage(MISDIRECTED))
            return
        }
        val body = exchange.body()
        if (body.number("fencingToken") < fence) {
            exchange.conflict("fence")
            return
        }
        fence = body.number("fencingToken")
        when (exchange.request.path) {
            "/v1/run-start" -> start(exchange, body)
            "/v1/run-stop" -> stop(exchange, body)
            "/v1/hold" -> look(exchange, body)
            else -> exchange.respond(HttpResponseMessage(NOT_FOUND))
        }
    }

    private fun start(
        exchange: HttpExchange,
        body: JsonObject,
    ) {
        val task = body.text("task")
        val attempt = body.number("attempt")
        val until = body.number("deadlineMs")
        when {
            until < clockMillis() -> exchange.conflict("late")
            runs[task]?.attempt == attempt -> exchange.clock()
            attempt <= (endedAttempts[task] ?: 0) -> exchange.conflict("old")
            runs.size >= slots -> exchange.conflict("room")
            else -> begin(exchange, Run(task, attempt), until)
        }
    }

    private fun begin(
        exchange: HttpExchange,
        run: Run,
        untilMillis: Long,
    ) {
        runs[run.task] = run
        starts.add(run.task)
        extendLease(untilMillis)
        executor.schedule({ if (runs[run.task] === run) end(run, "done") }, workMillis, TimeUnit.MILLISECONDS)
        exchange.clock()
    }

    private fun extendLease(untilMillis: Long) {
        leaseUntilMillis = maxOf(leaseUntilMillis, minOf(untilMillis, clockMillis() + LONGEST_LEASE_MILLIS))
        executor.schedule(::endLapsed, leaseUntilMillis - clockMillis() + 1, TimeUnit.MILLISECONDS)
    }

    private fun endLapsed() {
        if (clockMillis() > leaseUntilMillis) runs.values.toList().forEach { end(it, "lapsed") }
    }

    private fun stop(
        exchange: HttpExchange,
        body: JsonObject,
    ) {
        val task = body.text("task")
        endedAttempts.merge(task, body.number("attempt"), ::maxOf)
        runs[task]?.takeIf { it.attempt <= body.number("attempt") }?.let { end(it, "stopped") }
        exchange.clock()
    }

    private fun end(
        run: Run,
        how: String,
    ) {
        runs.remove(run.task)
        endedAttempts.merge(run.task, run.attempt, ::maxOf)
        ends.add(End(nextEnd++, run.task, run.attempt, how))
        looks.toList().forEach(::answer)
        looks.clear()
    }

    private fun look(
        exchange: HttpExchange,
        body: JsonObject,
    ) {
        body["deadlineMs"]?.jsonPrimitive?.long?.let(::extendLease)
        val look = Look(exchange, body.number("lastSeen"))
        ends.removeAll { it.number <= look.lastSeen }
        val wait = body["waitMs"]?.jsonPrimitive?.long ?: 0
        if (ends.isNotEmpty() || wait == 0L) {
            answer(look)
        } else {
            looks.add(look)
            executor.schedule({ if (looks.remove(look)) answer(look) }, wait, TimeUnit.MILLISECONDS)
        }
    }

    private fun answer(look: Look) =
        look.exchange.json(OK) {
            put("clockMs", clockMillis())
            put("born", bornMillis)
            put("running", JsonArray(runs.values.map { row(it.task, it.attempt, "", 0) }))
            put("finished", JsonArray(ends.map { row(it.number, it.task, it.attempt, it.how, "") }))
        }

    private fun row(vararg values: Any) =
        JsonArray(values.map { if (it is Number) JsonPrimitive(it) else JsonPrimitive(it.toString()) })

    private fun HttpExchange.clock() = json(OK) { put("clockMs", clockMillis()) }

    private fun HttpExchange.conflict(reason: String) =
        json(CONFLICT) {
            put("clockMs", clockMillis())
            put("reason", reason)
        }

    override fun close() = server.close()

    companion object {
        /** Demand of one task that fills a slot, in thousandths of a core. */
        const val CPU_PER_SLOT = 1_000
        private const val LONGEST_LEASE_MILLIS = 1_000L
        private const val OK = 200
        private const val NOT_FOUND = 404
        private const val CONFLICT = 409
        private const val MISDIRECTED = 421
    }
}
