package io.jackdawring.core.membership

/** Selects the contents of a digest, with at most a fixed number of facts and heartbeats to bound its size. */
internal class FactSelection {
    private var sendOrder = 0L

    /** [own] and up to [MAX_CHANGED_FACTS] recently changed facts or, without any, the least recently sent one. */
    fun facts(
        own: MemberFact,
        members: Collection<Member>,
        successions: SuccessionTable,
        nowMillis: Long,
    ): List<MemberFact> {
        // Facts about suspect members are not gossiped: an instance that has dropped the member would add it again.
        val candidates =
            members.filter { !it.isSuspect && it.fact.succeededBy == null }.map { MemberCandidate(it) } +
                successions.values
                    .filter { it.fact.owner != own.owner }
                    .map { SuccessionCandidate(it, successions.factWithAge(it, nowMillis)) }
        val changed =
            candidates.filter { it.sendCount < CHANGED_FACT_SENDS }.sortedBy { it.sendCount }.take(MAX_CHANGED_FACTS)
        val chosen = changed.ifEmpty { listOfNotNull(candidates.minByOrNull { it.lastSentOrder }) }
        chosen.forEach { it.markSent(++sendOrder) }
        return listOf(own) + chosen.map { it.fact }
    }

    fun heartbeats(members: Collection<Member>): List<Heartbeat> =
        members
            .filter { !it.isSuspect && it.fact.succeededBy == null }
            .sortedByDescending { it.advancedAtMillis }
            .take(MAX_HEARTBEATS)
            .map { Heartbeat(it.token, it.heartbeat, it.tasksInFlight) }

    private interface Candidate {
        val fact: MemberFact
        val sendCount: Int
        val lastSentOrder: Long

        fun markSent(sendOrder: Long)
    }

    private class MemberCandidate(
        private val member: Member,
    ) : Candidate {
        override val fact get() = member.fact
        override val sendCount get() = member.factSendCount
        override val lastSentOrder get() = member.lastSentOrder

        override fun markSent(sendOrder: Long) {
            member.factSendCount++
            member.lastSentOrder = sendOrder
        }
    }

    private class SuccessionCandidate(
        private val entry: SuccessionTable.Entry,
        override val fact: MemberFact,
    ) : Candidate {
        override val sendCount get() = entry.factSendCount
        override val lastSentOrder get() = entry.lastSentOrder

        override fun markSent(sendOrder: Long) {
            entry.factSendCount++
            entry.lastSentOrder = sendOrder
        }
    }

    private companion object {
        const val MAX_CHANGED_FACTS = 3
        const val CHANGED_FACT_SENDS = 6

        /**
         * With 16, a group of 30 had about 1,000 false suspicions a minute; with all 29 peers, fewer than 10 in 10
         * minutes.
         */
        const val MAX_HEARTBEATS = 32
    }
}
