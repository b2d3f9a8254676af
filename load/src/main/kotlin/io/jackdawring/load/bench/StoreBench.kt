package io.jackdawring.load.bench

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceRole
import io.jackdawring.core.ListedInstance
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpTransport
import kotlinx.collections.immutable.persistentMapOf
import java.util.UUID
import java.util.concurrent.locks.LockSupport
import kotlin.random.Random

/** Calls per second of entry instances to the stand-in platform, idle and with claims. */
internal class StoreBench(
    private val options: BenchOptions,
    private val table: BenchTable,
) {
    fun run() {
        for (instances in if (options.small) listOf(2) else listOf(2, 4, 9)) measure(instances)
    }

    private fun measure(instances: Int) {
        HttpTransport(2, "standins").use { transport ->
            InstantTargets(transport, TARGETS).use { targets ->
                BenchFleet(transport, ScriptedStore(1)).use { fleet ->
                    fleet.registerTargets(targets.listed)
                    val entries = List(instances) { fleet.startEntry(it) }
                    fleet.awaitReady(entries, TARGETS)
                    Thread.sleep(options.caseMillis)
                    count(fleet, instances, 0) { Thread.sleep(2 * options.caseMillis) }
                    transport.client().use { client ->
                        count(fleet, instances, CLAIMS_PER_SECOND) {
                            val endNanos = System.nanoTime() + 2 * options.caseMillis * 1_000_000
                            while (System.nanoTime() < endNanos) {
                                for (entry in entries) {
                                    val headers =
                                        persistentMapOf(
                                            "content-type" to "application/json",
                                            "idempotency-key" to uuidV7(),
                                            "jackdaw-attempt" to "1",
                                        )
                                    val request = HttpRequestMessage("POST", "/v1/jobs", headers = headers, body = BODY)
                                    client.send(entry.callerAddress, request, LIMIT_MILLIS) {}
                                }
                                LockSupport.parkNanos(1_000_000_000L / CLAIMS_PER_SECOND)
                            }
                        }
                    }
                }
            }
        }
    }

    private fun count(
        fleet: BenchFleet,
        instances: Int,
        claimsPerSecond: Int,
        action: () -> Unit,
    ) {
        val before = fleet.platform.counts()
        val startNanos = System.nanoTime()
        action()
        val seconds = (System.nanoTime() - startNanos) / 1e9
        val after = fleet.platform.counts()
        table.add(
            "instances" to instances,
            "claims/s offered per instance" to claimsPerSecond,
            "store reads/s" to (after.reads - before.reads) / seconds,
            "store writes/s" to (after.writes - before.writes) / seconds,
            "list reads/s" to (after.instanceReads - before.instanceReads) / seconds,
            "list writes/s" to (after.instanceWrites - before.instanceWrites) / seconds,
            "waiting watches" to after.waitingWatches,
        )
    }

    private fun uuidV7(): String {
        val high = (System.currentTimeMillis() shl 16) or 0x7000L or Random.nextLong(0x1000)
        return UUID(high, Random.nextLong() and Long.MAX_VALUE ushr 1 or Long.MIN_VALUE).toString()
    }

    private companion object {
        const val TARGETS = 8
        const val CLAIMS_PER_SECOND = 15
        const val LIMIT_MILLIS = 5_000L
        val BODY =
            """{"caller":"bench","service":"${ScriptedStore.service(0)}","kind":"${ScriptedStore.KIND}",
                |"deadlineMillis":5000,"tasks":[{"payload":1,"expectedMillis":1}]}
            """.trimMargin().encodeToByteArray()
    }
}

/** Targets that answer each task immediately with the same small result. */
internal class InstantTargets(
    transport: HttpTransport,
    count: Int,
) : AutoCloseable {
    private val servers =
        List(count) {
            transport.serverFactory().start("127.0.0.1:0") { exchange -> exchange.respond(ANSWER) }
        }

    val addresses: List<String> = servers.map { it.address }

    val listed: List<ListedInstance> =
        addresses.mapIndexed { index, address ->
            ListedInstance(
                "target-$index",
                InstanceRole.TARGET,
                FailureDomainId("zone-0"),
                address,
                services = listOf(ScriptedStore.service(0)),
            )
        }

    override fun close() = servers.forEach { it.close() }

    private companion object {
        val ANSWER =
            io.jackdawring.server.http.HttpResponseMessage(
                200,
                persistentMapOf("content-type" to "application/json"),
                ScriptedInstance.RESULT.bytes,
            )
    }
}
