package io.jackdawring.core.configuration

import io.jackdawring.core.EntryOptions
import io.jackdawring.core.OperationId
import io.jackdawring.core.Owner
import io.jackdawring.core.StateChange
import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.StoreCall
import io.jackdawring.core.membership.PeerMessage
import kotlin.random.Random

internal class RealConfigurationRegistry(
    private val options: EntryOptions,
    private val callbacks: ConfigurationCallbacks,
) : ConfigurationRegistry {
    private val random = Random(options.seed xor options.self.incarnation)
    private val documents = DocumentSet()
    private var applied: ConfigurationHead? = null

    /** A higher head of which some documents are still missing. */
    private var pending: ConfigurationHead? = null

    private var headOperation: OperationId? = null
    private var headCalledAtMillis = 0L
    private var headDueMillis = DUE_AT_ONCE
    private var headRevision: Long? = null
    private val headBackoff = Backoff(random)

    private val fetches = HashMap<OperationId, String>()
    private var fetchDueMillis = DUE_AT_ONCE
    private val fetchBackoff = Backoff(random)

    private var requestedVersion = 0L
    private var requestedAtMillis = 0L
    private var lastRejection: StateChange.ConfigurationRejected? = null
    private var reachable: Boolean? = null

    override var current: Configuration = Configuration.EMPTY
        private set

    override val storeReachable: Boolean get() = reachable == true

    override fun nextTimerMillis(): Long? {
        val headDue = headDueMillis.takeIf { headOperation == null }
        val fetchDue = fetchDueMillis.takeIf { missing().isNotEmpty() && fetches.isEmpty() }
        return listOfNotNull(headDue, fetchDue).minOrNull()
    }

    override fun onTimer(nowMillis: Long) {
        if (headOperation == null && nowMillis >= headDueMillis) readHead(nowMillis)
        fetchMissing(nowMillis)
    }

    private fun readHead(nowMillis: Long) {
        headCalledAtMillis = nowMillis
        val revision = headRevision
        headOperation =
            callbacks.callStore(
                if (revision == null) {
                    StoreCall.Get(ConfigurationCodec.HEAD_KEY)
                } else {
                    StoreCall.Watch(ConfigurationCodec.HEAD_KEY, revision, WATCH_MILLIS)
                },
            )
    }

    override fun onStoreAnswered(
        operationId: OperationId,
        answer: StoreAnswer,
        nowMillis: Long,
    ): Boolean {
        val hash = fetches.remove(operationId)
        when {
            operationId == headOperation -> {
                headOperation = null
                updateReachable(answer)
                onHeadAnswered(answer, nowMillis)
            }
            hash != null -> {
                updateReachable(answer)
                onDocumentAnswered(hash, answer, nowMillis)
            }
            else -> return false
        }
        return true
    }

    private fun updateReachable(answer: StoreAnswer) {
        val answered = answer !is StoreAnswer.Unavailable
        if (reachable == answered) return
        reachable = answered
        callbacks.report(StateChange.StoreReachable(answered))
    }

    private fun onHeadAnswered(
        answer: StoreAnswer,
        nowMillis: Long,
    ) {
        if (answer !is StoreAnswer.Found) {
            headDueMillis = nowMillis + headBackoff.nextDelayMillis()
            return
        }
        headBackoff.reset()
        val unchanged = headRevision == answer.revision
        headRevision = answer.revision
        if (!unchanged) answer.value?.let { onStoreHead(it, nowMillis) }
        // Limits the call rate to a store that answers watches at once, also if its revision increases with each.
        headDueMillis = headCalledAtMillis + if (unchanged) MIN_UNCHANGED_SPACING_MILLIS else MIN_SPACING_MILLIS
        if (nowMillis >= headDueMillis) readHead(nowMillis)
    }

    private fun onStoreHead(
        text: String,
        nowMillis: Long,
    ) {
        val head = ConfigurationCodec.decodeHead(text)
        val known = applied
        when {
            head == null -> reject(0, "the head in the store is malformed")
            head.version > current.version -> applyOrFetch(head, nowMillis)
            known != null && head.version < known.version ->
                reject(head.version, "the store shows a version lower than ${known.version}, which is in force")
            known != null && head.publishId != known.publishId ->
                reject(head.version, "the store shows another publication under the version that is in force")
        }
    }

    private fun reject(
        version: Long,
        reason: String,
    ) {
        val change = StateChange.ConfigurationRejected(version, reason)
        if (change == lastRejection) return
        lastRejection = change
        callbacks.report(change)
    }

    /** Applies [head] if all its documents are available; otherwise fetches the missing ones first. */
    private fun applyOrFetch(
        head: ConfigurationHead,
        nowMillis: Long,
    ) {
        val other = pending
        if (other != null && other.version >= head.version && other != head) return
        if (pending != head) {
            pending = head
            fetchDueMillis = nowMillis
            fetchBackoff.reset()
        }
        applyIfComplete(head)
        fetchMissing(nowMillis)
    }

    private fun applyIfComplete(head: ConfigurationHead) {
        if (head.version <= current.version) return
        val found = head.documents.map { (team, hash) -> documents[hash]?.takeIf { it.team == team } ?: return }
        applied = head
        if (pending?.let { it.version <= head.version } == true) pending = null
        documents.retain(listOfNotNull(head, pending))
        current = Configuration.of(head.version, found)
        lastRejection = null
        callbacks.report(StateChange.ConfigurationApplied(head.version))
        callbacks.configurationChanged(current)
    }

    private fun missing(): List<String> =
        pending
            ?.documents
            ?.values
            ?.filter { it !in documents }
            .orEmpty()

    private fun fetchMissing(nowMillis: Long) {
        if (nowMillis < fetchDueMillis) return
        val open = fetches.values.toSet()
        for (hash in missing().distinct().filter { it !in open }.take(MAX_FETCHES - fetches.size)) {
            fetches[callbacks.callStore(StoreCall.Get(ConfigurationCodec.documentKey(hash)))] = hash
        }
    }

    private fun onDocumentAnswered(
        hash: String,
        answer: StoreAnswer,
        nowMillis: Long,
    ) {
        val head = pending
        // The head may have been replaced or applied from a peer's offer in the meantime.
        if (head != null && hash in head.documents.values && hash !in documents) {
            val text = (answer as? StoreAnswer.Found)?.value
            if (text != null && documents.addText(hash, text)) {
                fetchBackoff.reset()
                applyIfComplete(head)
            } else {
                if (text != null) reject(head.version, "document $hash in the store does not match its hash")
                fetchDueMillis = nowMillis + fetchBackoff.nextDelayMillis()
            }
        }
        fetchMissing(nowMillis)
    }

    override fun onPeerVersion(
        peer: Owner,
        version: Long,
        nowMillis: Long,
    ) {
        if (version <= current.version) return
        val waiting = requestedVersion >= version && nowMillis - requestedAtMillis < REQUEST_RETRY_MILLIS
        if (waiting) return
        requestedVersion = version
        requestedAtMillis = nowMillis
        val have = applied?.documents.orEmpty()
        callbacks.send(peer, PeerMessage.ConfigurationRequest(options.self, current.version, have))
    }

    override fun onRequest(request: PeerMessage.ConfigurationRequest) {
        val head = applied ?: return
        if (head.version <= request.haveVersion) return
        val held = request.haveDocuments.values.toSet()
        val lacking =
            head.documents.values
                .distinct()
                .filter { it !in held }
        val offered = lacking.mapNotNull { documents[it] }
        callbacks.send(request.sender, PeerMessage.ConfigurationOffer(options.self, head, offered))
    }

    override fun onOffer(
        offer: PeerMessage.ConfigurationOffer,
        nowMillis: Long,
    ) {
        val head = offer.head
        if (head.version <= current.version) return
        val verified = offer.documents.associateBy { ConfigurationCodec.hash(ConfigurationCodec.encode(it)) }
        val named = head.documents.entries.associate { (team, hash) -> hash to team }
        if (verified.any { (hash, document) -> named[hash] != document.team }) {
            reject(head.version, "a document offered by ${offer.sender.instanceId.value} does not match its hash")
            return
        }
        documents.addAll(verified)
        applyIfComplete(head)
        if (head.version > current.version) applyOrFetch(head, nowMillis)
        documents.retain(listOfNotNull(applied, pending))
    }

    companion object {
        val Factory =
            ConfigurationRegistry.Factory { options, callbacks -> RealConfigurationRegistry(options, callbacks) }

        private const val DUE_AT_ONCE = Long.MIN_VALUE / 2

        /** Keeps the read load of the store low: 30 instances make one read per second. */
        private const val WATCH_MILLIS = 30_000L
        private const val MIN_SPACING_MILLIS = 100L
        private const val MIN_UNCHANGED_SPACING_MILLIS = 1_000L
        private const val REQUEST_RETRY_MILLIS = 1_000L

        /** Fetches 160 teams at start-up within 20 round trips, without a burst of calls to the store. */
        private const val MAX_FETCHES = 8
    }
}
