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

    /**
     * A run ended that is not known, for example one of an earlier holder or one that was believed to be over.
     *
     * Returns the version of its job's progress that must be stored before the target may forget the end, or null.
     */
    fun onUnknownEnd(
        end: EndedRun,
        nowMillis: Long,
    ): Long?
}
