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
 * Only used for metrics: a document appears here shortly before the decision logic applies it. A team's document
 * replaces its earlier one.
 */
internal class ServiceCatalog {
    /** Called after each update, before any job of the new kinds is answered. */
    @Volatile
    var onUpdated: () -> Unit = {}

    private class TeamKinds(
        val kinds: Map<ServiceKind, KindDefinition>,
    )

    private val teams = ConcurrentHashMap<String, TeamKinds>()
    private val kinds = ConcurrentHashMap<ServiceKind, KindDefinition>()

    /** Definition of [key], or null if no received document has it. */
    fun find(key: ServiceKind): KindDefinition? = kinds[key]

    /** Every known kind. */
    fun all(): Map<ServiceKind, KindDefinition> = kinds

    /** Updates the catalog with a value that was read from the store. */
    fun updateFromStore(
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
        update(document)
    }

    /** Updates the catalog with the documents of a peer's offer. */
    fun updateFromPeer(message: PeerMessage) {
        if (message is PeerMessage.ConfigurationOffer) message.documents.forEach(::update)
    }

    private fun update(document: TeamDocument) {
        val next = HashMap<ServiceKind, KindDefinition>()
        for (service in document.services) {
            for (kind in service.kinds) next[ServiceKind(service.service, kind.name)] = kind
        }
        // compute() serializes concurrent updates of the same team.
        teams.compute(document.team) { _, previous ->
            previous?.kinds?.keys?.forEach { if (it !in next) kinds.remove(it) }
            kinds.putAll(next)
            TeamKinds(next)
        }
        onUpdated()
    }

    private companion object {
        const val DOCUMENT_PREFIX = "config/doc/"
    }
}

/** Identifies a kind of request of a service. */
internal data class ServiceKind(
    val service: String,
    val kind: String,
)
