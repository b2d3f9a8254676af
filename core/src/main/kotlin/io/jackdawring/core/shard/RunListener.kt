package io.jackdawring.core.shard

/** Learns how runs end; a run is no longer on its target when one of these is called. */
internal interface RunListener {
    fun onDone(
        run: HeldRun,
        nowMillis: Long,
    )

    /** The task has failed by its own fault or the target's. */
    fun onFailed(
        run: HeldRun,
        nowMillis: Long,
    )

    /** The run is over without a result or was never started; its task may start again. */
    fun onLost(
        run: HeldRun,
        reason: String,
        nowMillis: Long,
    )

    /** The target says that the order can never be carried out. */
    fun onInvalid(run: HeldRun)

    /** A run of an earlier holder ended before a job claimed it. */
    fun onUnclaimedEnd(
        end: EndedRun,
        nowMillis: Long,
    )
}
