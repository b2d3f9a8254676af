package io.jackdawring.server.metrics

import io.jackdawring.core.configuration.KindDefinition
import io.jackdawring.core.configuration.TeamDocument
import io.jackdawring.core.membership.PeerMessage
import io.jackdawring.server.json.lenientJson
import kotlinx.serialization.SerializationException
import java.util.concurrent.ConcurrentHashMap

/**
 * Kinds of the configuration documents that this process received from the store or from peers.
 *
 * It only serves metrics: a document appears here shortly before the decision logic applies it. A team's document
 * replaces its earlier one.
 */
internal class ServiceCatalog {
    /** Runs after a document was learned, before any job of its new kinds is answered. */
    @Volatile
    var onLearned: () -> Unit = {}

    private class TeamKinds(
        val kinds: Map<ServiceKind, KindDefinition>,
    )

    private val teams = ConcurrentHashMap<String, TeamKinds>()
    private val kinds = ConcurrentHashMap<ServiceKind, KindDefinition>()

    /** Definition of [key], or null if no received document has it. */
    fun find(key: ServiceKind): KindDefinition? = kinds[key]

    /** Every known kind. */
    fun all(): Map<ServiceKind, KindDefinition> = kinds

    /** Learns a value that was read from the store. */
    fun learnStoreValue(
        key: String,
        value: String,
    ) {
        if (!key.startsWith(DOCUMENT_PREFIX)) return
        val document =
            try {
                lenientJson.decodeFromString(TeamDocument.serializer(), value)
            } catch (_: SerializationException) {
                return
            }
        learn(document)
    }

    /** Learns the documents of a peer's offer. */
    fun learnMessage(message: PeerMessage) {
        if (message is PeerMessage.ConfigurationOffer) message.documents.forEach(::learn)
    }

    private fun learn(document: TeamDocument) {
        val next = HashMap<ServiceKind, KindDefinition>()
        for (service in document.services) {
            for (kind in service.kinds) next[ServiceKind(service.service, kind.name)] = kind
        }
        // The entry of the team makes concurrent replacements of the same team run one after the other.
        teams.compute(document.team) { _, previous ->
            previous?.kinds?.keys?.forEach { if (it !in next) kinds.remove(it) }
            kinds.putAll(next)
            TeamKinds(next)
        }
        onLearned()
    }

    private companion object {
        const val DOCUMENT_PREFIX = "config/doc/"
    }
}

/** Names a kind of request. */
internal data class ServiceKind(
    val service: String,
    val kind: String,
)
