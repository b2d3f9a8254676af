package io.jackdawring.core.shard

/** Keeps one long poll in flight to each target, which renews the target's lease as long as it answers. */
internal class TargetPoller(
    private val options: ShardOptions,
    private val effects: ShardEffects,
    private val mayRenewLease: (target: TrackedTarget, nowMillis: Long) -> Boolean,
    /** Time by which each lease of a target has to end; null without a limit. */
    private val leaseLimitMillis: (target: TrackedTarget) -> Long?,
) {
    /** Maximum time for which a run can last without a renewed lease, even if the target's clock is slow. */
    val maxLeaseMillis =
        options.leaseMillis + options.leaseMillis / CLOCK_DRIFT_DIVISOR + options.stopMillis + LEASE_MARGIN_MILLIS

    /** Sends a poll unless one is in flight or the next one is not due; it waits [waitMillis] for the end of a run. */
    fun poll(
        target: TrackedTarget,
        nowMillis: Long,
        waitMillis: Long = options.pollWaitMillis,
    ) {
        if (target.pollInFlight || nowMillis < target.nextPollAtMillis) return
        val sinceAnswerMillis = nowMillis - target.lastAnswerAtMillis
        // If the target has restarted since, these sequence numbers may belong to ended runs that are not known yet.
        val acknowledged = if (sinceAnswerMillis <= MIN_RESTART_MILLIS) target.acknowledgedEnd else 0
        // Without a new acknowledgement, the target would list the same ended runs again, without delay.
        val hasNewAck = acknowledged > target.confirmedAcknowledgedEnd
        if (target.pendingEnds.isNotEmpty() && !hasNewAck && sinceAnswerMillis < SAVE_POLL_INTERVAL_MILLIS) return
        val held = target.contact == TrackedTarget.Contact.HELD
        val leaseUntil = if (held && mayRenewLease(target, nowMillis)) leaseUntil(target, nowMillis) else null
        target.pollInFlight = true
        target.pollSequence++
        target.pollSentAtMillis = nowMillis
        target.nextPollAtMillis = nowMillis + if (held) 0 else SILENT_POLL_INTERVAL_MILLIS
        // With ends that wait to be stored, only a new incarnation would wait, and be noticed that much later.
        val wait = if (held && target.pendingEnds.isEmpty()) waitMillis else 0
        effects.poll(target.registration, PollRequest(target.pollSequence, leaseUntil, acknowledged, wait))
    }

    /** Replaces the poll in flight, whose answer may take long or be outdated. */
    fun pollNow(
        target: TrackedTarget,
        nowMillis: Long,
        waitMillis: Long = options.pollWaitMillis,
    ) {
        target.pollInFlight = false
        target.nextPollAtMillis = minOf(target.nextPollAtMillis, nowMillis)
        poll(target, nowMillis, waitMillis)
    }

    /** Stops starts and lease renewals for [target] until it answers a poll. */
    fun markSilent(
        target: TrackedTarget,
        detail: String,
        nowMillis: Long,
    ) {
        if (target.contact == TrackedTarget.Contact.HELD) {
            target.contact = TrackedTarget.Contact.SILENT
            target.nextPollAtMillis = nowMillis
            effects.report(ShardDecision.TargetChanged(target.id, "silent", detail))
            pollNow(target, nowMillis)
        }
    }

    /**
     * The lease to request from [target] now, on its clock, or null before its first answer.
     *
     * It is the current one unless the lease may be renewed.
     */
    fun leaseUntil(
        target: TrackedTarget,
        nowMillis: Long,
    ): Long? {
        val offset = target.clockOffsetMillis ?: return null
        if (mayRenewLease(target, nowMillis)) {
            val longest = nowMillis + maxLeaseMillis
            val expiresAt = leaseLimitMillis(target)?.let { minOf(it, longest) } ?: longest
            target.isLeaseLimited = expiresAt < longest
            target.leaseExpiresAtMillis = maxOf(target.leaseExpiresAtMillis, expiresAt)
        }
        return target.leaseExpiresAtMillis - maxLeaseMillis + options.leaseMillis + offset
    }

    private companion object {
        /** Targets' clocks may be 2% slow, according to the platform's documentation. */
        const val CLOCK_DRIFT_DIVISOR = 50

        /** Covers the network and the time to end the runs; several round trips. */
        const val LEASE_MARGIN_MILLIS = 60L

        /** Interval of polls to a silent target; short compared with the lease. */
        const val SILENT_POLL_INTERVAL_MILLIS = 200L

        /** Interval of polls while ended runs are being stored; well below the lease. */
        const val SAVE_POLL_INTERVAL_MILLIS = 100L

        /** Minimum time in which a crashed target answers as a new incarnation. */
        const val MIN_RESTART_MILLIS = 40L
    }
}
