package io.jackdawring.fleet

import io.jackdawring.core.InstanceId

/**
 * Remembers for how long peers did not answer because a path was possibly cut; confined to the control thread.
 *
 * When a path is whole again, the network delivers requests of callers that it has held up. These callers may have gone,
 * which shows only when the ends of their connections are delivered too.
 */
internal class PeerSilence {
    private class PeerState {
        var incarnation: String? = null
        var askedSinceMillis: Long? = null
    }

    private val peers = HashMap<InstanceId, PeerState>()
    private var unansweredSinceMillis: Long? = null
    private var heldUpUntilMillis = Long.MIN_VALUE

    /** Records that [peer] was asked for an answer. */
    fun onAsked(
        peer: InstanceId,
        nowMillis: Long,
    ) {
        val state = peers.getOrPut(peer) { PeerState() }
        state.askedSinceMillis = state.askedSinceMillis ?: nowMillis
        unansweredSinceMillis = unansweredSinceMillis ?: nowMillis
    }

    /** Records that no process listens at the address of [peer], which shows that the path to it is whole. */
    fun onRefused(peer: InstanceId) {
        peers.remove(peer)
        unansweredSinceMillis = null
    }

    /** Records an answer of [peer]; one of a new [incarnation] ends no cut. */
    fun onAnswered(
        peer: InstanceId,
        incarnation: String,
        nowMillis: Long,
    ) {
        val state = peers.getOrPut(peer) { PeerState() }
        val silentMillis = state.askedSinceMillis?.let { nowMillis - it } ?: 0
        val isSameProcess = state.incarnation == incarnation
        state.askedSinceMillis = null
        state.incarnation = incarnation
        unansweredSinceMillis = null
        if (silentMillis < MIN_SILENCE_MILLIS || !isSameProcess) return
        heldUpUntilMillis = maxOf(heldUpUntilMillis, nowMillis + minOf(silentMillis, MAX_RETRANSMISSION_MILLIS))
    }

    /** Whether a request that arrives now may have been held up. */
    fun mayHoldUp(nowMillis: Long): Boolean {
        // The path of the callers may be whole before those of all peers.
        val areAllSilent = unansweredSinceMillis?.let { nowMillis - it >= MIN_SILENCE_MILLIS } == true
        return areAllSilent || nowMillis < heldUpUntilMillis
    }

    companion object {
        /** Time for the end of a connection to follow the last request on it; several round trips. */
        const val SETTLE_MILLIS = 15L

        /** Two rounds of pings without an answer; callers wait for longer. */
        private const val MIN_SILENCE_MILLIS = 400L

        /** TCP sends again after up to the time that has passed; callers keep no connection open for longer. */
        private const val MAX_RETRANSMISSION_MILLIS = 30_000L
    }
}
