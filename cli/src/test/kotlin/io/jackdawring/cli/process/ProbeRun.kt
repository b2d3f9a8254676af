package io.jackdawring.cli.process

import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.server.http.HttpTransport
import io.jackdawring.standins.platform.StandInPlatformTarget
import io.jackdawring.standins.platform.StandInSite
import kotlinx.collections.immutable.persistentMapOf
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

/** Plays the seeds that the properties name; fails if [start] plays one that has tasks with two runs at a time. */
internal fun playSeeds(start: (seed: Int) -> ProbeRun) {
    val firstSeed = probeNumber("firstSeed", 1)
    val seeds = ArrayDeque((firstSeed until firstSeed + probeNumber("seeds", 1)).toList())
    val cases = AtomicInteger()
    val failures = CopyOnWriteArrayList<Throwable>()
    val workers =
        List(probeNumber("parallel", 1)) {
            thread {
                while (true) {
                    val seed = synchronized(seeds) { seeds.removeFirstOrNull() } ?: break
                    runCatching { start(seed).use { cases.addAndGet(it.play()) } }.onFailure(failures::add)
                }
            }
        }
    workers.forEach(Thread::join)
    failures.firstOrNull()?.let { throw it }
    assertEquals(0, cases.get(), "tasks with two runs at the same time")
}

internal fun probeSetting(
    name: String,
    default: String,
): String = System.getProperty("jackdawring.probe.$name") ?: default

internal fun probeNumber(
    name: String,
    default: Int,
): Int = probeSetting(name, "$default").toInt()

/** One seed of a probe: two failure domains of real instances with callers, and one outage after the other. */
internal abstract class ProbeRun(
    protected val seed: Int,
    targetCount: Int,
    private val callerCount: Int,
    private val defaultLengths: String,
) : AutoCloseable {
    protected class Instance(
        settings: File,
        val domain: String,
        val addresses: StandInSite.Addresses,
        private val start: () -> ProgramProcess,
    ) {
        val name: String = settings.nameWithoutExtension
        private val processes = CopyOnWriteArrayList(listOf(start()))
        val process: ProgramProcess get() = processes.last()

        /** Output of all its processes. */
        val output: String get() = processes.joinToString("\n") { it.output }

        /** Starts a new process after the last one has ended. */
        fun restart() {
            processes += start()
        }
    }

    protected class Outage(
        val domain: String,
        val kind: String,
        val lengthMillis: Long,
        val startMillis: Long,
    )

    protected val random = Random(seed)
    private val folder = File(probeSetting("dir", "target/process-tests/probe"), "seed-$seed").apply { mkdirs() }
    private val report = File(folder, "report.txt").apply { writeText("") }
    protected val site = StandInSite(targetCount = 0)
    private val transport = HttpTransport(threads = 1, name = "probe")
    private val client = transport.client()
    protected val targets =
        DOMAINS.associateWith { domain ->
            List(targetCount) { StandInPlatformTarget("i-$domain-$it", transport, runMillisOf = ::runMillis) }
        }
    protected abstract val instances: List<Instance>
    private val outcomes = HashMap<String, Int>()
    private val waitMillis = probeNumber("waitMillis", DEADLINE_MILLIS).toLong()
    private val goesElsewhere = probeSetting("elsewhere", "false").toBoolean()
    private val longestRunMillis = probeNumber("longestRunMillis", MAX_RUN_MILLIS.toInt()).toLong()

    @Volatile
    private var stopping = false

    /** Times of day minus times of the targets' clocks. */
    private val clockOffsetMillis = System.currentTimeMillis() - clockMillis()

    protected fun clockMillis() = System.nanoTime() / 1_000_000

    /** Plays an outage of [length], and waits until the fleet has settled. */
    protected abstract fun outage(length: String): Outage

    /** Whether the caller [number] reaches [instance] when it sends a job for the [attempt]-th time, from 0. */
    protected open fun reaches(
        number: Int,
        attempt: Int,
        instance: Instance,
    ): Boolean = true

    /** Address at which the caller [number] reaches [instance]. */
    protected open fun addressOf(
        instance: Instance,
        number: Int,
    ): String = instance.addresses.callers

    private fun timeOfDay(millis: Long): String =
        TIME_OF_DAY.format(Instant.ofEpochMilli(millis + clockOffsetMillis).atOffset(ZoneOffset.UTC))

    private fun write(line: String) {
        println("seed $seed: $line")
        report.appendText("$line\n")
    }

    protected fun start(
        name: String,
        domain: String,
        storeAddress: String,
        addresses: StandInSite.Addresses = site.newAddresses(),
    ): Instance {
        val settings = File(folder, "$name.toml")
        settings.writeText(site.settings(name, addresses, domain, storeAddress))
        val variables = mapOf("JACKDAWRING_NODE_FILE" to settings.path)
        return Instance(settings, domain, addresses) {
            ProgramProcess("probe-$seed-$name", listOf("instance"), variables)
        }
    }

    /** An address whose port is not among those that clients get, so that it stays free while it is closed. */
    protected fun freeAddress(): String {
        while (true) {
            val port = OTHER_PORTS.random()
            if (runCatching { ServerSocket(port).close() }.isSuccess) return "127.0.0.1:$port"
        }
    }

    protected fun list(
        domain: String,
        target: StandInPlatformTarget,
        address: String = target.address,
    ) = site.store.put("servers/${target.id}", target.registration(domain, "s", listedAddress = address))

    /** Adds the steps that remove the entries of the targets of [domain] in an outage, and restore them after it. */
    protected fun loseEntries(
        domain: String,
        beginning: MutableList<Pair<Long, () -> Unit>>,
        ending: MutableList<Pair<Long, () -> Unit>>,
    ) {
        for (target in targets.getValue(domain)) {
            val removed = random.nextLong(ENTRY_LIFE_MILLIS, ENTRY_LIFE_MILLIS + ENTRY_SPREAD_MILLIS)
            beginning += removed to { site.store.remove("servers/${target.id}") }
            ending += random.nextLong(probeNumber("restoreMillis", RESTORE_MILLIS).toLong()) to { list(domain, target) }
        }
    }

    /** Plays all outages; returns the number of tasks with two runs at the same time. */
    fun play(): Int {
        targets.forEach { (domain, list) -> list.forEach { list(domain, it) } }
        site.store.put("op/config", CONFIGURATION)
        instances.forEach { site.awaitReady(it.addresses) }
        val callers = List(callerCount) { thread(isDaemon = true) { call(it) } }
        Thread.sleep(SETTLE_MILLIS)
        val outages = probeSetting("lengths", defaultLengths).split(',').map(::outage)
        stopping = true
        callers.forEach(Thread::join)
        Thread.sleep(SETTLE_MILLIS)
        val cases = findDoubleRuns()
        outages.forEachIndexed { i, outage -> describe(outage, outages.getOrNull(i + 1), cases) }
        cases.take(SHOWN_CASES).forEach { (first, second) -> showLog(first, second) }
        synchronized(outcomes) { write("answers: ${outcomes.toSortedMap()}") }
        write(
            "runs: ${targets.values.flatten().sumOf { it.allRuns.size }}, tasks with two runs at a time: ${cases.size}",
        )
        return cases.size
    }

    /** Takes [steps], each its delay after [fromMillis]. */
    protected fun take(
        steps: List<Pair<Long, () -> Unit>>,
        fromMillis: Long,
    ) = steps.sortedBy { it.first }.forEach { (delay, step) ->
        Thread.sleep(maxOf(0, fromMillis + delay - clockMillis()))
        step()
    }

    /** A caller that waits for one job after the other. */
    private fun call(number: Int) {
        val choices = Random(seed * callerCount + number)
        var sequence = 0
        while (!stopping) {
            val id = "%04x%04x%08x".format(seed, number, ++sequence)
            var last: Instance? = null
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
                        waitMillis
                    }
                val reached = instances.filter { reaches(number, attempt, it) }
                val others = reached.filter { !goesElsewhere || it !== last }
                val instance = others.ifEmpty { reached }.random(choices)
                last = instance
                val answered = send(addressOf(instance, number), id, timeoutMillis)
                val status = if (reaches(number, attempt, instance)) answered else 0
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
        address: String,
        id: String,
        timeoutMillis: Long,
    ): Int {
        val headers = persistentMapOf("host" to "h.example", "x-deadline-ms" to "$waitMillis")
        val request = HttpRequestMessage("POST", "/p/$id", headers = headers, body = JOB.encodeToByteArray())
        val status = CompletableFuture<Int>()
        client.send(address, request, timeoutMillis) { result ->
            status.complete((result as? HttpResult.Answered)?.response?.status ?: 0)
        }
        return status.get()
    }

    private fun runMillis(task: String): Long {
        val choices = Random(task.hashCode() + seed)
        val isLong = longestRunMillis > MAX_RUN_MILLIS && choices.nextInt(LONG_ONE_IN) == 0
        return choices.nextLong(MIN_RUN_MILLIS, if (isLong) longestRunMillis else MAX_RUN_MILLIS)
    }

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
        for ((first, second) in found) {
            val overlapMillis = first.endMillis?.let { minOf(it, second.endMillis ?: it) - second.startMillis }
            write("  ${first.task}: ${overlapMillis ?: "?"} ms; ${describe(first)}; ${describe(second)}")
        }
    }

    private fun describe(run: StandInPlatformTarget.Run): String {
        val end = run.endMillis?.let { "${timeOfDay(it)} ${run.ending}" } ?: "no end"
        val start = timeOfDay(run.startMillis)
        val holder = holders()[run.fencingToken] ?: "unknown"
        return "attempt ${run.attempt} by $holder on ${run.targetId} with token ${run.fencingToken}, $start to $end"
    }

    /** Instances by the fencing tokens under which they held a shard, according to the logs. */
    private fun holders(): Map<Long, String> =
        instances
            .flatMap { HOLDER.findAll(it.output) }
            .associate { it.groupValues[2].toLong() to it.groupValues[1] }

    /** Writes what the instances have logged of the job and of the shards around two runs of the same task. */
    private fun showLog(
        first: StandInPlatformTarget.Run,
        second: StandInPlatformTarget.Run,
    ) {
        val job = first.task.substringBefore('.')
        val from = timeOfDay(second.startMillis - LOG_BEFORE_MILLIS)
        val until = timeOfDay(second.startMillis + LOG_AFTER_MILLIS)
        val lines =
            instances.flatMap { instance ->
                LOG_LINE.findAll(instance.output).mapNotNull {
                    val (time, message, fields) = it.destructured
                    val isNear = time > from && time < until && SHARD_LINE.containsMatchIn(message)
                    if (isNear || job in fields) "$time ${instance.name} $message $fields" else null
                }
            }
        write("log around ${first.task}:")
        lines.sorted().forEach { write("  $it") }
    }

    override fun close() {
        stopping = true
        instances.forEach { it.process.close() }
        instances.forEach { File(folder, "${it.name}.log").writeText(it.output) }
        transport.close()
        site.close()
    }

    protected companion object {
        val DOMAINS = listOf("derby", "malvern")
        val OTHER_PORTS = 20_000..30_000
        val TIME_OF_DAY: DateTimeFormatter = DateTimeFormatter.ofPattern("HH:mm:ss.SSS")
        const val CONFIGURATION =
            """{"version":1,"routes":[{"name":"q","host":"h.example","prefix":"/p/","service":"s",""" +
                """"timeoutMs":5000,"sloLatencyMs":2000,"priority":0,"maxAttempts":4,"stretch":1.6}]}"""
        const val JOB =
            """{"spec":"t","steps":[{"count":2,"cpu":1000,"memMb":64,"estimateMs":550}],"bestEffort":true}"""
        const val MIN_RUN_MILLIS = 200L
        const val MAX_RUN_MILLIS = 900L
        const val LONG_ONE_IN = 3
        const val DEADLINE_MILLIS = 5_000
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
        val HOLDER = Regex("is held by (\\S+), fencing token (\\d+)")
        val LOG_LINE = Regex(""""@timestamp":"[^T]*T([^Z]*)Z".*?"message":"([^"]*)".*"level_value":\d+,?(.*)\}""")
        val SHARD_LINE =
            Regex("shard|hand-over|member entry|earlier|end without a job|paused|ready")
        const val SHOWN_CASES = 2
        const val LOG_BEFORE_MILLIS = 3_000L
        const val LOG_AFTER_MILLIS = 500L
    }
}
