package io.jackdawring.core.shard

/** Carries out the orders of a [ShardDispatcher]; results come back through the methods of the dispatcher. */
interface ShardEffects {
    fun start(
        target: ShardTarget,
        request: StartRequest,
    )

    fun stop(
        target: ShardTarget,
        task: TaskKey,
        attempt: Int,
    )

    fun poll(
        target: ShardTarget,
        request: PollRequest,
    )

    fun answer(
        waiter: WaiterId,
        outcome: JobOutcome,
    )

    /** Stores the progress of a kept job, which [snapshot] gives; [ShardDispatcher.onSaved] confirms its version. */
    fun save(
        jobId: JobId,
        snapshot: () -> JobSnapshot,
    )

    /** A kept job has ended in [state], and that is stored. */
    fun ended(
        jobId: JobId,
        state: JobState,
    )

    /** A target has rejected the fence of this holder. */
    fun fenced(target: ShardTarget)

    /** Reports a decision or a change of belief for the log. */
    fun report(decision: ShardDecision)
}
