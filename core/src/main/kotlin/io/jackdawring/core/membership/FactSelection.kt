package io.jackdawring.core.membership

/** Chooses what a digest carries so that its size does not grow with the number of instances. */
internal class FactSelection {
    private var order = 0L

    /** [own], up to [MAX_CHANGED_FACTS] that changed lately, and the one that was not sent for longest. */
    fun facts(
        own: MemberFact,
        members: Collection<Member>,
        successions: SuccessionTable,
        nowMillis: Long,
    ): List<MemberFact> {
        // Facts about suspect members are not spread: they would be taken for news where the member was dropped.
        val choices =
            members.filter { !it.isSuspect && it.fact.succeededBy == null }.map { MemberChoice(it) } +
                successions.values
                    .filter { it.fact.owner != own.owner }
                    .map { SuccessionChoice(it, successions.factOf(it, nowMillis)) }
        val changed = choices.filter { it.sends < CHANGED_FACT_SENDS }.sortedBy { it.sends }.take(MAX_CHANGED_FACTS)
        val chosen = changed.ifEmpty { listOfNotNull(choices.minByOrNull { it.lastSentOrder }) }
        chosen.forEach { it.markSent(++order) }
        return listOf(own) + chosen.map { it.fact }
    }

    fun heartbeats(members: Collection<Member>): List<Heartbeat> =
        members
            .filter { !it.isSuspect && it.fact.succeededBy == null }
            .sortedByDescending { it.advancedMillis }
            .take(MAX_HEARTBEATS)
            .map { Heartbeat(it.token, it.heartbeat, it.tasksInFlight) }

    private interface Choice {
        val fact: MemberFact
        val sends: Int
        val lastSentOrder: Long

        fun markSent(order: Long)
    }

    private class MemberChoice(
        private val member: Member,
    ) : Choice {
        override val fact get() = member.fact
        override val sends get() = member.factSends
        override val lastSentOrder get() = member.lastSentOrder

        override fun markSent(order: Long) {
            member.factSends++
            member.lastSentOrder = order
        }
    }

    private class SuccessionChoice(
        private val entry: SuccessionTable.Entry,
        override val fact: MemberFact,
    ) : Choice {
        override val sends get() = entry.factSends
        override val lastSentOrder get() = entry.lastSentOrder

        override fun markSent(order: Long) {
            entry.factSends++
            entry.lastSentOrder = order
        }
    }

    private companion object {
        const val MAX_CHANGED_FACTS = 3
        const val CHANGED_FACT_SENDS = 6

        /**
         * With 16, a group of 30 wrongly suspected members about 1,000 times a minute; with all 29, fewer than 10 times
         * in 10 minutes.
         */
        const val MAX_HEARTBEATS = 32
    }
}
