package io.jackdawring.core.shard

/** Gives orders to stop runs, again while there is no answer. */
internal class StopOrders(
    private val outlet: ShardEffects,
) {
    fun stop(
        run: HeldRun,
        reason: String,
        nowMillis: Long,
    ) {
        if (run.stopReason != null) return
        run.stopReason = reason
        run.state = HeldRun.State.STOPPING
        send(run, nowMillis)
    }

    /** Sends the order unless one was sent just now. */
    fun send(
        run: HeldRun,
        nowMillis: Long,
    ) {
        if (run.stopSentAtMillis != Long.MIN_VALUE && nowMillis - run.stopSentAtMillis < RETRY_MILLIS) return
        run.stopSentAtMillis = nowMillis
        outlet.stop(run.target.facts, run.key, run.attempt)
    }

    /** Sends the order again if the target has not confirmed it. */
    fun sendAgain(
        run: HeldRun,
        nowMillis: Long,
    ) {
        if (run.state == HeldRun.State.STOPPING && run.listedFromMillis == Long.MAX_VALUE) send(run, nowMillis)
    }

    private companion object {
        /** Interval of stop orders without an answer; above the usual round trip by far. */
        const val RETRY_MILLIS = 200L
    }
}
