package io.jackdawring.core.fleet

import io.jackdawring.core.InstanceId

/** Tells which relays have fallen silent, so that the jobs that they asked for can be dropped. */
class RelayContacts {
    private val heardAtMillis = HashMap<InstanceId, Long>()

    /** Notes a message of [relay]. */
    fun onHeard(
        relay: InstanceId,
        nowMillis: Long,
    ) {
        heardAtMillis[relay] = nowMillis
    }

    /** Notes that this instance itself did nothing for [pausedMillis] and may not have read all messages yet. */
    fun onPaused(
        pausedMillis: Long,
        nowMillis: Long,
    ) {
        val allowanceMillis = minOf(pausedMillis, LONGEST_ALLOWANCE_MILLIS)
        heardAtMillis.replaceAll { _, heardAt -> minOf(nowMillis, heardAt + allowanceMillis) }
    }

    /** Relays that have been silent for too long; each is given once. */
    fun takeSilent(nowMillis: Long): List<InstanceId> {
        val silent = heardAtMillis.filterValues { nowMillis - it >= SILENCE_MILLIS }.keys.toList()
        heardAtMillis.keys.removeAll(silent.toSet())
        return silent
    }

    private companion object {
        /** Below the time after which callers send a job again, so that nothing of it runs any more then. */
        const val SILENCE_MILLIS = 700L

        /** Time to read what arrived during a pause; with it, the silence stays below that time as well. */
        const val LONGEST_ALLOWANCE_MILLIS = 300L
    }
}
