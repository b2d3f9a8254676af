package io.jackdawring.cli.process

import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.http.HttpTransport
import io.jackdawring.standins.platform.StandInPlatformStore
import io.jackdawring.standins.platform.StandInPlatformTarget
import io.jackdawring.standins.platform.StandInSite
import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Test
import java.io.File
import java.net.ServerSocket
import java.time.Instant
import java.time.ZoneOffset
import java.time.format.DateTimeFormatter
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.assertEquals

/**
 * Looks for tasks with two runs at the same time after the store has turned away the instances of a failure domain.
 *
 * Started by hand, as its name keeps it out of the build's tests:
 * `mvn -o -q -B test -pl cli -am -Dtest=StoreOutageProbe -Dsurefire.failIfNoSpecifiedTests=false`
 *
 * Properties start with `jackdawring.probe.`: `seeds` (number of them, 1), `firstSeed` (1), `parallel` (seeds at a
 * time, 1), `lengths` (of the outages in seconds, separated by commas; `e3.1` ends one 3.1 s after the domain's last member
 * entry has expired, and instances of other domains claim its shard 3 s after that), `restoreMillis` (2000; the entries of targets
 * are back within this time), `addresses` (true: a target's entry names another address for a while after an outage),
 * `dir` (of the report and the logs, `target/process-tests/probe`).
 */
class StoreOutageProbe {
    @Test
    fun `no task has two runs at the same time`() {
        val firstSeed = number("firstSeed", 1)
        val seeds = ArrayDeque((firstSeed until firstSeed + number("seeds", 1)).toList())
        val cases = AtomicInteger()
        val failures = CopyOnWriteArrayList<Throwable>()
        val workers =
            List(number("parallel", 1)) {
                thread {
                    while (true) {
                        val seed = synchronized(seeds) { seeds.removeFirstOrNull() } ?: break
                        runCatching { StoreOutageRun(seed).use { cases.addAndGet(it.play()) } }.onFailure(failures::add)
                    }
                }
            }
        workers.forEach(Thread::join)
        failures.firstOrNull()?.let { throw it }
        assertEquals(0, cases.get(), "tasks with two runs at the same time")
    }
}

private fun setting(
    name: String,
    default: String,
): String = System.getProperty("jackdawring.probe.$name") ?: default

private fun number(
    name: String,
    default: Int,
): Int = setting(name, "$default").toInt()

/** One seed: two failure domains, and one outage after the other, each of one domain. */
private class StoreOutageRun(
    private val seed: Int,
) : AutoCloseable {
    private class Instance(
        settings: File,
        val domain: String,
        val addresses: StandInSite.Addresses,
        val door: StandInPlatformStore.Door,
        val process: ProgramProcess,
    ) {
        val name: String = settings.nameWithoutExtension
    }

    private class Outage(
        val domain: String,
        val kind: String,
        val lengthMillis: Long,
        val startMillis: Long,
    )

    private val random = Random(seed)
    private val folder = File(setting("dir", "target/process-tests/probe"), "seed-$seed").apply { mkdirs() }
    private val report = File(folder, "report.txt").apply { writeText("") }
    private val site = StandInSite(targetCount = 0)
    private val transport = HttpTransport(threads = 1, name = "probe")
    private val client = transport.client()
    private val targets =
        DOMAINS.associateWith { domain ->
            List(TARGETS) { StandInPlatformTarget("i-$domain-$it", transport, runMillisOf = ::runMillis) }
        }
    private val instances =
        DOMAINS.flatMap { domain ->
            List(random.nextInt(2, 4)) { start("front-$domain-$it", domain) }
        }
    private val outcomes = HashMap<String, Int>()

    @Volatile
    private var stopping = false

    /** Times of day minus times of the targets' clocks. */
    private val clockOffsetMillis = System.currentTimeMillis() - clockMillis()

    private fun clockMillis() = System.nanoTime() / 1_000_000

    private fun timeOfDay(millis: Long): String =
        TIME_OF_DAY.format(Instant.ofEpochMilli(millis + clockOffsetMillis).atOffset(ZoneOffset.UTC))

    private fun write(line: String) {
        println("seed $seed: $line")
        report.appendText("$line\n")
    }

    private fun start(
        name: String,
        domain: String,
    ): Instance {
        val addresses = site.newAddresses()
        val door = site.store.Door(freeAddress())
        val settings = File(folder, "$name.toml")
        settings.writeText(site.settings(name, addresses, domain, door.address))
        val variables = mapOf("JACKDAWRING_NODE_FILE" to settings.path)
        val process = ProgramProcess("probe-$seed-$name", listOf("instance"), variables)
        return Instance(settings, domain, addresses, door, process)
    }

    /** An address whose port is not among those that clients get, so that it stays free while it is closed. */
    private fun freeAddress(): String {
        while (true) {
            val port = DOOR_PORTS.random()
            if (runCatching { ServerSocket(port).close() }.isSuccess) return "127.0.0.1:$port"
        }
    }

    private fun list(
        domain: String,
        target: StandInPlatformTarget,
        address: String = target.address,
    ) = site.store.put("servers/${target.id}", target.registration(domain, "s", listedAddress = address))

    /** Plays all outages; returns the number of tasks with two runs at the same time. */
    fun play(): Int {
        targets.forEach { (domain, list) -> list.forEach { list(domain, it) } }
        site.store.put("op/config", CONFIGURATION)
        instances.forEach { site.awaitReady(it.addresses) }
        val callers = List(CALLERS) { thread(isDaemon = true) { call(it) } }
        Thread.sleep(SETTLE_MILLIS)
        val outages = setting("lengths", "10.0,11.0,12.0,12.8,13.2,13.6").split(',').map(::outage)
        stopping = true
        callers.forEach(Thread::join)
        Thread.sleep(SETTLE_MILLIS)
        val cases = findDoubleRuns()
        outages.forEachIndexed { i, outage -> describe(outage, outages.getOrNull(i + 1), cases) }
        instances.forEach { File(folder, "${it.name}.log").writeText(it.process.output) }
        synchronized(outcomes) { write("answers: ${outcomes.toSortedMap()}") }
        write(
            "runs: ${targets.values.flatten().sumOf { it.allRuns.size }}, tasks with two runs at a time: ${cases.size}",
        )
        return cases.size
    }

    private fun outage(length: String): Outage {
        val domain = DOMAINS.random(random)
        val kind = listOf("refuse", "busy").random(random)
        val cutOff = instances.filter { it.domain == domain }
        val startMillis = clockMillis()
        val beginning = ArrayList<Pair<Long, () -> Unit>>()
        val ending = ArrayList<Pair<Long, () -> Unit>>()
        for (instance in cutOff) {
            val turnAway = { if (kind == "refuse") instance.door.refuse() else instance.door.reopen(BUSY) }
            beginning += random.nextLong(CUT_SPREAD_MILLIS) to turnAway
            ending += random.nextLong(RETURN_SPREAD_MILLIS) to { instance.door.reopen() }
        }
        for (target in targets.getValue(domain)) {
            val removed = random.nextLong(ENTRY_LIFE_MILLIS, ENTRY_LIFE_MILLIS + ENTRY_SPREAD_MILLIS)
            beginning += removed to { site.store.remove("servers/${target.id}") }
            ending += random.nextLong(number("restoreMillis", RESTORE_MILLIS).toLong()) to { list(domain, target) }
        }
        if (setting("addresses", "false").toBoolean()) ending += outdatedEntry(domain)
        take(beginning, startMillis)
        val endMillis =
            if (length.startsWith("e")) {
                awaitTrue("no member entries of $domain") {
                    cutOff.all { site.store.read("jackdawring/members/${it.name}") == null }
                }
                clockMillis() + (length.drop(1).toDouble() * 1_000).toLong()
            } else {
                startMillis + (length.toDouble() * 1_000).toLong()
            }
        take(ending, endMillis)
        Thread.sleep(SETTLE_MILLIS)
        return Outage(domain, kind, endMillis - startMillis, startMillis)
    }

    /** Takes [steps], each its delay after [fromMillis]. */
    private fun take(
        steps: List<Pair<Long, () -> Unit>>,
        fromMillis: Long,
    ) = steps.sortedBy { it.first }.forEach { (delay, step) ->
        Thread.sleep(maxOf(0, fromMillis + delay - clockMillis()))
        step()
    }

    /** Steps after which the entry of one target names the address of another one for a while. */
    private fun outdatedEntry(domain: String): List<Pair<Long, () -> Unit>> {
        val (target, other) = targets.getValue(domain).shuffled(random)
        val from = number("restoreMillis", RESTORE_MILLIS) + random.nextLong(ENTRY_SPREAD_MILLIS)
        val until = from + random.nextLong(ENTRY_SPREAD_MILLIS)
        return listOf(from to { list(domain, target, other.address) }, until to { list(domain, target) })
    }

    /** A caller that waits for one job after the other. */
    private fun call(number: Int) {
        val choices = Random(seed * CALLERS + number)
        var sequence = 0
        while (!stopping) {
            val id = "%04x%04x%08x".format(seed, number, ++sequence)
            for (attempt in 0 until MAX_SENDS) {
                // Some connections break while their job runs.
                val breaks = choices.nextInt(BREAK_ONE_IN) == 0
                val timeoutMillis =
                    if (breaks) {
                        choices.nextLong(
                            MIN_BREAK_MILLIS,
                            MAX_BREAK_MILLIS,
                        )
                    } else {
                        DEADLINE_MILLIS
                    }
                val status = send(instances.random(choices), id, timeoutMillis)
                val kind = if (attempt == 0) "first" else "again"
                synchronized(outcomes) { outcomes.merge("$kind $status", 1, Int::plus) }
                if (status !in SENT_AGAIN) break
                Thread.sleep(RESEND_MILLIS)
            }
            // A refused caller does not come back at once.
            Thread.sleep(choices.nextLong(MAX_PAUSE_MILLIS))
        }
    }

    /** Submits the job [id] and returns the status of the response, 0 for none. */
    private fun send(
        instance: Instance,
        id: String,
        timeoutMillis: Long,
    ): Int {
        val headers = persistentMapOf("host" to "h.example", "x-deadline-ms" to "$DEADLINE_MILLIS")
        val request = HttpRequestMessage("POST", "/p/$id", headers = headers, body = JOB.encodeToByteArray())
        val status = CompletableFuture<Int>()
        client.send(instance.addresses.callers, request, timeoutMillis) { result ->
            status.complete((result as? HttpResult.Answered)?.response?.status ?: 0)
        }
        return status.get()
    }

    private fun runMillis(task: String): Long = Random(task.hashCode() + seed).nextLong(MIN_RUN_MILLIS, MAX_RUN_MILLIS)

    /** Pairs of runs of the same task at the same time, one pair a task, by the records of the targets. */
    private fun findDoubleRuns(): List<Pair<StandInPlatformTarget.Run, StandInPlatformTarget.Run>> =
        targets.values
            .flatten()
            .flatMap { it.allRuns }
            .groupBy { it.task }
            .values
            .mapNotNull { runs ->
                runs.sortedBy { it.startMillis }.zipWithNext().firstOrNull { (first, second) ->
                    second.startMillis < (first.endMillis ?: Long.MAX_VALUE)
                }
            }.sortedBy { it.second.startMillis }

    private fun describe(
        outage: Outage,
        next: Outage?,
        cases: List<Pair<StandInPlatformTarget.Run, StandInPlatformTarget.Run>>,
    ) {
        val times = outage.startMillis..<(next?.startMillis ?: Long.MAX_VALUE)
        val found = cases.filter { it.second.startMillis in times }
        val end = timeOfDay(outage.startMillis + outage.lengthMillis)
        val start = timeOfDay(outage.startMillis)
        val text = "${outage.domain} ${outage.kind} for ${outage.lengthMillis} ms, $start to $end"
        write("$text: ${found.size} tasks with two runs at a time")
        found.forEach { (first, second) -> write("  ${first.task}: ${describe(first)}; ${describe(second)}") }
    }

    private fun describe(run: StandInPlatformTarget.Run): String {
        val end = run.endMillis?.let { "${timeOfDay(it)} ${run.ending}" } ?: "no end"
        val start = timeOfDay(run.startMillis)
        return "attempt ${run.attempt} on ${run.targetId} with token ${run.fencingToken}, $start to $end"
    }

    override fun close() {
        stopping = true
        instances.forEach { it.process.close() }
        transport.close()
        site.close()
    }

    private companion object {
        val DOMAINS = listOf("derby", "malvern")
        val BUSY = StandInPlatformStore.Mode.BUSY
        val TIME_OF_DAY: DateTimeFormatter = DateTimeFormatter.ofPattern("HH:mm:ss.SSS")
        const val CONFIGURATION =
            """{"version":1,"routes":[{"name":"q","host":"h.example","prefix":"/p/","service":"s",""" +
                """"timeoutMs":5000,"sloLatencyMs":2000,"priority":0,"maxAttempts":4,"stretch":1.6}]}"""
        const val JOB =
            """{"spec":"t","steps":[{"count":2,"cpu":1000,"memMb":64,"estimateMs":550}],"bestEffort":true}"""
        val DOOR_PORTS = 20_000..30_000
        const val TARGETS = 6
        const val CALLERS = 20
        const val MIN_RUN_MILLIS = 200L
        const val MAX_RUN_MILLIS = 900L
        const val DEADLINE_MILLIS = 5_000L
        const val RESEND_MILLIS = 1_300L
        const val MAX_SENDS = 3
        const val MAX_PAUSE_MILLIS = 100L
        const val BREAK_ONE_IN = 10
        const val MIN_BREAK_MILLIS = 100L
        const val MAX_BREAK_MILLIS = 800L
        val SENT_AGAIN = setOf(0, 502, 504)

        /** An outage does not begin or end for all instances at the same time. */
        const val CUT_SPREAD_MILLIS = 300L
        const val RETURN_SPREAD_MILLIS = 250L

        /** Three heartbeats of a target. */
        const val ENTRY_LIFE_MILLIS = 4_500L
        const val ENTRY_SPREAD_MILLIS = 1_500L
        const val RESTORE_MILLIS = 2_000
        const val SETTLE_MILLIS = 6_000L
    }
}
