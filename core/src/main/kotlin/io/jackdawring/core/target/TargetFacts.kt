package io.jackdawring.core.target

import io.jackdawring.core.ListedInstance
import io.jackdawring.core.TargetId
import io.jackdawring.core.membership.TargetFact
import io.jackdawring.core.membership.TargetFactState

/** Highest known fact per target, and the facts that are still being spread. */
internal class TargetFacts {
    private val facts = HashMap<TargetId, TargetFact>()
    private val spreading = LinkedHashMap<TargetId, Spread>()

    private var urgent = false

    /** Rounds that a new fact is spread for. */
    var rounds = EXTRA_ROUNDS
        private set

    operator fun get(targetId: TargetId): TargetFact? = facts[targetId]

    fun setEntryInstances(entryInstances: Int) {
        rounds = Int.SIZE_BITS - (entryInstances - 1).countLeadingZeroBits() + EXTRA_ROUNDS
    }

    /** Keeps [fact] if it is newer than the known one, and returns whether it is. */
    fun accept(fact: TargetFact): Boolean {
        val known = facts[fact.targetId]
        if (known == null && facts.size >= MAX_FACTS) return false
        if (known != null && !fact.isNewerThan(known)) return false
        keep(fact)
        return true
    }

    /** Records an observation of this instance, newer than every fact known about the target. */
    fun publish(
        targetId: TargetId,
        instance: ListedInstance,
        listVersion: Long,
        state: TargetFactState,
    ) {
        val known = facts[targetId]
        val newerList = known == null || listVersion > known.listVersion
        keep(
            TargetFact(
                targetId = targetId,
                address = instance.address,
                listVersion = if (newerList) listVersion else known.listVersion,
                sequence = if (newerList) 1 else known.sequence + 1,
                state = state,
            ),
        )
    }

    /** Facts for one digest: leaving targets first, then the facts that were sent least often. */
    fun take(): List<TargetFact> {
        if (spreading.isEmpty()) return emptyList()
        val taken =
            spreading.values
                .sortedWith(compareBy({ it.fact.state != TargetFactState.LEAVING }, { -it.roundsLeft }))
                .take(MAX_FACTS_PER_DIGEST)
        for (spread in taken) {
            spread.roundsLeft--
            if (spread.roundsLeft <= 0) spreading -= spread.fact.targetId
        }
        return taken.map { it.fact }
    }

    /** Forgets facts about targets that list [listVersion] no longer contains. */
    fun forgetUnlisted(
        listVersion: Long,
        isListed: (TargetId) -> Boolean,
    ) {
        val unlisted = facts.values.filter { it.listVersion < listVersion && !isListed(it.targetId) }
        unlisted.forEach {
            facts -= it.targetId
            spreading -= it.targetId
        }
    }

    /** Whether a target was found to be leaving since the last call. */
    fun takeUrgentFlag(): Boolean = urgent.also { urgent = false }

    private fun keep(fact: TargetFact) {
        if (fact.state == TargetFactState.LEAVING) urgent = true
        facts[fact.targetId] = fact
        spreading[fact.targetId] = Spread(fact, rounds)
    }

    private fun TargetFact.isNewerThan(other: TargetFact): Boolean =
        listVersion > other.listVersion || (listVersion == other.listVersion && sequence > other.sequence)

    private class Spread(
        val fact: TargetFact,
        var roundsLeft: Int,
    )

    companion object {
        /** Added to log2 of the fleet, so that a fact reaches everybody although digests get lost. */
        const val EXTRA_ROUNDS = 4

        /** Bounds a digest when a whole failure domain is isolated; about 2 KB of JSON. */
        const val MAX_FACTS_PER_DIGEST = 16

        /** Bounds the memory for facts about targets that the list does not show yet. */
        const val MAX_FACTS = 8_192
    }
}
