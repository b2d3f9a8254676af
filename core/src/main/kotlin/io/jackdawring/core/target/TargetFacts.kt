package io.jackdawring.core.target

import io.jackdawring.core.ListedInstance
import io.jackdawring.core.TargetId
import io.jackdawring.core.membership.TargetFact
import io.jackdawring.core.membership.TargetFactState

/** Latest known fact per target, and the facts that are still being disseminated by gossip. */
internal class TargetFacts {
    private val facts = HashMap<TargetId, TargetFact>()
    private val disseminating = LinkedHashMap<TargetId, Dissemination>()

    private var hasUrgentFact = false

    /** Number of gossip rounds in which a new fact is sent. */
    var gossipRounds = EXTRA_ROUNDS
        private set

    operator fun get(targetId: TargetId): TargetFact? = facts[targetId]

    fun setEntryInstances(entryInstances: Int) {
        gossipRounds = Int.SIZE_BITS - (entryInstances - 1).countLeadingZeroBits() + EXTRA_ROUNDS
    }

    /** Stores [fact] if it is newer than the known one, and returns whether it was stored. */
    fun accept(fact: TargetFact): Boolean {
        val known = facts[fact.targetId]
        if (known == null && facts.size >= MAX_FACTS) return false
        if (known != null && !fact.isNewerThan(known)) return false
        store(fact)
        return true
    }

    /** Records an observation of this instance with a higher version than every known fact about the target. */
    fun publish(
        targetId: TargetId,
        instance: ListedInstance,
        listVersion: Long,
        state: TargetFactState,
    ) {
        val known = facts[targetId]
        val newerList = known == null || listVersion > known.listVersion
        store(
            TargetFact(
                targetId = targetId,
                address = instance.address,
                listVersion = if (newerList) listVersion else known.listVersion,
                sequence = if (newerList) 1 else known.sequence + 1,
                state = state,
            ),
        )
    }

    /** Returns the facts for one digest: leaving targets first, then the facts with the most rounds left. */
    fun take(): List<TargetFact> {
        if (disseminating.isEmpty()) return emptyList()
        val taken =
            disseminating.values
                .sortedWith(compareBy({ it.fact.state != TargetFactState.LEAVING }, { -it.roundsLeft }))
                .take(MAX_FACTS_PER_DIGEST)
        for (dissemination in taken) {
            dissemination.roundsLeft--
            if (dissemination.roundsLeft <= 0) disseminating -= dissemination.fact.targetId
        }
        return taken.map { it.fact }
    }

    /** Removes facts about targets that list [listVersion] no longer contains. */
    fun forgetUnlisted(
        listVersion: Long,
        isListed: (TargetId) -> Boolean,
    ) {
        val unlisted = facts.values.filter { it.listVersion < listVersion && !isListed(it.targetId) }
        unlisted.forEach {
            facts -= it.targetId
            disseminating -= it.targetId
        }
    }

    /** Whether a target became known to be leaving since the last call. */
    fun takeUrgentFlag(): Boolean = hasUrgentFact.also { hasUrgentFact = false }

    private fun store(fact: TargetFact) {
        if (fact.state == TargetFactState.LEAVING) hasUrgentFact = true
        facts[fact.targetId] = fact
        disseminating[fact.targetId] = Dissemination(fact, gossipRounds)
    }

    private fun TargetFact.isNewerThan(other: TargetFact): Boolean =
        listVersion > other.listVersion || (listVersion == other.listVersion && sequence > other.sequence)

    private class Dissemination(
        val fact: TargetFact,
        var roundsLeft: Int,
    )

    companion object {
        /** Added to log2 of the fleet size, so that a fact reaches all instances even if digests are lost. */
        const val EXTRA_ROUNDS = 4

        /** Bounds a digest to about 2 KB of JSON when a whole failure domain is isolated. */
        const val MAX_FACTS_PER_DIGEST = 16

        /** Bounds the memory for facts about targets that are not in the list yet. */
        const val MAX_FACTS = 8_192
    }
}
