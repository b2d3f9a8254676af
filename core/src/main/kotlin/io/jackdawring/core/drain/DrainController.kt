package io.jackdawring.core.drain

import io.jackdawring.core.Effect
import io.jackdawring.core.EffectEmitter
import io.jackdawring.core.Owner
import io.jackdawring.core.StateChange
import io.jackdawring.core.membership.Membership
import io.jackdawring.core.membership.PeerMessage

/**
 * Runs a graceful shutdown: waits until no request is in progress, hands the finished records over to a successor,
 * announces the successor to the peers, and completes.
 */
internal class DrainController(
    private val emitter: EffectEmitter,
    private val membership: Membership,
    private val callbacks: DrainCallbacks,
) {
    private var phase: Phase = Phase.Serving

    val isDraining: Boolean get() = phase != Phase.Serving

    fun start() {
        if (isDraining) return
        phase = Phase.Waiting
        membership.drain(succeededBy = null)
        emitter.report(StateChange.DrainStarted(callbacks.requestsInProgress()))
    }

    /** Starts the hand-over once all requests in progress are answered. */
    fun advance(nowMillis: Long) {
        if (phase != Phase.Waiting || callbacks.requestsInProgress() > 0) return
        handOver(membership.successorCandidates().take(MAX_CANDIDATES), nowMillis)
    }

    fun onAcknowledged(
        peerAddress: String,
        message: PeerMessage,
        nowMillis: Long,
    ) {
        when (val current = phase) {
            is Phase.HandingOver ->
                if (current.isFor(peerAddress) && current.unacknowledged.remove(message)) {
                    finishIfAcknowledged(current, nowMillis)
                }
            is Phase.Announcing -> onAnnouncementResult(current, message)
            Phase.Serving, Phase.Waiting, Phase.Complete -> Unit
        }
    }

    fun onSendFailed(
        peerAddress: String,
        message: PeerMessage,
        nowMillis: Long,
    ) {
        when (val current = phase) {
            is Phase.HandingOver ->
                if (current.isFor(peerAddress) &&
                    message in current.unacknowledged
                ) {
                    handOver(current.candidates.drop(1), nowMillis)
                }
            is Phase.Announcing -> onAnnouncementResult(current, message)
            Phase.Serving, Phase.Waiting, Phase.Complete -> Unit
        }
    }

    private fun handOver(
        candidates: List<Owner>,
        nowMillis: Long,
    ) {
        val successor = candidates.firstOrNull() ?: return announce(null, nowMillis)
        val messages = callbacks.handOverMessages(nowMillis)
        phase = Phase.HandingOver(candidates, messages.sumOf { it.records.size }, messages.toHashSet())
        messages.forEach { emitter.send(successor, it) }
    }

    private fun finishIfAcknowledged(
        current: Phase.HandingOver,
        nowMillis: Long,
    ) {
        if (current.unacknowledged.isNotEmpty()) return
        val successor = current.candidates.first()
        emitter.report(StateChange.RecordsHandedOver(successor.instanceId, current.records))
        announce(successor, nowMillis)
    }

    // Sent to every peer directly, because this process stops gossiping when it exits.
    private fun announce(
        successor: Owner?,
        nowMillis: Long,
    ) {
        membership.drain(successor?.instanceId)
        val digest = callbacks.finalDigest(nowMillis)
        val peers = membership.successorCandidates()
        phase = Phase.Announcing(digest, peers.size)
        peers.forEach { emitter.send(it, digest) }
        if (peers.isEmpty()) complete()
    }

    private fun onAnnouncementResult(
        current: Phase.Announcing,
        message: PeerMessage,
    ) {
        if (message !== current.digest) return
        current.unanswered--
        if (current.unanswered == 0) complete()
    }

    private fun complete() {
        phase = Phase.Complete
        emitter.emit(Effect.CompleteShutdown)
    }

    private sealed interface Phase {
        data object Serving : Phase

        data object Waiting : Phase

        class HandingOver(
            val candidates: List<Owner>,
            val records: Int,
            val unacknowledged: HashSet<PeerMessage.HandOver>,
        ) : Phase {
            // Acknowledgements of the same messages may still arrive from an earlier candidate.
            fun isFor(peerAddress: String) = candidates.first().peerAddress == peerAddress
        }

        class Announcing(
            val digest: PeerMessage,
            var unanswered: Int,
        ) : Phase

        data object Complete : Phase
    }

    private companion object {
        // Each candidate that does not acknowledge delays the shutdown by up to one second.
        const val MAX_CANDIDATES = 3
    }
}

/** What a [DrainController] needs from the entry instance. */
internal interface DrainCallbacks {
    /** Number of requests that wait for an outcome at this instance. */
    fun requestsInProgress(): Int

    fun handOverMessages(nowMillis: Long): List<PeerMessage.HandOver>

    /** Digest with the fact that names the successor of this instance. */
    fun finalDigest(nowMillis: Long): PeerMessage
}
