package io.jackdawring.cli.commands

import io.jackdawring.core.MemberStatus
import io.jackdawring.core.Owner
import io.jackdawring.core.TargetStatus
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** What subcommands read of the body of `/v1/status`. */
@Serializable
internal data class Status(
    val self: Owner,
    val ready: Boolean,
    val draining: Boolean,
    val configurationVersion: Long,
    val sessions: Int,
    val runningJobs: Int,
    val queuedTasks: Int,
    val tasksInFlight: Int,
    val storeReachable: Boolean,
    val members: List<MemberStatus>,
    val targets: List<TargetStatus>,
) {
    companion object {
        private val json = Json { ignoreUnknownKeys = true }

        fun parse(text: String): Status = json.decodeFromString(serializer(), text)
    }
}
