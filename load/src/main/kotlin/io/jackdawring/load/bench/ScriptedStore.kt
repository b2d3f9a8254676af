package io.jackdawring.load.bench

import io.jackdawring.core.OperationId
import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.StoreCall
import io.jackdawring.core.configuration.ConfigurationCodec
import io.jackdawring.core.configuration.ConfigurationHead
import io.jackdawring.core.configuration.KindDefinition
import io.jackdawring.core.configuration.PublishedVersion
import io.jackdawring.core.configuration.ServiceDefinition
import io.jackdawring.core.configuration.TeamDocument

/** A store with a configuration of [teams] teams with one service each. */
internal class ScriptedStore(
    val teams: Int,
) {
    private val texts = HashMap<String, String>()
    private var head = ConfigurationHead(0, "", "", emptyMap())

    /** Bytes of all values read so far. */
    var bytesRead = 0L
        private set

    /** Documents in force. */
    var documents: List<TeamDocument> = List(teams) { document(it, weight = 1) }
        private set

    init {
        publish(documents)
    }

    /** Publishes a change of the document of one team. */
    fun publishChange() {
        val team = (head.version % teams).toInt()
        documents = documents.toMutableList().also { it[team] = document(team, weight = 1 + head.version.toInt()) }
        publish(documents)
    }

    private fun publish(documents: List<TeamDocument>) {
        val hashes =
            documents.associate { document ->
                val text = ConfigurationCodec.encode(document)
                val hash = ConfigurationCodec.hash(text)
                texts[ConfigurationCodec.documentKey(hash)] = text
                document.team to hash
            }
        val version = head.version + 1
        val recent = (head.recent + PublishedVersion(head.version, head.publishId, head.publisher))
        head =
            ConfigurationHead(
                version,
                // Has the length of the UUID of a real publication.
                "0193e5a0-0000-7000-8000-%012d".format(version),
                "operator-$version",
                hashes,
                recent.takeLast(ConfigurationHead.MAX_RECENT),
            )
        texts[ConfigurationCodec.HEAD_KEY] = ConfigurationCodec.encode(head)
    }

    /** Answer to [call], or null for a watch of the current revision, which must wait. */
    fun answer(call: StoreCall): StoreAnswer? =
        when (call) {
            is StoreCall.Get -> found(call.key)
            is StoreCall.Watch -> if (call.afterRevision < head.version) found(call.key) else null
            is StoreCall.CompareAndSwap -> StoreAnswer.Written(1)
        }

    private fun found(key: String): StoreAnswer {
        val value = texts[key]
        bytesRead += value?.length ?: 0
        return StoreAnswer.Found(value, head.version)
    }

    companion object {
        const val KIND = "check"

        fun service(team: Int): String = "service-$team"

        private fun kindName(index: Int) = if (index == 0) KIND else "$KIND-$index"

        private fun document(
            team: Int,
            weight: Int,
        ) = TeamDocument(
            "team-$team",
            listOf(
                ServiceDefinition(
                    service(team),
                    "team-$team",
                    weight = weight,
                    kinds = List(3) { KindDefinition(kindName(it), priority = it + 1, expectedMillis = 100) },
                ),
            ),
        )
    }
}

/** A watch that is not answered yet. */
internal class OpenWatch(
    val operationId: OperationId,
    val call: StoreCall,
)
