package io.jackdawring.core.membership

import io.jackdawring.core.InstanceId
import io.jackdawring.core.Owner

/**
 * Facts that name the successor of an incarnation.
 *
 * They are kept for [lifetimeMillis], the longest time that a session of that incarnation lives. Facts with less than
 * [marginMillis] left are ignored; otherwise instances would refresh each other's expiring facts indefinitely.
 */
internal class SuccessionTable(
    private val lifetimeMillis: Long,
    private val marginMillis: Long,
) {
    class Entry(
        var fact: MemberFact,
        var expiresAtMillis: Long,
    ) {
        var factSendCount = 0
        var lastSentOrder = 0L
    }

    private val entries = LinkedHashMap<Incarnation, Entry>()

    val values: Collection<Entry> get() = entries.values

    fun isExpired(fact: MemberFact): Boolean =
        fact.succeededBy != null && fact.successionAgeMillis + marginMillis >= lifetimeMillis

    /** Stores [fact] if it names a successor and is newer than the stored one. */
    fun merge(
        fact: MemberFact,
        nowMillis: Long,
    ) {
        if (fact.succeededBy == null || isExpired(fact)) return
        val key = Incarnation(fact.owner.instanceId, fact.owner.incarnation)
        val expiresAtMillis = nowMillis + lifetimeMillis - fact.successionAgeMillis
        val entry = entries[key]
        when {
            entry == null -> {
                if (entries.size >= MAX_ENTRIES) entries.remove(entries.keys.first())
                entries[key] = Entry(fact, expiresAtMillis)
            }
            fact.heartbeat > entry.fact.heartbeat -> {
                entry.fact = fact
                entry.expiresAtMillis = expiresAtMillis
            }
        }
    }

    fun expire(nowMillis: Long) {
        entries.values.removeAll { it.expiresAtMillis <= nowMillis }
    }

    /** The fact of [entry] with its current age. */
    fun factWithAge(
        entry: Entry,
        nowMillis: Long,
    ): MemberFact = entry.fact.copy(successionAgeMillis = lifetimeMillis - (entry.expiresAtMillis - nowMillis))

    /** Follows the successors of [owner] and returns the last one if [findLive] finds it live, or null. */
    fun findLiveHolder(
        owner: Owner,
        findLive: (InstanceId, Long?) -> Owner?,
    ): Owner? {
        val visited = HashSet<Incarnation>()
        var current = Incarnation(owner.instanceId, owner.incarnation)
        while (visited.size < MAX_CHAIN_LENGTH && visited.add(current)) {
            val fact = entries[current]?.fact ?: return null
            val next = fact.succeededBy ?: return null
            val incarnation = fact.successorIncarnation ?: findLive(next, null)?.incarnation ?: return null
            current = Incarnation(next, incarnation)
            if (current !in entries) return findLive(next, incarnation)
        }
        return null
    }

    private data class Incarnation(
        val instanceId: InstanceId,
        val incarnation: Long,
    )

    private companion object {
        /** Keeps memory below 1 MB; 110 restarts a day leave only about one entry per session lifetime. */
        const val MAX_ENTRIES = 1_000

        /** A session lifetime of 10 min with restarts every 30 s gives a chain of 20. */
        const val MAX_CHAIN_LENGTH = 32
    }
}
