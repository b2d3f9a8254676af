package io.jackdawring.core

import kotlinx.collections.immutable.ImmutableList
import kotlinx.serialization.Serializable

/** State of an [EntryInstance] at one point in time. */
data class InstanceSnapshot(
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
    val members: ImmutableList<MemberStatus>,
    val targets: ImmutableList<TargetStatus>,
)

/** What this instance knows about another entry instance. */
@Serializable
data class MemberStatus(
    val owner: Owner,
    val state: String,
    val configurationVersion: Long,
)

/** What this instance knows about a target; [slowness] is the ratio of actual to expected run time. */
@Serializable
data class TargetStatus(
    val targetId: TargetId,
    val failureDomain: FailureDomainId,
    val state: String,
    val inFlight: Int,
    val window: Int,
    val slowness: Double,
)
