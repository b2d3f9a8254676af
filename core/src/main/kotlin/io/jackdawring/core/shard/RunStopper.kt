package io.jackdawring.core.shard

/** Requests the stop of runs, and repeats requests that are not answered. */
internal class RunStopper(
    private val effects: ShardEffects,
    private val adoption: AdoptionWindow,
) {
    fun stop(
        run: TrackedRun,
        reason: String,
        nowMillis: Long,
    ) {
        if (run.stopReason != null) return
        run.stopReason = reason
        run.state = TrackedRun.State.STOPPING
        effects.report(toDecision(run, reason, nowMillis))
        send(run, nowMillis)
    }

    private fun toDecision(
        run: TrackedRun,
        reason: String,
        nowMillis: Long,
    ) = ShardDecision.RunStopRequested(
        run.key,
        run.attempt,
        run.target.id,
        reason,
        run.isAdopted,
        unclaimedMillis = if (run.owner == null) nowMillis - run.sentAtMillis else null,
        servedAgoMillis = adoption.servedAtMillis(run.sentAtMillis)?.takeIf { run.isAdopted }?.let { nowMillis - it },
    )

    /** Sends the request unless one was sent within the retry interval. */
    fun send(
        run: TrackedRun,
        nowMillis: Long,
    ) {
        if (run.stopSentAtMillis != Long.MIN_VALUE && nowMillis - run.stopSentAtMillis < RETRY_MILLIS) return
        run.stopSentAtMillis = nowMillis
        effects.stop(run.target.registration, run.key, run.attempt)
    }

    /** Sends the request again if the target has not confirmed it. */
    fun sendAgain(
        run: TrackedRun,
        nowMillis: Long,
    ) {
        if (run.state == TrackedRun.State.STOPPING && run.listedAfterMillis == Long.MAX_VALUE) send(run, nowMillis)
    }

    companion object {
        /** Interval of repeated stop requests; far above the usual round trip. */
        const val RETRY_MILLIS = 200L
    }
}
