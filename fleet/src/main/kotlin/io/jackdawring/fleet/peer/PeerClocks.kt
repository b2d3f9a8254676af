package io.jackdawring.fleet.peer

import io.jackdawring.core.InstanceId
import io.jackdawring.core.fleet.FleetMember

/** Estimates the monotonic clocks of peers from their answers to pings; confined to the control thread. */
internal class PeerClocks {
    /** [differenceMillis] is a lower bound of the peer's clock minus the clock of this process. */
    private class Entry(
        val incarnation: String,
        val differenceMillis: Long,
        val atMillis: Long,
    )

    private val entries = HashMap<InstanceId, Entry>()

    /**
     * Records the answer [pong] of [peer] to a ping that was sent at [askedAtMillis].
     *
     * One that took long, for example because this process was paused, does not replace a recent estimate.
     */
    fun onPong(
        peer: InstanceId,
        pong: PongMessage,
        askedAtMillis: Long,
        nowMillis: Long,
    ) {
        val known =
            entries[peer]?.takeIf {
                it.incarnation == pong.incarnation &&
                    nowMillis - it.atMillis < RECENT_MILLIS
            }
        if (known != null && nowMillis - askedAtMillis > SLOW_MILLIS) return
        entries[peer] = Entry(pong.incarnation, pong.clockMillis - nowMillis, nowMillis)
    }

    /** Forgets the clock of [peer], whose estimate may be wrong. */
    fun forget(peer: InstanceId) {
        entries.remove(peer)
    }

    /** The clock of [peer] now, or slightly earlier; null if it is not known. */
    fun clockOf(
        peer: FleetMember,
        nowMillis: Long,
    ): Long? =
        entries[peer.instanceId]?.takeIf { it.incarnation == peer.incarnation }?.let {
            nowMillis +
                it.differenceMillis
        }

    private companion object {
        /** Several rounds of pings; the clocks of two machines differ little in that time. */
        const val RECENT_MILLIS = 1_500L

        /** Longer than round trips between failure domains. */
        const val SLOW_MILLIS = 100L
    }
}
