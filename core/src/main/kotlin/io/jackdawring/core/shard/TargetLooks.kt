package io.jackdawring.core.shard

/** Keeps one look open at each target, which renews its lease while it answers. */
internal class TargetLooks(
    private val options: ShardOptions,
    private val outlet: ShardEffects,
) {
    /** Time after which everything that an order started is over, whatever the target's clock. */
    val longestLeaseMillis =
        options.leaseMillis + options.leaseMillis / SLOW_CLOCK_SHARE + options.stopMillis + LEASE_MARGIN_MILLIS

    /** Sends a look unless one is open or not yet due. */
    fun poll(
        target: HeldTarget,
        nowMillis: Long,
    ) {
        if (target.lookOpen || nowMillis < target.nextLookMillis) return
        val sinceAnswerMillis = nowMillis - target.answeredAtMillis
        // Later, another incarnation may answer, whose ends have the same sequences and are not known.
        val acknowledged = if (sinceAnswerMillis <= SHORTEST_RESTART_MILLIS) target.acknowledgedEnd else 0
        // The target would answer at once with the ends that it cannot forget yet.
        val hasNews = acknowledged > target.forgottenEnd
        if (target.openEnds.isNotEmpty() && !hasNews && sinceAnswerMillis < SAVE_WAIT_MILLIS) return
        val held = target.contact == HeldTarget.Contact.HELD
        val leaseUntil = target.clockOffsetMillis?.takeIf { held }?.let { nowMillis + it + options.leaseMillis }
        if (leaseUntil != null) extendLease(target, nowMillis)
        target.lookOpen = true
        target.lookSequence++
        target.lookSentAtMillis = nowMillis
        target.nextLookMillis = nowMillis + if (held) 0 else SILENT_LOOK_INTERVAL_MILLIS
        val wait = if (held) options.lookWaitMillis else 0
        outlet.poll(target.facts, PollRequest(target.lookSequence, leaseUntil, acknowledged, wait))
    }

    /** Replaces the open look, whose answer may be long in coming or too old. */
    fun lookAgain(
        target: HeldTarget,
        nowMillis: Long,
    ) {
        target.lookOpen = false
        target.nextLookMillis = minOf(target.nextLookMillis, nowMillis)
        poll(target, nowMillis)
    }

    /** Gives no further starts or leases to [target] until it answers a look. */
    fun silence(
        target: HeldTarget,
        detail: String,
        nowMillis: Long,
    ) {
        if (target.contact == HeldTarget.Contact.HELD) {
            target.contact = HeldTarget.Contact.SILENT
            target.nextLookMillis = nowMillis
            outlet.report(ShardDecision.TargetChanged(target.id, "silent", detail))
            lookAgain(target, nowMillis)
        }
    }

    /** Notes that an order of now asks for a lease. */
    fun extendLease(
        target: HeldTarget,
        nowMillis: Long,
    ) {
        target.leaseOverAtMillis = maxOf(target.leaseOverAtMillis, nowMillis + longestLeaseMillis)
    }

    private companion object {
        /** Targets' clocks may be 2% slow, as the platform's pages say. */
        const val SLOW_CLOCK_SHARE = 50

        /** Covers the network and the time to end the runs; several round trips. */
        const val LEASE_MARGIN_MILLIS = 60L

        /** Interval of looks at a silent target; short against the lease. */
        const val SILENT_LOOK_INTERVAL_MILLIS = 200L

        /** Pause between looks while ends are being stored; well below the lease. */
        const val SAVE_WAIT_MILLIS = 100L

        /** A target that crashes does not answer as a new incarnation within this time. */
        const val SHORTEST_RESTART_MILLIS = 40L
    }
}
