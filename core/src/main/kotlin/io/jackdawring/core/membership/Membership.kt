package io.jackdawring.core.membership

import io.jackdawring.core.EntryOptions
import io.jackdawring.core.InstanceId
import io.jackdawring.core.InstanceList
import io.jackdawring.core.MemberStatus
import io.jackdawring.core.Owner
import io.jackdawring.core.StateChange

/** Tracks the other entry instances by gossip and the platform's list. */
internal interface Membership {
    /** Number of live entry instances, this one included. */
    val liveCount: Int

    /** Tasks in flight of the other live instances at the times of their last heartbeats. */
    val othersInFlight: Int

    /** Index of this instance among the live ones in id order, from 0. */
    val rank: Int

    /** Takes the addresses of entry instances from the platform's list. */
    fun applyList(
        list: InstanceList,
        nowMillis: Long,
    )

    /** Merges the member facts of a digest from [sender]. */
    fun merge(
        sender: Owner,
        facts: List<MemberFact>,
        nowMillis: Long,
    )

    /** Merges the heartbeats of a digest; those of unknown incarnations are ignored until their fact arrives. */
    fun mergeHeartbeats(
        heartbeats: List<Heartbeat>,
        nowMillis: Long,
    )

    /** Records that a message to [peerAddress] was not acknowledged. */
    fun sendFailed(
        peerAddress: String,
        nowMillis: Long,
    )

    /** Records that a message to [peerAddress] was acknowledged. */
    fun sendAcknowledged(
        peerAddress: String,
        nowMillis: Long,
    )

    /** Sets the tasks in flight that this instance reports in its next facts. */
    fun setTasksInFlight(tasksInFlight: Int)

    /** Facts for a digest: always that of this instance, then changed ones before the others in turn. */
    fun facts(
        configurationVersion: Long,
        nowMillis: Long,
    ): List<MemberFact>

    /** The most recently advanced heartbeats of other members for a digest. */
    fun heartbeats(nowMillis: Long): List<Heartbeat>

    /** Peer addresses for the digests that are due at [nowMillis]; empty if none are due. */
    fun takeGossipPeers(nowMillis: Long): List<String>

    /** Makes the next round of digests due early and with a larger fan-out, to spread an urgent fact. */
    fun gossipNow(nowMillis: Long)

    /**
     * Whether [owner] is the current incarnation of a member that is not suspected to be down.
     *
     * An instance not heard from yet is reachable if the platform lists its address and no send to it has failed.
     */
    fun isReachable(owner: Owner): Boolean

    /** Whether [peerAddress] belongs to an entry instance known from the list or from gossip. */
    fun isKnownAddress(peerAddress: String): Boolean

    /** The live incarnation that holds the finished records of [owner] after one or more hand-overs, or null. */
    fun successorOf(owner: Owner): Owner?

    /** Live instances that can take a hand-over: own failure domain first, then others, each by rendezvous hash. */
    fun successorCandidates(): List<Owner>

    /** Marks this instance as draining in all later facts and, once known, names its successor. */
    fun drain(succeededBy: InstanceId?)

    fun nextTimerMillis(): Long?

    /** Marks members whose heartbeats have stopped as suspect, and drops them later. */
    fun onTimer(nowMillis: Long)

    fun status(): List<MemberStatus>

    /** Creates memberships. */
    fun interface Factory {
        fun create(
            options: EntryOptions,
            report: (StateChange) -> Unit,
        ): Membership
    }
}
