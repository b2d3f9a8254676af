package io.jackdawring.load.bench

import io.jackdawring.core.Event
import io.jackdawring.core.InstanceList
import io.jackdawring.core.membership.PeerMessage
import io.jackdawring.server.http.HttpTransport
import kotlinx.serialization.json.Json

/**
 * Cost of control traffic without jobs.
 *
 * Messages and bytes are counted with [ScriptedInstance]s on virtual time and the JSON codec of the peer protocol;
 * the processor time of idle entry instances is measured on real ones over loopback.
 */
internal class ControlBench(
    private val options: BenchOptions,
    private val table: BenchTable,
) {
    fun run() {
        for (instances in if (options.small) listOf(2) else listOf(2, 4, 9, 18, 30)) gossip(instances)
        for (teams in if (options.small) listOf(2) else listOf(10, 40, 160)) publication(teams)
        for (targets in listOf(30, 240, 940)) instanceList(targets)
        for (instances in if (options.small) listOf(2) else listOf(2, 4, 9, 18)) idle(instances, targets = 30)
        if (!options.small) for (targets in listOf(240, 940)) idle(instances = 4, targets)
    }

    private fun gossip(instances: Int) {
        val group = ScriptedGroup(instances, ScriptedStore(1))
        val seconds = if (options.small) 2 else GOSSIP_SECONDS
        group.runSeconds(seconds)
        group.reset()
        val startCpuNanos = currentThreadCpuNanos()
        group.runSeconds(seconds)
        val instanceSeconds = instances.toDouble() * seconds
        table.add(
            "instances" to instances,
            "messages/s sent" to group.messages / instanceSeconds,
            "body B/s sent" to (group.bodyBytes / instanceSeconds).toLong(),
            "header B/s sent" to (group.messages * headerBytes(group) / instanceSeconds).toLong(),
            "B/s sent+received" to
                (
                    2 * (
                        group.bodyBytes + group.messages * (
                            headerBytes(
                                group,
                            ) + ACKNOWLEDGEMENT.length
                        )
                    ) / instanceSeconds
                ).toLong(),
            "core+JSON CPU us/s" to (currentThreadCpuNanos() - startCpuNanos) / NANOS_PER_MICRO / instanceSeconds,
        )
    }

    private fun publication(teams: Int) {
        val store = ScriptedStore(teams)
        val group = ScriptedGroup(INSTANCES, store)
        group.runSeconds(if (options.small) 2 else GOSSIP_SECONDS)
        val publications = if (options.small) 1 else PUBLICATIONS
        var cpuNanos = 0L
        val bytesReadBefore = store.bytesRead
        group.reset()
        repeat(publications) {
            store.publishChange()
            val startCpuNanos = currentThreadCpuNanos()
            group.instances.forEach { it.answerChangedWatch() }
            cpuNanos += currentThreadCpuNanos() - startCpuNanos
            group.runSeconds(1)
        }
        check(group.instances.all { it.snapshot().configurationVersion == publications + 1L }) {
            "a publication is not in force on all instances"
        }
        table.add(
            "teams" to teams,
            "store B read/publication" to (store.bytesRead - bytesReadBefore) / publications / INSTANCES,
            "offer B sent/publication" to group.offerBytes / publications / INSTANCES,
            "CPU us/publication" to cpuNanos / NANOS_PER_MICRO / publications / INSTANCES,
        )
    }

    private fun instanceList(targets: Int) {
        val list = ScriptedInstance.instanceList(targets, teams = 160)
        val text = Json.encodeToString(InstanceList.serializer(), list)
        table.add(
            "targets" to targets,
            "services per target" to
                list.instances
                    .first()
                    .services.size,
            "B per list change" to text.length,
        )
    }

    private fun idle(
        instances: Int,
        targets: Int,
    ) {
        HttpTransport(2, "standins").use { transport ->
            BenchFleet(transport, ScriptedStore(1)).use { fleet ->
                fleet.registerTargets(ScriptedInstance.instanceList(targets, 1).instances)
                val entries = List(instances) { fleet.startEntry(it) }
                fleet.awaitReady(entries, targets)
                Thread.sleep(options.caseMillis)
                val before = cpuNanosOf(*ENTRY_THREADS)
                val startNanos = System.nanoTime()
                Thread.sleep(2 * options.caseMillis)
                val seconds = (System.nanoTime() - startNanos) / 1e9
                val cpuSeconds = cpuNanosBetween(before, cpuNanosOf(*ENTRY_THREADS)) / 1e9
                table.add(
                    "instances" to instances,
                    "targets" to targets,
                    "% of a core per instance" to 100 * cpuSeconds / seconds / instances,
                )
            }
        }
    }

    private fun headerBytes(group: ScriptedGroup): Int =
        "POST /peer/v1/messages HTTP/1.1\r\nhost: ${group.instances.first().self.peerAddress}\r\n".length +
            "content-type: application/json\r\ncontent-length: 1234\r\n\r\n".length

    private companion object {
        const val GOSSIP_SECONDS = 120
        const val INSTANCES = 9
        const val PUBLICATIONS = 40
        const val NANOS_PER_MICRO = 1e3
        const val ACKNOWLEDGEMENT = "HTTP/1.1 204 No Content\r\n\r\n"
    }
}

/** Instances on one virtual clock that exchange encoded messages without loss. */
private class ScriptedGroup(
    count: Int,
    store: ScriptedStore,
) {
    val instances = List(count) { index -> ScriptedInstance(store, index) { seed = index.toLong() } }
    private val byAddress = instances.associateBy { it.self.peerAddress }
    private var nowMillis = 0L

    var messages = 0L
        private set
    var bodyBytes = 0L
        private set
    var offerBytes = 0L
        private set

    init {
        val list = ScriptedInstance.instanceList(30, store.teams, count)
        instances.forEach { it.handle(Event.InstancesListed(list)) }
    }

    fun reset() {
        messages = 0
        bodyBytes = 0
        offerBytes = 0
    }

    fun runSeconds(seconds: Int) {
        repeat(seconds * MILLIS_PER_SECOND / STEP_MILLIS) {
            nowMillis += STEP_MILLIS
            instances.forEach {
                it.nowMillis = nowMillis
                it.runTimers()
            }
            deliver()
        }
    }

    private fun deliver() {
        while (instances.any { it.messages.isNotEmpty() }) {
            for (instance in instances) {
                val effect = instance.messages.removeFirstOrNull() ?: continue
                val text = json.encodeToString(PeerMessage.serializer(), effect.message)
                val size = text.encodeToByteArray().size
                messages++
                bodyBytes += size
                if (effect.message is PeerMessage.ConfigurationOffer) offerBytes += size
                val received = json.decodeFromString(PeerMessage.serializer(), text)
                byAddress.getValue(effect.peerAddress).handle(Event.PeerMessageReceived(received))
                instance.handle(Event.PeerSendAcknowledged(effect.peerAddress, effect.message))
            }
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
        const val STEP_MILLIS = 10

        /** The settings of the server's codec for peer messages. */
        val json =
            Json {
                ignoreUnknownKeys = true
                encodeDefaults = true
            }
    }
}
