package io.jackdawring.cli.process

import io.jackdawring.server.operator.InstanceStatus
import io.jackdawring.server.operator.StatusDocument
import io.jackdawring.standins.TaskStart
import io.jackdawring.standins.doubleStarts
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A stand-in platform, targets in two failure domains and entry instances `e1`, `e2` in `a` and `e3`, `e4` in `b`. */
internal class Cluster(
    private val name: String,
    targetsPerDomain: Int = 1,
) : AutoCloseable {
    /** An entry instance; peers and the platform reach it, and it reaches the platform, through relays. */
    inner class Entry(
        val id: String,
        val domain: String,
        seeds: List<Entry> = emptyList(),
    ) : AutoCloseable {
        private val peerRelay = Relay()
        private val process = ProgramProcess("$name-$id", arguments(seeds), mapOf("JACKDAWRING_SESSION_KEYS" to KEYS))

        val callers: String by lazy { process.address("callers") }
        val operators: String by lazy { process.address("operators") }
        val peers: String get() = peerRelay.address

        val isReady: Boolean get() = Http.send("GET", operators, "/readyz").get().status == 200

        fun awaitStarted(): Entry {
            peerRelay.upstream = process.address("peers")
            peerRelay.forwards = { _, message -> !domainsPartitioned || domainOfSender(message) == domain }
            return this
        }

        fun status(): StatusDocument = StatusDocument.parse(Http.send("GET", operators, "/v1/status").get().body)

        fun signal(signal: String) = process.signal(signal)

        fun terminate() = process.terminate()

        fun exitCode(): Int = process.exitCode().also { close() }

        /** Kills the process; the platform still lists it. */
        override fun close() {
            process.close()
            peerRelay.close()
            entries.remove(this)
        }

        private fun arguments(seeds: List<Entry>): List<String> {
            val listeners = listOf("--listen", ANY_PORT, "--peer-listen", ANY_PORT, "--operator-listen", ANY_PORT)
            val identity =
                listOf("--instance-id", id, "--failure-domain", domain, "--peer-advertise", peerRelay.address)
            val peers =
                if (seeds.isEmpty()) {
                    emptyList()
                } else {
                    listOf(
                        "--peer-seeds",
                        seeds.joinToString(",") { it.peers },
                    )
                }
            return listOf("serve", "--platform", platformRelays.getValue(domain).address) + listeners + identity + peers
        }
    }

    @Volatile
    var domainsPartitioned = false

    val entries = ArrayList<Entry>()
    private val targets = LinkedHashMap<String, ProgramProcess>()
    private val platform = ProgramProcess("$name-platform", listOf("standin", "platform", "--listen", ANY_PORT))

    /** Relays between each failure domain and the platform. */
    val platformRelays = mapOf("a" to Relay(), "b" to Relay())
    val platformAddress: String

    init {
        try {
            platformAddress = platform.address("platform")
            platformRelays.values.forEach { it.upstream = platformAddress }
            platformRelays.keys.forEach { domain ->
                repeat(targetsPerDomain) { startTarget("t-$domain${it + 1}", domain) }
            }
            listOf("e1" to "a", "e2" to "a", "e3" to "b", "e4" to "b").forEach { entries += Entry(it.first, it.second) }
            entries.forEach { it.awaitStarted() }
            assertEquals(0, publish(quota = 1_000, operator = entry("e1"), waitMillis = 20_000).first)
            awaitSettled()
        } catch (failure: Throwable) {
            close()
            throw failure
        }
    }

    fun entry(id: String): Entry = entries.first { it.id == id }

    /** Starts an entry instance; with [seeds] it needs no platform. */
    fun start(
        id: String,
        domain: String,
        seeds: List<Entry> = emptyList(),
    ): Entry {
        val entry = Entry(id, domain, seeds).also(entries::add).awaitStarted()
        awaitTrue("$id is ready") { entry.isReady }
        return entry
    }

    /** Waits until every entry instance sees all others as live and knows all targets. */
    fun awaitSettled() =
        awaitTrue("all entry instances know each other and all targets") {
            entries.all { entry ->
                val status = entry.status()
                val live =
                    status.members.filter {
                        it.state == "live" &&
                            InstanceStatus(it.instanceId, it.incarnation, it.address, it.failureDomain) != status.self
                    }
                val others = entries.filter { it != entry }.map { it.id }.toSet()
                status.ready &&
                    live.map { it.instanceId }.toSet() == others &&
                    status.targets.size == targets.size
            }
        }

    fun targetAddress(id: String): String = targets.getValue(id).address("target")

    fun killPlatform() = platform.close()

    fun platformFaults(faults: String) =
        assertEquals(200, Http.send("PUT", platformAddress, "/faults", faults).get().status)

    /** Runs `config publish` with a service file of [quota]; returns its exit code and its output. */
    fun publish(
        quota: Int,
        operator: Entry,
        waitMillis: Int = 4_000,
    ): Pair<Int, String> {
        val process = startPublish(quota, operator, platformAddress, waitMillis)
        return process.use { it.exitCode() to it.output }
    }

    fun startPublish(
        quota: Int,
        operator: Entry,
        platform: String,
        waitMillis: Int = 4_000,
    ): ProgramProcess {
        val file = Files.createTempDirectory(Path.of("target"), "service").resolve("orders.service.json")
        Files.writeString(file, serviceFile(quota))
        val addresses = listOf("--platform", platform, "--operator", operator.operators, "--wait", "$waitMillis")
        return ProgramProcess("$name-publish", listOf("config", "publish", "$file", "--json") + addresses)
    }

    fun starts(): List<TaskStart> =
        targets.keys.flatMap { id ->
            val log = Http.send("GET", targetAddress(id), "/starts").get()
            assertEquals(200, log.status)
            log.body
                .lines()
                .filter(String::isNotEmpty)
                .map { Json.decodeFromString(TaskStart.serializer(), it) }
        }

    fun starts(job: Job): Int =
        starts().count {
            it.task
                .split('/')
                .takeLast(2)
                .first() == job.id
        }

    fun assertNoDoubleStarts() = assertEquals(emptyMap(), doubleStarts(starts()))

    /** Asserts that [send] is answered as unknown within the documented limit. */
    fun assertUnknownInTime(
        what: String,
        send: () -> Answer,
    ) {
        val startNanos = System.nanoTime()
        val answer = send()
        val elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000
        assertTrue(answer.isUnknown, "$what: $answer")
        assertTrue(elapsedMillis < UNKNOWN_LIMIT_MILLIS, "$what: answered after $elapsedMillis ms")
    }

    override fun close() {
        entries.toList().forEach { it.close() }
        targets.values.forEach { it.close() }
        platform.close()
        platformRelays.values.forEach { it.close() }
    }

    private fun startTarget(
        id: String,
        domain: String,
    ) {
        val location = listOf("--failure-domain", domain, "--platform", platformAddress)
        targets[id] =
            ProgramProcess("$name-$id", listOf("standin", "target", "--id", id, "--service", "orders") + location)
    }

    private companion object {
        const val ANY_PORT = "127.0.0.1:0"
        val KEYS = "k1:" + "5a".repeat(32)

        /** Includes the time limit of a peer message (1 s), after which a forward to an unreachable owner fails. */
        const val UNKNOWN_LIMIT_MILLIS = 4_000L

        fun serviceFile(quota: Int): String =
            """{"service":"orders","team":"stillwater","quotaTasks":$quota,""" +
                """"kinds":[{"name":"check","priority":1,"idempotent":true,"expectedMillis":50}]}"""

        fun domainOfSender(message: String): String =
            Json
                .parseToJsonElement(message)
                .jsonObject
                .getValue("sender")
                .jsonObject
                .getValue("fd")
                .jsonPrimitive.content
    }
}
