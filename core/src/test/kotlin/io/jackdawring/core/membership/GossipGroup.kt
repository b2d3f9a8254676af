package io.jackdawring.core.membership

import io.jackdawring.core.EntryOptions
import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.InstanceList
import io.jackdawring.core.InstanceRole
import io.jackdawring.core.ListedInstance
import io.jackdawring.core.Owner
import io.jackdawring.core.StateChange
import io.jackdawring.core.entryOptions
import kotlinx.serialization.json.Json

internal fun owner(
    id: String,
    incarnation: Long = 1_733_280_000_000,
    domain: String = "a",
) = Owner(InstanceId(id), incarnation, "10.0.0.${id.filter { it.isDigit() }.toInt()}:7100", FailureDomainId(domain))

internal fun instanceList(
    version: Long,
    owners: List<Owner>,
) = InstanceList(
    version,
    owners.map { ListedInstance(it.instanceId.value, InstanceRole.ENTRY, it.failureDomain, it.peerAddress) },
)

/** Instances that gossip without delay on virtual time; [isPartitioned] decides which sends fail. */
internal class GossipGroup(
    owners: List<Owner>,
    private val options: (Owner) -> EntryOptions = { entryOptions(it) { seed = 7 } },
) {
    private val owners = HashMap<String, Owner>()
    val nodes = HashMap<String, RealMembership>()
    val changes = HashMap<String, MutableList<StateChange>>()
    val versions = HashMap<String, Long>()
    var isPartitioned: (String, String) -> Boolean = { _, _ -> false }
    var nowMillis = 0L
    var bytes = 0L
    var messages = 0L

    init {
        owners.forEach { start(it) }
    }

    fun start(self: Owner) {
        val log = changes.getOrPut(self.instanceId.value) { ArrayList() }
        nodes[self.peerAddress] = RealMembership(options(self)) { log += it }
        owners[self.peerAddress] = self
    }

    fun runUntil(endMillis: Long) {
        while (nowMillis < endMillis) {
            nowMillis += STEP_MILLIS
            // Instances start their gossip at different times, as separate processes do.
            for ((index, address) in nodes.keys.sorted().withIndex()) {
                val node = nodes[address] ?: continue
                if (nowMillis < index * STEP_MILLIS) continue
                node.onTimer(nowMillis)
                node.takeGossipPeers(nowMillis).forEach { exchange(address, it) }
            }
        }
    }

    private fun exchange(
        from: String,
        to: String,
    ) {
        val sender = nodes.getValue(from)
        val receiver = nodes[to]
        val digest =
            PeerMessage.Digest(
                owners.getValue(from),
                sender.facts(version(from), nowMillis),
                emptyList(),
                sender.heartbeats(nowMillis),
            )
        countMessage(digest)
        if (receiver == null || isPartitioned(from, to)) return sender.sendFailed(to, nowMillis)
        sender.sendAcknowledged(to, nowMillis)
        receiver.merge(digest.sender, digest.members, nowMillis)
        receiver.mergeHeartbeats(digest.heartbeats, nowMillis)
        val reply =
            PeerMessage.DigestReply(
                owners.getValue(to),
                receiver.facts(version(to), nowMillis),
                emptyList(),
                receiver.heartbeats(nowMillis),
            )
        countMessage(reply)
        sender.merge(reply.sender, reply.members, nowMillis)
        sender.mergeHeartbeats(reply.heartbeats, nowMillis)
    }

    private fun version(address: String) = versions[owners.getValue(address).instanceId.value] ?: 1

    private fun countMessage(message: PeerMessage) {
        val text = Json.encodeToString(PeerMessage.serializer(), message)
        check(
            Json.decodeFromString(PeerMessage.serializer(), text) == message,
        ) { "decoding $text does not give the encoded message" }
        bytes += text.encodeToByteArray().size
        messages++
    }

    private companion object {
        const val STEP_MILLIS = 25L
    }
}
