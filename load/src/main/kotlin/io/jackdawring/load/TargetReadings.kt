package io.jackdawring.load

import io.jackdawring.core.InstanceList
import io.jackdawring.core.InstanceRole
import io.jackdawring.server.http.HttpClient
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResult
import io.jackdawring.standins.StandInTarget
import io.jackdawring.standins.TargetCounts
import io.jackdawring.standins.TaskStart
import kotlinx.serialization.json.Json
import java.util.concurrent.CompletableFuture

/** Counts and starts of the stand-in targets. */
internal interface TargetReadings {
    /** Sum of the counts of all targets, or null if they cannot be read. */
    fun counts(): TargetCounts?

    /** Starts of all targets, or null if they cannot be read. */
    fun starts(): List<TaskStart>?
}

/** Readings of targets in this process. */
internal class LocalTargetReadings(
    private val targets: List<StandInTarget>,
) : TargetReadings {
    override fun counts(): TargetCounts = targets.map { it.counts() }.sum()

    override fun starts(): List<TaskStart> = targets.flatMap { it.starts() }
}

/** Readings of the targets that the platform at [platformAddress] lists, over HTTP; blocks the calling thread. */
internal class RemoteTargetReadings(
    private val client: HttpClient,
    private val platformAddress: String,
) : TargetReadings {
    override fun counts(): TargetCounts? =
        readAll("/counts")?.map { Json.decodeFromString(TargetCounts.serializer(), it) }?.sum()

    override fun starts(): List<TaskStart>? =
        readAll("/starts")?.flatMap { text ->
            text.lines().filter { it.isNotEmpty() }.map { Json.decodeFromString(TaskStart.serializer(), it) }
        }

    private fun readAll(path: String): List<String>? {
        val list = read(platformAddress, "/instances") ?: return null
        val instances = Json.decodeFromString(InstanceList.serializer(), list).instances
        return instances
            .filter { it.role == InstanceRole.TARGET }
            .map { read(it.address, path) ?: return null }
    }

    private fun read(
        address: String,
        path: String,
    ): String? {
        val answer = CompletableFuture<HttpResult>()
        client.send(address, HttpRequestMessage("GET", path), TIMEOUT_MILLIS, answer::complete)
        val response = (answer.get() as? HttpResult.Answered)?.response ?: return null
        return response.body.decodeToString().takeIf { response.status == 200 }
    }

    private companion object {
        const val TIMEOUT_MILLIS = 5_000L
    }
}

private fun List<TargetCounts>.sum(): TargetCounts =
    TargetCounts(
        started = sumOf { it.started },
        succeeded = sumOf { it.succeeded },
        failed = sumOf { it.failed },
        cancelled = sumOf { it.cancelled },
        refusedBusy = sumOf { it.refusedBusy },
        refusedLeaving = sumOf { it.refusedLeaving },
        refusedConnections = sumOf { it.refusedConnections },
        running = sumOf { it.running },
        peakRunning = sumOf { it.peakRunning },
    )
