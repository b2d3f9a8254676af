package io.jackdawring.core.configuration

import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.StoreCall

/**
 * Publishes [services] as the whole content of [replacedTeams] and leaves all other teams as they are.
 *
 * A state machine without I/O: the driver performs one [PublicationStep] at a time. [publishId] must be unique; a
 * repeated publication with the same id gets the result of the first one. A publication without changes makes a new
 * version too, so that it can be confirmed like any other.
 */
class Publication(
    private val services: List<ServiceDefinition>,
    private val publisher: String,
    private val publishId: String,
    private val replacedTeams: Set<String>,
) {
    private val newDocuments =
        services
            .groupBy { it.team }
            .map { (team, ofTeam) -> ConfigurationCodec.encode(TeamDocument(team, ofTeam)) }
            .associateBy { ConfigurationCodec.hash(it) }

    private sealed interface Phase {
        data object ReadHead : Phase

        data class ReadDocument(
            val team: String,
            val hash: String,
        ) : Phase

        data class WriteDocument(
            val hash: String,
            val text: String,
        ) : Phase

        data object SwapHead : Phase

        data object ReadBack : Phase
    }

    private var phase: Phase = Phase.ReadHead
    private val remaining = ArrayDeque<Phase>()
    private var attempts = 0

    private var baseHead: ConfigurationHead? = null
    private var baseRevision = 0L
    private val currentDocuments = HashMap<String, TeamDocument>()

    /** Whether a swap of the head may have taken effect although its reply was lost. */
    private var maybeSwapped = false
    private var result: PublicationResult? = null

    /** What this publication changes; null until the current documents have been read. */
    var diff: PublicationDiff? = null
        private set

    /** The first step. */
    fun start(): PublicationStep {
        val other = services.firstOrNull { it.team !in replacedTeams }
        if (other !=
            null
        ) {
            return notCommitted("service ${other.service} belongs to team ${other.team}, which is not replaced")
        }
        val duplicate = services.groupBy { it.service }.values.firstOrNull { it.size > 1 }
        if (duplicate != null) return notCommitted("service ${duplicate[0].service} is defined twice")
        val tooLarge = newDocuments.values.firstOrNull { it.encodeToByteArray().size > MAX_DOCUMENT_BYTES }
        if (tooLarge != null) return notCommitted("a team's services exceed $MAX_DOCUMENT_BYTES bytes")
        return enter(Phase.ReadHead)
    }

    /** The next step after the [answer] to the last call. */
    fun onAnswered(answer: StoreAnswer): PublicationStep {
        result?.let { return PublicationStep.Finished(it) }
        return when (val current = phase) {
            Phase.ReadHead -> onHead(answer)
            is Phase.ReadDocument -> onDocument(current, answer)
            is Phase.WriteDocument -> onDocumentWritten(current, answer)
            Phase.SwapHead -> onSwapped(answer)
            Phase.ReadBack -> onReadBack(answer)
        }
    }

    /** Ends the publication at the driver's time limit; the reply to an open call counts as lost. */
    fun giveUp(): PublicationResult {
        if (result == null) {
            if (phase == Phase.SwapHead) maybeSwapped = true
            finishUnresolved("the time limit was reached before the head was swapped")
        }
        return checkNotNull(result)
    }

    private fun onHead(answer: StoreAnswer): PublicationStep {
        val found =
            answer as? StoreAnswer.Found ?: return retryOrGiveUp("the store did not answer the read of the head")
        val head = found.value?.let { ConfigurationCodec.decodeHead(it) }
        if (found.value != null && head == null) return notCommitted("the head in the store is malformed")
        head?.published?.firstOrNull { it.publishId == publishId }?.let { return committed(it.version) }
        baseHead = head
        baseRevision = if (found.value == null) 0 else found.revision
        remaining += head?.documents.orEmpty().map { (team, hash) -> Phase.ReadDocument(team, hash) }
        return readNextDocument()
    }

    private fun readNextDocument(): PublicationStep {
        remaining.removeFirstOrNull()?.let { return enter(it) }
        val retained = currentDocuments.filterKeys { it !in replacedTeams }.values.flatMap { it.services }
        val names = services.map { it.service }.toSet()
        val clash = retained.firstOrNull { it.service in names }
        if (clash != null) return notCommitted("service ${clash.service} is already defined by team ${clash.team}")
        diff = PublicationDiff.of(currentDocuments.values.flatMap { it.services }, retained + services)
        remaining +=
            newDocuments.filterKeys { it !in unchangedHashes() }.map { (hash, text) -> Phase.WriteDocument(hash, text) }
        return writeNextDocument()
    }

    /** Hashes of documents that were read and verified and therefore need not be written again. */
    private fun unchangedHashes(): Set<String> =
        baseHead
            ?.documents
            .orEmpty()
            .filterKeys { it in currentDocuments }
            .values
            .toSet()

    private fun onDocument(
        read: Phase.ReadDocument,
        answer: StoreAnswer,
    ): PublicationStep {
        val found =
            answer as? StoreAnswer.Found
                ?: return retryOrGiveUp("the store did not answer the read of team ${read.team}")
        val document =
            found.value
                ?.takeIf { ConfigurationCodec.hash(it) == read.hash }
                ?.let { ConfigurationCodec.decodeDocument(it) }
        when {
            document != null -> currentDocuments[read.team] = document
            read.team !in replacedTeams ->
                return notCommitted("the document of team ${read.team} is missing or damaged; publish that team first")
        }
        return readNextDocument()
    }

    private fun writeNextDocument(): PublicationStep = enter(remaining.removeFirstOrNull() ?: Phase.SwapHead)

    private fun onDocumentWritten(
        write: Phase.WriteDocument,
        answer: StoreAnswer,
    ): PublicationStep =
        when (answer) {
            is StoreAnswer.Written -> writeNextDocument()
            is StoreAnswer.Conflict ->
                if (answer.value == write.text) {
                    writeNextDocument()
                } else {
                    notCommitted("the store holds another text under hash ${write.hash}")
                }
            else -> retryOrGiveUp("the store did not answer the write of a document")
        }

    private fun newHead(): ConfigurationHead {
        val base = baseHead
        return ConfigurationHead(
            version = (base?.version ?: 0) + 1,
            publishId = publishId,
            publisher = publisher,
            documents = base?.documents.orEmpty().filterKeys { it !in replacedTeams } + newDocumentsByTeam(),
            recent = base?.published.orEmpty().takeLast(ConfigurationHead.MAX_RECENT),
        )
    }

    private fun newDocumentsByTeam(): Map<String, String> =
        newDocuments.entries
            .mapNotNull { (hash, text) -> ConfigurationCodec.decodeDocument(text)?.let { it.team to hash } }
            .sortedBy { it.first }
            .toMap()

    private fun onSwapped(answer: StoreAnswer): PublicationStep =
        when (answer) {
            is StoreAnswer.Written -> committed(newHead().version)
            is StoreAnswer.Conflict -> resolve(answer.value, answer.revision)
            is StoreAnswer.Unavailable -> {
                maybeSwapped = maybeSwapped || answer.mayHaveApplied
                if (maybeSwapped) retryOrGiveUp(SWAP_UNANSWERED, Phase.ReadBack) else retryOrGiveUp(SWAP_UNANSWERED)
            }
            is StoreAnswer.Found -> retryOrGiveUp("the store answered a write with a value")
        }

    private fun onReadBack(answer: StoreAnswer): PublicationStep {
        val found = answer as? StoreAnswer.Found ?: return retryOrGiveUp(SWAP_UNANSWERED)
        val unchanged = if (baseHead == null) found.value == null else found.revision == baseRevision
        // The lost write may still arrive. A second one at the same revision is safe: only one of the two can succeed.
        return if (unchanged) retryOrGiveUp(SWAP_UNANSWERED, Phase.SwapHead) else resolve(found.value, found.revision)
    }

    /** Determines from the history of a changed head whether this publication took effect. */
    private fun resolve(
        text: String?,
        revision: Long,
    ): PublicationStep {
        val head = text?.let { ConfigurationCodec.decodeHead(it) }
        val published = head?.published.orEmpty()
        published.firstOrNull { it.publishId == publishId }?.let { return committed(it.version) }
        val winner =
            published.firstOrNull { it.version == newHead().version } ?: published.lastOrNull().takeIf { !maybeSwapped }
        return when {
            winner != null -> finish(PublicationResult.Conflict(winner.publisher, winner.version))
            maybeSwapped -> finish(PublicationResult.Undecided)
            else -> notCommitted("the head was removed or damaged at revision $revision")
        }
    }

    private fun enter(next: Phase): PublicationStep {
        phase = next
        attempts = 0
        return call(0)
    }

    private fun retryOrGiveUp(
        reason: String,
        next: Phase = phase,
    ): PublicationStep {
        attempts++
        if (attempts >= MAX_ATTEMPTS) return finishUnresolved(reason)
        phase = next
        return call(minOf(MAX_DELAY_MILLIS, BASE_DELAY_MILLIS shl attempts))
    }

    private fun finishUnresolved(reason: String): PublicationStep =
        if (maybeSwapped) finish(PublicationResult.Undecided) else notCommitted(reason)

    private fun call(delayMillis: Long): PublicationStep =
        PublicationStep.Call(
            when (val current = phase) {
                Phase.ReadHead, Phase.ReadBack -> StoreCall.Get(ConfigurationCodec.HEAD_KEY)
                is Phase.ReadDocument -> StoreCall.Get(ConfigurationCodec.documentKey(current.hash))
                is Phase.WriteDocument ->
                    StoreCall.CompareAndSwap(ConfigurationCodec.documentKey(current.hash), current.text, 0, null)
                Phase.SwapHead ->
                    StoreCall.CompareAndSwap(
                        ConfigurationCodec.HEAD_KEY,
                        ConfigurationCodec.encode(newHead()),
                        baseRevision,
                        null,
                    )
            },
            delayMillis,
        )

    private fun committed(version: Long) = finish(PublicationResult.Committed(version))

    private fun notCommitted(reason: String) = finish(PublicationResult.NotCommitted(reason))

    private fun finish(end: PublicationResult): PublicationStep {
        result = end
        return PublicationStep.Finished(end)
    }

    private companion object {
        const val SWAP_UNANSWERED = "the store did not answer the swap of the head"
        const val BASE_DELAY_MILLIS = 25L
        const val MAX_DELAY_MILLIS = 1_000L

        /** The retries of one step take about 7.5 s in total, more than the 4 s that a publisher waits by default. */
        const val MAX_ATTEMPTS = 12

        /** The store accepts values of up to 1 MB. */
        const val MAX_DOCUMENT_BYTES = 1_000_000
    }
}
