package io.jackdawring.server.operator

import io.jackdawring.core.InstanceSnapshot
import io.jackdawring.core.MemberStatus
import io.jackdawring.core.Owner
import io.jackdawring.core.TargetStatus
import io.jackdawring.server.json.lenientJson
import kotlinx.serialization.Serializable

/** The body of `/v1/status`; its field names are independent of the abbreviated ones in peer messages. */
@Serializable
data class StatusDocument(
    val self: InstanceStatus,
    val ready: Boolean,
    val draining: Boolean,
    val configurationVersion: Long,
    val sessions: Int,
    val records: Int,
    val runningJobs: Int,
    val queuedTasks: Int,
    val tasksInFlight: Int,
    val storeReachable: Boolean,
    val members: List<MemberState>,
    val targets: List<TargetState>,
) {
    constructor(snapshot: InstanceSnapshot) : this(
        self = InstanceStatus(snapshot.self),
        ready = snapshot.ready,
        draining = snapshot.draining,
        configurationVersion = snapshot.configurationVersion,
        sessions = snapshot.sessions,
        records = snapshot.records,
        runningJobs = snapshot.runningJobs,
        queuedTasks = snapshot.queuedTasks,
        tasksInFlight = snapshot.tasksInFlight,
        storeReachable = snapshot.storeReachable,
        members = snapshot.members.map(::MemberState),
        targets = snapshot.targets.map(::TargetState),
    )

    companion object {
        /** Parses a status document; fails with [kotlinx.serialization.SerializationException] on anything else. */
        fun parse(text: String): StatusDocument = lenientJson.decodeFromString(serializer(), text)
    }
}

/** One incarnation of an entry instance; [incarnation] is its start as Unix time in milliseconds. */
@Serializable
data class InstanceStatus(
    val instanceId: String,
    val incarnation: Long,
    val address: String,
    val failureDomain: String,
) {
    constructor(owner: Owner) : this(
        owner.instanceId.value,
        owner.incarnation,
        owner.peerAddress,
        owner.failureDomain.value,
    )
}

/** State of another entry instance as seen by the reporting one. */
@Serializable
data class MemberState(
    val instanceId: String,
    val incarnation: Long,
    val address: String,
    val failureDomain: String,
    val state: String,
    val configurationVersion: Long,
) {
    constructor(member: MemberStatus) : this(
        member.owner.instanceId.value,
        member.owner.incarnation,
        member.owner.peerAddress,
        member.owner.failureDomain.value,
        member.state,
        member.configurationVersion,
    )
}

/** State of a target as seen by the reporting instance; [slowness] is actual over expected run time. */
@Serializable
data class TargetState(
    val targetId: String,
    val failureDomain: String,
    val state: String,
    val inFlight: Int,
    val window: Int,
    val slowness: Double,
) {
    constructor(target: TargetStatus) : this(
        target.targetId.value,
        target.failureDomain.value,
        target.state,
        target.inFlight,
        target.window,
        target.slowness,
    )
}
