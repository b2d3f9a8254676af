package io.jackdawring.fleet

import io.jackdawring.core.shard.LookOrder
import io.jackdawring.core.shard.LookResult
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.core.shard.StartOrder
import io.jackdawring.core.shard.StartResult
import io.jackdawring.core.shard.StopResult
import io.jackdawring.core.shard.TaskKey

/** Gives orders to targets; results arrive on the control thread, each exactly once. */
interface TargetClient {
    fun start(
        target: ShardTarget,
        order: StartOrder,
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

    fun look(
        target: ShardTarget,
        order: LookOrder,
        fence: Long,
        onResult: (LookResult) -> Unit,
    )
}
