package io.jackdawring.fleet.peer

import io.jackdawring.core.InstanceId
import io.jackdawring.core.fleet.FleetMember

/** Estimates the monotonic clocks of peers from their answers to pings; confined to the control thread. */
internal class PeerClocks {
    /** [differenceMillis] is a lower bound of the peer's clock minus the clock of this process. */
    private class Entry(
        val incarnation: String,
        val differenceMillis: Long,
    )

    private val entries = HashMap<InstanceId, Entry>()

    /** Records that [peer] sent [pong] a moment ago. */
    fun onPong(
        peer: InstanceId,
        pong: PongMessage,
        nowMillis: Long,
    ) {
        entries[peer] = Entry(pong.incarnation, pong.clockMillis - nowMillis)
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
}
