package io.jackdawring.fleet

import io.jackdawring.core.shard.PollRequest
import io.jackdawring.core.shard.PollResult
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.core.shard.StartRequest
import io.jackdawring.core.shard.StartResult
import io.jackdawring.core.shard.StopResult
import io.jackdawring.core.shard.TaskKey

/** Client of a shard without targets; each call fails the test. */
internal object NoTargets : TargetClient {
    override fun start(
        target: ShardTarget,
        request: StartRequest,
        fencingToken: Long,
        onResult: (StartResult) -> Unit,
    ) = error("no targets")

    override fun stop(
        target: ShardTarget,
        task: TaskKey,
        attempt: Int,
        fencingToken: Long,
        onResult: (StopResult) -> Unit,
    ) = error("no targets")

    override fun poll(
        target: ShardTarget,
        request: PollRequest,
        fencingToken: Long,
        onResult: (PollResult) -> Unit,
    ) = error("no targets")
}
