package io.jackdawring.core.configuration

/** Documents of the configuration in force and of a higher head that is being fetched, by content hash. */
internal class DocumentSet {
    private val documents = HashMap<String, TeamDocument>()

    operator fun get(hash: String): TeamDocument? = documents[hash]

    operator fun contains(hash: String): Boolean = hash in documents

    /** Adds the document in [text] if its hash is [hash] and it can be decoded. */
    fun addText(
        hash: String,
        text: String,
    ): Boolean {
        if (ConfigurationCodec.hash(text) != hash) return false
        documents[hash] = ConfigurationCodec.decodeDocument(text) ?: return false
        return true
    }

    fun addAll(verified: Map<String, TeamDocument>) = documents.putAll(verified)

    /** Removes all documents that none of [heads] references. */
    fun retain(heads: List<ConfigurationHead>) {
        documents.keys.retainAll(heads.flatMap { it.documents.values }.toSet())
    }
}
