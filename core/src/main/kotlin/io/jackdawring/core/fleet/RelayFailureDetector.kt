package io.jackdawring.core.fleet

import io.jackdawring.core.InstanceId

/** Tells which relays have fallen silent, so that the jobs that they asked for can be dropped. */
class RelayFailureDetector {
    private class Contact(
        val heardAtMillis: Long,
    ) {
        /** Time of own pauses since the last message that does not count as silence. */
        var allowanceMillis = 0L

        fun isSilent(nowMillis: Long) = nowMillis - heardAtMillis >= SILENCE_MILLIS + allowanceMillis
    }

    private val contacts = HashMap<InstanceId, Contact>()

    /** Notes a message of [relay]. */
    fun onHeartbeat(
        relay: InstanceId,
        nowMillis: Long,
    ) {
        contacts[relay] = Contact(nowMillis)
    }

    /** Notes that this instance itself did nothing for [pausedMillis] and may not have read all messages yet. */
    fun onPaused(pausedMillis: Long) =
        contacts.values.forEach {
            it.allowanceMillis = minOf(it.allowanceMillis + pausedMillis, LONGEST_ALLOWANCE_MILLIS)
        }

    /** Relays that have been silent for too long; each is given once. */
    fun takeFailed(nowMillis: Long): List<InstanceId> {
        val silent = contacts.filterValues { it.isSilent(nowMillis) }.keys.toList()
        contacts.keys.removeAll(silent.toSet())
        return silent
    }

    private companion object {
        /** Below the time after which callers send a job again, so that nothing of it runs any more then. */
        const val SILENCE_MILLIS = 700L

        /** Time to read what arrived during pauses; with it, the silence stays below that time as well. */
        const val LONGEST_ALLOWANCE_MILLIS = 300L
    }
}
