package io.jackdawring.server.operator

import io.jackdawring.core.InstanceSnapshot
import io.jackdawring.core.MemberStatus
import io.jackdawring.core.Owner
import io.jackdawring.core.TargetStatus
import kotlinx.serialization.Serializable

/** The body of `/v1/status`. */
@Serializable
internal data class StatusDocument(
    val self: Owner,
    val ready: Boolean,
    val draining: Boolean,
    val configurationVersion: Long,
    val sessions: Int,
    val records: Int,
    val runningJobs: Int,
    val queuedTasks: Int,
    val tasksInFlight: Int,
    val storeReachable: Boolean,
    val members: List<MemberStatus>,
    val targets: List<TargetStatus>,
) {
    constructor(snapshot: InstanceSnapshot) : this(
        self = snapshot.self,
        ready = snapshot.ready,
        draining = snapshot.draining,
        configurationVersion = snapshot.configurationVersion,
        sessions = snapshot.sessions,
        records = snapshot.records,
        runningJobs = snapshot.runningJobs,
        queuedTasks = snapshot.queuedTasks,
        tasksInFlight = snapshot.tasksInFlight,
        storeReachable = snapshot.storeReachable,
        members = snapshot.members,
        targets = snapshot.targets,
    )
}
