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

/**
 * A target with the platform's protocol: capacity, fencing token, one lease for all runs, numbered ended runs.
 *
 * All runs take [runMillis], or what [runMillisOf] says for the name of their task.
 */
class StandInPlatformTarget(
    val id: String,
    private val transport: HttpTransport,
    private val slots: Int = 4,
    private val runMillis: Long = 30,
    address: String = "127.0.0.1:0",
    private val runMillisOf: (task: String) -> Long = { runMillis },
) : AutoCloseable {
    /** A run and how it ended; times are those of the target's clock. */
    inner class Run(
        val task: String,
        val attempt: Long,
        val fencingToken: Long,
        val startMillis: Long,
    ) {
        val targetId: String get() = id

        /** Time of the end, null before it. */
        @Volatile
        var endMillis: Long? = null
            internal set

        @Volatile
        var ending: String? = null
            internal set
    }

    private class EndedRun(
        val sequence: Long,
        val task: String,
        val attempt: Long,
        val reason: String,
    )

    private class Poll(
        val exchange: HttpExchange,
        val acknowledgedEnd: Long,
    )

    private val executor = transport.executor()
    private val server = transport.serverFactory().start(address, ::handle)
    private val runs = LinkedHashMap<String, Run>()
    private val endedRuns = ArrayList<EndedRun>()
    private val endedAttempts = HashMap<String, Long>()
    private val polls = ArrayList<Poll>()
    private val incarnationStartMillis = System.currentTimeMillis()
    private var fencingToken = 0L
    private var leaseUntilMillis = 0L
    private var nextEndSequence = 1L

    val address: String get() = server.address

    /** Names of the started tasks in order; complete only on the event loop or once no request is in progress. */
    val starts = java.util.concurrent.CopyOnWriteArrayList<String>()

    /** All runs since the start of the target, in order. */
    val allRuns = java.util.concurrent.ConcurrentLinkedQueue<Run>()

    private fun clockMillis() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    /** The target's registration in the store; [listedAddress] differs from [address] in an outdated one. */
    fun registration(
        failureDomain: String,
        service: String,
        state: String = "ready",
        listedAddress: String = address,
    ): String =
        """{"service":"$service","address":"$listedAddress","zone":"$failureDomain","version":"v1","slots":8,""" +
            """"state":"$state","coldMs":0,"capacity":{"cpu":${slots * CPU_PER_SLOT},"memMb":65536,"gpu":0},"labels":["a"],"seqNo":1}"""

    private fun handle(exchange: HttpExchange) {
        val expected = exchange.request.header("x-expect-instance")
        if (expected != null && expected != id) {
            exchange.respond(HttpResponseMessage(MISDIRECTED))
            return
        }
        val body = exchange.body()
        if (body.number("fencingToken") < fencingToken) {
            exchange.conflict("fence")
            return
        }
        fencingToken = body.number("fencingToken")
        when (exchange.request.path) {
            "/v1/run-start" -> start(exchange, body)
            "/v1/run-stop" -> stop(exchange, body)
            "/v1/hold" -> poll(exchange, body)
            else -> exchange.respond(HttpResponseMessage(NOT_FOUND))
        }
    }

    private fun start(
        exchange: HttpExchange,
        body: JsonObject,
    ) {
        val task = body.text("task")
        val attempt = body.number("attempt")
        val untilMillis = body.number("deadlineMs")
        when {
            untilMillis < clockMillis() -> exchange.conflict("late")
            runs[task]?.attempt == attempt -> exchange.clock()
            attempt <= (endedAttempts[task] ?: 0) -> exchange.conflict("old")
            runs.size >= slots -> exchange.conflict("room")
            else -> begin(exchange, Run(task, attempt, fencingToken, clockMillis()), untilMillis)
        }
    }

    private fun begin(
        exchange: HttpExchange,
        run: Run,
        untilMillis: Long,
    ) {
        runs[run.task] = run
        starts.add(run.task)
        allRuns.add(run)
        extendLease(untilMillis)
        val complete = { if (runs[run.task] === run) end(run, "done") }
        executor.schedule(complete, runMillisOf(run.task), TimeUnit.MILLISECONDS)
        exchange.clock()
    }

    private fun extendLease(untilMillis: Long) {
        leaseUntilMillis = maxOf(leaseUntilMillis, minOf(untilMillis, clockMillis() + MAX_LEASE_MILLIS))
        executor.schedule(::expireLease, leaseUntilMillis - clockMillis() + 1, TimeUnit.MILLISECONDS)
    }

    private fun expireLease() {
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
        reason: String,
    ) {
        runs.remove(run.task)
        run.endMillis = clockMillis()
        run.ending = reason
        endedAttempts.merge(run.task, run.attempt, ::maxOf)
        endedRuns.add(EndedRun(nextEndSequence++, run.task, run.attempt, reason))
        polls.toList().forEach(::answer)
        polls.clear()
    }

    private fun poll(
        exchange: HttpExchange,
        body: JsonObject,
    ) {
        body["deadlineMs"]?.jsonPrimitive?.long?.let(::extendLease)
        val poll = Poll(exchange, body.number("lastSeen"))
        endedRuns.removeAll { it.sequence <= poll.acknowledgedEnd }
        val waitMillis = body["waitMs"]?.jsonPrimitive?.long ?: 0
        if (endedRuns.isNotEmpty() || waitMillis == 0L) {
            answer(poll)
        } else {
            polls.add(poll)
            executor.schedule({ if (polls.remove(poll)) answer(poll) }, waitMillis, TimeUnit.MILLISECONDS)
        }
    }

    private fun answer(poll: Poll) =
        poll.exchange.json(OK) {
            put("clockMs", clockMillis())
            put("born", incarnationStartMillis)
            put("running", JsonArray(runs.values.map { row(it.task, it.attempt, "", 0) }))
            val listed = endedRuns.take(MAX_LISTED_ENDS)
            put("finished", JsonArray(listed.map { row(it.sequence, it.task, it.attempt, it.reason, "") }))
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
        /** CPU demand of a task that fills a slot, in thousandths of a core. */
        const val CPU_PER_SLOT = 1_000
        private const val MAX_LEASE_MILLIS = 1_000L

        /** Number of ended runs that are listed at a time. */
        private const val MAX_LISTED_ENDS = 500
        private const val OK = 200
        private const val NOT_FOUND = 404
        private const val CONFLICT = 409
        private const val MISDIRECTED = 421
    }
}
