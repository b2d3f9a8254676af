package io.jackdawring.core.fleet

import io.jackdawring.core.InstanceId

/** Detects relays that have stopped sending, so that the jobs that they forwarded can be dropped. */
class RelayFailureDetector {
    private class RelayState(
        var lastSentMillis: Long,
    ) {
        /** Duration of pauses of this instance since the last message, which do not count towards the timeout. */
        var pauseAllowanceMillis = 0L
        var lastPauseEndMillis = Long.MIN_VALUE

        fun hasTimedOut(nowMillis: Long) = nowMillis - lastSentMillis >= TIMEOUT_MILLIS + pauseAllowanceMillis
    }

    private val relays = HashMap<InstanceId, RelayState>()

    /** Records a message that [relay] sent at [sentAtMillis], on the clock of this instance. */
    fun onHeartbeat(
        relay: InstanceId,
        sentAtMillis: Long,
    ) {
        val state = relays.getOrPut(relay) { RelayState(sentAtMillis) }
        state.lastSentMillis = maxOf(state.lastSentMillis, sentAtMillis)
        // A message from before the end of the pause may have newer ones behind it.
        if (sentAtMillis >= state.lastPauseEndMillis) state.pauseAllowanceMillis = 0
    }

    /** Records that this instance was paused for [pausedMillis] until [nowMillis] and may have unread messages. */
    fun onPaused(
        pausedMillis: Long,
        nowMillis: Long,
    ) = relays.values.forEach {
        it.pauseAllowanceMillis = minOf(it.pauseAllowanceMillis + pausedMillis, MAX_PAUSE_ALLOWANCE_MILLIS)
        it.lastPauseEndMillis = nowMillis
    }

    /** Time at which the last message of [relay] was sent; null if it is not known or has timed out. */
    fun lastSentMillis(relay: InstanceId): Long? = relays[relay]?.lastSentMillis

    /** Removes and returns the relays whose timeout has expired, with the times of their last messages. */
    fun takeFailed(nowMillis: Long): Map<InstanceId, Long> {
        val failed = relays.filterValues { it.hasTimedOut(nowMillis) }.mapValues { it.value.lastSentMillis }
        relays.keys.removeAll(failed.keys)
        return failed
    }

    private companion object {
        /** Less than the time after which callers resend a job, so that no task of it runs any more by then. */
        const val TIMEOUT_MILLIS = 700L

        /** Time to read messages that arrived during pauses; the timeout plus this is still below the resend time. */
        const val MAX_PAUSE_ALLOWANCE_MILLIS = 300L
    }
}
