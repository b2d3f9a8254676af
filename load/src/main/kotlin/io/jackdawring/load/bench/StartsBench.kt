package io.jackdawring.load.bench

import io.jackdawring.server.http.HttpClient
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.http.HttpTransport
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.LockSupport

/** Task starts per CPU second and latency of one entry instance with [InstantTargets], compared with a [Relay]. */
internal class StartsBench(
    private val options: BenchOptions,
    private val table: BenchTable,
) {
    fun run() {
        HttpTransport(2, "standins").use { transport ->
            HttpTransport(2, "relay").use { relayTransport ->
                HttpTransport(2, "load").use { loadTransport ->
                    InstantTargets(transport, TARGETS).use { targets ->
                        BenchFleet(transport, ScriptedStore(1)).use { fleet ->
                            fleet.registerTargets(targets.listed)
                            val entry = fleet.startEntry(0)
                            fleet.awaitReady(listOf(entry), TARGETS)
                            Relay(relayTransport, targets.addresses).use { relay ->
                                loadTransport.client().use { client ->
                                    // One session per measurement, because submissions per session are limited.
                                    val session = { openSession(client, entry.callerAddress) }
                                    measureAll(
                                        BenchServer(client, entry.callerAddress, session, ENTRY_THREADS),
                                        BenchServer(client, relay.address, session, arrayOf("relay")),
                                    )
                                }
                            }
                        }
                    }
                }
            }
        }
    }

    private fun measureAll(
        entry: BenchServer,
        relay: BenchServer,
    ) {
        // Warms up both paths, so that neither is measured while it is being compiled.
        listOf(relay, entry).forEach { it.closedLoop(16, 20, options.caseMillis) }
        for ((connections, tasks) in cases()) {
            val relayResult = relay.closedLoop(connections, tasks, options.caseMillis)
            val entryResult = entry.closedLoop(connections, tasks, options.caseMillis)
            check(entryResult.errors + relayResult.errors == 0L) {
                "not complete: ${entryResult.errors} jobs of the entry instance, ${relayResult.errors} of the relay"
            }
            table.add(
                "connections" to connections,
                "tasks" to tasks,
                "starts/CPU-s" to entryResult.startsPerCpuSecond.toLong(),
                "relay starts/CPU-s" to relayResult.startsPerCpuSecond.toLong(),
                "ratio" to entryResult.startsPerCpuSecond / relayResult.startsPerCpuSecond,
                "starts/s" to entryResult.startsPerSecond.toLong(),
            )
        }
        val fullLoad = entry.closedLoop(if (options.small) 2 else 32, 1, options.caseMillis)
        val jobsPerSecond = maxOf(1.0, fullLoad.startsPerSecond / 2)
        val relayLatency = relay.openLoop(jobsPerSecond, 2 * options.caseMillis)
        val entryLatency = entry.openLoop(jobsPerSecond, 2 * options.caseMillis)
        table.add(
            "jobs/s (half load)" to jobsPerSecond.toLong(),
            "median us" to entryLatency.getValueAtPercentile(50.0),
            "relay median us" to relayLatency.getValueAtPercentile(50.0),
            "added median us" to entryLatency.getValueAtPercentile(50.0) - relayLatency.getValueAtPercentile(50.0),
            "p99 us" to entryLatency.getValueAtPercentile(99.0),
            "relay p99 us" to relayLatency.getValueAtPercentile(99.0),
        )
    }

    private fun cases(): List<Pair<Int, Int>> =
        if (options.small) listOf(2 to 2) else listOf(8 to 1, 32 to 1, 128 to 1, 8 to 20, 32 to 20, 2 to 1_200)

    private fun openSession(
        client: HttpClient,
        address: String,
    ): String {
        val request =
            HttpRequestMessage(
                "POST",
                "/v1/sessions",
                headers = JSON,
                body = """{"caller":"bench"}""".encodeToByteArray(),
            )
        val answer = CompletableFuture<HttpResult>()
        client.send(address, request, LIMIT_MILLIS, answer::complete)
        val result = answer.get(2 * LIMIT_MILLIS, TimeUnit.MILLISECONDS)
        check(result is HttpResult.Answered && result.response.status == 201) { "no session was granted: $result" }
        val text = result.response.body.decodeToString()
        return Json
            .parseToJsonElement(text)
            .jsonObject
            .getValue("session")
            .jsonPrimitive.content
    }

    private companion object {
        const val TARGETS = 30
        const val LIMIT_MILLIS = 5_000L
        val JSON = persistentMapOf("content-type" to "application/json")
    }
}

private class StartsResult(
    val startsPerCpuSecond: Double,
    val startsPerSecond: Double,
    val errors: Long,
)

/** A server under test, with the name prefixes of its threads. */
private class BenchServer(
    private val client: HttpClient,
    private val address: String,
    private val openSession: () -> String,
    private val threads: Array<String>,
) {
    /** Keeps one job in progress on each of [connections] connections. */
    fun closedLoop(
        connections: Int,
        tasks: Int,
        millis: Long,
    ): StartsResult {
        val body = body(tasks)
        val session = openSession()
        val endNanos = System.nanoTime() + millis * 1_000_000
        val jobs = AtomicLong()
        val errors = AtomicLong()
        val open = AtomicLong(connections.toLong())
        val done = CompletableFuture<Unit>()

        fun next() {
            if (System.nanoTime() >= endNanos) {
                if (open.decrementAndGet() == 0L) done.complete(Unit)
                return
            }
            submit(session, body) { complete ->
                if (complete) jobs.incrementAndGet() else errors.incrementAndGet()
                next()
            }
        }
        val before = cpuNanosOf(*threads)
        val startNanos = System.nanoTime()
        repeat(connections) { next() }
        done.get(millis + LIMIT_MILLIS, TimeUnit.MILLISECONDS)
        val seconds = (System.nanoTime() - startNanos) / 1e9
        val cpuSeconds = cpuNanosBetween(before, cpuNanosOf(*threads)) / 1e9
        val starts = jobs.get() * tasks.toDouble()
        return StartsResult(starts / cpuSeconds, starts / seconds, errors.get())
    }

    /** Latencies in microseconds, from the intended time of sending, of jobs of one task at [jobsPerSecond]. */
    fun openLoop(
        jobsPerSecond: Double,
        millis: Long,
    ): ConcurrentHistogram {
        val body = body(1)
        val session = openSession()
        val histogram = ConcurrentHistogram(3)
        val errors = AtomicLong()
        val count = (jobsPerSecond * millis / 1_000).toInt()
        val open = AtomicLong(count.toLong())
        val done = CompletableFuture<Unit>()
        val startNanos = System.nanoTime()
        repeat(count) { index ->
            val intendedNanos = startNanos + (index / jobsPerSecond * 1e9).toLong()
            while (true) {
                val waitNanos = intendedNanos - System.nanoTime()
                if (waitNanos <= 0) break
                LockSupport.parkNanos(waitNanos)
            }
            submit(session, body) { complete ->
                if (!complete) errors.incrementAndGet()
                histogram.recordValue(maxOf(0, (System.nanoTime() - intendedNanos) / 1_000))
                if (open.decrementAndGet() == 0L) done.complete(Unit)
            }
        }
        if (count > 0) done.get(LIMIT_MILLIS, TimeUnit.MILLISECONDS)
        check(errors.get() == 0L) { "${errors.get()} of $count jobs were not complete" }
        return histogram
    }

    private fun submit(
        session: String,
        body: ByteArray,
        onDone: (Boolean) -> Unit,
    ) {
        val headers: ImmutableMap<String, String> =
            persistentMapOf(
                "content-type" to "application/json",
                "jackdaw-session" to session,
                "idempotency-key" to "b${ids.incrementAndGet()}",
            )
        client.send(address, HttpRequestMessage("POST", "/v1/jobs", headers = headers, body = body), LIMIT_MILLIS) {
            onDone(it is HttpResult.Answered && it.response.status == 200)
        }
    }

    private fun body(tasks: Int): ByteArray {
        val task = """{"payload":{"dish":17,"detail":"0123456789012345678901234567890123456789"},"expectedMillis":1}"""
        return (
            """{"service":"${ScriptedStore.service(
                0,
            )}","kind":"${ScriptedStore.KIND}","deadlineMillis":10000,"tasks":[""" +
                List(tasks) { task }.joinToString(",") + "]}"
        ).encodeToByteArray()
    }

    private companion object {
        const val LIMIT_MILLIS = 15_000L
        val ids = AtomicLong()
    }
}
