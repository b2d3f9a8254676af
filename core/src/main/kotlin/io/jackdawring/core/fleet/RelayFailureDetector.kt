package io.jackdawring.core.fleet

import io.jackdawring.core.InstanceId

/** Detects relays that have stopped sending, so that the jobs that they forwarded can be dropped. */
class RelayFailureDetector {
    private class RelayState(
        val lastHeardMillis: Long,
    ) {
        /** Duration of pauses of this instance since the last message, which do not count towards the timeout. */
        var pauseAllowanceMillis = 0L

        fun hasTimedOut(nowMillis: Long) = nowMillis - lastHeardMillis >= TIMEOUT_MILLIS + pauseAllowanceMillis
    }

    private val relays = HashMap<InstanceId, RelayState>()

    /** Records a message from [relay]. */
    fun onHeartbeat(
        relay: InstanceId,
        nowMillis: Long,
    ) {
        relays[relay] = RelayState(nowMillis)
    }

    /** Records that this instance was paused for [pausedMillis] and may have unread messages. */
    fun onPaused(pausedMillis: Long) =
        relays.values.forEach {
            it.pauseAllowanceMillis = minOf(it.pauseAllowanceMillis + pausedMillis, MAX_PAUSE_ALLOWANCE_MILLIS)
        }

    /** Removes and returns the relays whose timeout has expired. */
    fun takeFailed(nowMillis: Long): List<InstanceId> {
        val failed = relays.filterValues { it.hasTimedOut(nowMillis) }.keys.toList()
        relays.keys.removeAll(failed.toSet())
        return failed
    }

    private companion object {
        /** Less than the time after which callers resend a job, so that no task of it runs any more by then. */
        const val TIMEOUT_MILLIS = 700L

        /** Time to read messages that arrived during pauses; the timeout plus this is still below the resend time. */
        const val MAX_PAUSE_ALLOWANCE_MILLIS = 300L
    }
}
