package io.jackdawring.core.configuration

import io.jackdawring.core.sha256Hex
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** JSON encoding of heads and documents in the store. */
object ConfigurationCodec {
    /** Key of the head in the store. */
    const val HEAD_KEY = "config/head"

    // Unknown keys are ignored so that a process of the previous release can read a document of the next one.
    private val json =
        Json {
            encodeDefaults = true
            ignoreUnknownKeys = true
        }

    /** Key of the document with content hash [hash]. */
    fun documentKey(hash: String): String = "config/doc/$hash"

    /** Canonical text of [document]: services sorted by name, defaults written out. */
    fun encode(document: TeamDocument): String =
        json.encodeToString(
            TeamDocument.serializer(),
            document.copy(services = document.services.sortedBy { it.service }),
        )

    /** JSON text of [head]. */
    fun encode(head: ConfigurationHead): String = json.encodeToString(ConfigurationHead.serializer(), head)

    /** The document in [text], or null if it is malformed. */
    fun decodeDocument(text: String): TeamDocument? =
        decodeOrNull { json.decodeFromString(TeamDocument.serializer(), text) }

    /** The head in [text], or null if it is malformed. */
    fun decodeHead(text: String): ConfigurationHead? =
        decodeOrNull { json.decodeFromString(ConfigurationHead.serializer(), text) }

    /** SHA-256 of [text] in lower-case hexadecimal. */
    fun hash(text: String): String = sha256Hex(text)

    private fun <T> decodeOrNull(decode: () -> T): T? =
        try {
            decode()
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
}
