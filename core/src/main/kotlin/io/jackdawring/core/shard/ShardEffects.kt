package io.jackdawring.core.shard

/** Performs the effects of a [ShardDispatcher]; results are passed to the `on...` methods of the dispatcher. */
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

    /** Stores the progress of a durable job from [snapshot]; [ShardDispatcher.onSaved] confirms its version. */
    fun save(
        jobId: JobId,
        snapshot: () -> JobSnapshot,
    )

    /** A durable job has ended in [state], and that is stored. */
    fun ended(
        jobId: JobId,
        state: JobState,
    )

    /** A target has rejected the fencing token of this holder. */
    fun fenced(target: ShardTarget)

    /** Reports a decision or a changed view of a target, for the log and metrics. */
    fun report(decision: ShardDecision)
}
