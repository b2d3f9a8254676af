package io.jackdawring.fleet

import io.jackdawring.core.shard.PollRequest
import io.jackdawring.core.shard.PollResult
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.core.shard.StartRequest
import io.jackdawring.core.shard.StartResult
import io.jackdawring.core.shard.StopResult
import io.jackdawring.core.shard.TaskKey

/** Gives orders to targets; results arrive on the control thread, each exactly once. */
interface TargetClient {
    fun start(
        target: ShardTarget,
        request: StartRequest,
        fence: Long,
        onResult: (StartResult) -> Unit,
    )

    fun stop(
        target: ShardTarget,
        task: TaskKey,
        attempt: Int,
        fence: Long,
        onResult: (StopResult) -> Unit,
    )

    fun poll(
        target: ShardTarget,
        request: PollRequest,
        fence: Long,
        onResult: (PollResult) -> Unit,
    )
}
