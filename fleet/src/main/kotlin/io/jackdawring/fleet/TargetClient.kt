package io.jackdawring.fleet

import io.jackdawring.core.shard.PollRequest
import io.jackdawring.core.shard.PollResult
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.core.shard.StartRequest
import io.jackdawring.core.shard.StartResult
import io.jackdawring.core.shard.StopResult
import io.jackdawring.core.shard.TaskKey

/** Sends requests to targets; each call delivers exactly one result, on the control thread. */
interface TargetClient {
    fun start(
        target: ShardTarget,
        request: StartRequest,
        fencingToken: Long,
        onResult: (StartResult) -> Unit,
    )

    fun stop(
        target: ShardTarget,
        task: TaskKey,
        attempt: Int,
        fencingToken: Long,
        onResult: (StopResult) -> Unit,
    )

    fun poll(
        target: ShardTarget,
        request: PollRequest,
        fencingToken: Long,
        onResult: (PollResult) -> Unit,
    )
}
