package io.jackdawring.core.shard

/** Carries out the orders of a [ShardDispatcher]; results come back through the methods of the dispatcher. */
interface ShardOutlet {
    fun start(
        target: ShardTarget,
        order: StartOrder,
    )

    fun stop(
        target: ShardTarget,
        task: TaskKey,
        attempt: Int,
    )

    fun look(
        target: ShardTarget,
        order: LookOrder,
    )

    fun answer(
        waiter: WaiterId,
        outcome: JobOutcome,
    )

    /** A target has rejected the fence of this holder. */
    fun fenced(target: ShardTarget)

    /** Reports a decision or a change of belief for the log. */
    fun report(decision: ShardDecision)
}
