package io.jackdawring.fleet.model

import io.jackdawring.core.shard.PollRequest
import io.jackdawring.core.shard.PollResult
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.core.shard.StartRequest
import io.jackdawring.core.shard.StartResult
import io.jackdawring.core.shard.StopResult
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.fleet.TargetClient

/** Connections of the entry instance [node] to the targets of [fleet]. */
internal class FakeTargetClient(
    private val node: String,
    private val process: FakeProcess,
    private val fleet: FakeFleet,
) : TargetClient {
    override fun start(
        target: ShardTarget,
        request: StartRequest,
        fencingToken: Long,
        onResult: (StartResult) -> Unit,
    ) {
        val task = request.task
        val name = "${task.jobId.value}.${task.step}.${task.index}#${request.attempt}"
        fleet.trace.add("$node orders $name on ${target.id.value}, token $fencingToken", task.jobId)
        val unsent = StartResult.NotSent("refused")
        send<StartResult>(target, TIMEOUT_MILLIS, StartResult.Unknown("timed out"), unsent, onResult) { fake, respond ->
            respond(fake.start(request, fencingToken, fleet.demandOf(task), fleet.durationOf(task)))
        }
    }

    override fun stop(
        target: ShardTarget,
        task: TaskKey,
        attempt: Int,
        fencingToken: Long,
        onResult: (StopResult) -> Unit,
    ) {
        fleet.trace.add("$node stops ${task.step}.${task.index}#$attempt on ${target.id.value}", task.jobId)
        val unknown = StopResult.Unknown("timed out")
        send<StopResult>(target, TIMEOUT_MILLIS, unknown, unknown, onResult) { fake, respond ->
            respond(fake.stop(task, attempt, fencingToken))
        }
    }

    override fun poll(
        target: ShardTarget,
        request: PollRequest,
        fencingToken: Long,
        onResult: (PollResult) -> Unit,
    ) {
        val unknown = PollResult.Unknown("timed out")
        send<PollResult>(target, request.waitMillis + TIMEOUT_MILLIS, unknown, unknown, onResult) { fake, respond ->
            fake.poll(request, fencingToken, respond)
        }
    }

    private fun <T> send(
        target: ShardTarget,
        timeoutMillis: Long,
        unknown: T,
        unsent: T,
        onResult: (T) -> Unit,
        perform: (FakeFleetTarget, (T) -> Unit) -> Unit,
    ) {
        var completed = false
        val complete = { result: T ->
            if (!completed) {
                completed = true
                onResult(result)
            }
        }
        val id = target.id.value
        val fake = fleet.targets.getValue(id)
        val respond = { result: T ->
            if (!fleet.targetFaults.losesAnswer(id)) {
                fleet.links.transmit(id, node) { process.receive { complete(result) } }
            }
        }
        process.schedule(timeoutMillis) { complete(unknown) }
        fleet.links.transmit(node, id) {
            when {
                fleet.targetFaults.isSilent(id) -> fleet.targetFaults.delay(id) { perform(fake) {} }
                fleet.clock.nowMillis < fake.startingUntilMillis -> respond(unsent)
                else -> perform(fake, respond)
            }
        }
    }

    private companion object {
        const val TIMEOUT_MILLIS = 200L
    }
}
