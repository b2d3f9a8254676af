package io.jackdawring.core.membership

/** What is known about one incarnation of another instance. */
internal class Member(
    var fact: MemberFact,
    var advancedMillis: Long,
) {
    val token = Heartbeat.token(fact.owner)

    /** Highest heartbeat heard; can be ahead of that of [fact]. */
    var heartbeat: Long = fact.heartbeat

    /** Number of tasks in flight at the time of [heartbeat]. */
    var tasksInFlight: Int = fact.tasksInFlight
    var silent = false
    var sendFailed = false

    /** How often [fact] was sent since its content changed. */
    var factSends = 0
    var lastSentOrder = 0L

    val isSuspect: Boolean get() = silent || sendFailed

    /** Whether the member counts for shares; one that handed over its records has no work left. */
    val isLive: Boolean get() = !isSuspect && fact.succeededBy == null

    fun hasContentOf(other: MemberFact): Boolean =
        fact.configurationVersion == other.configurationVersion &&
            fact.draining == other.draining &&
            fact.succeededBy == other.succeededBy &&
            fact.successorIncarnation == other.successorIncarnation

    fun describe(): String =
        when {
            isSuspect -> "suspect"
            fact.succeededBy != null -> "succeeded by ${fact.succeededBy?.value}"
            fact.draining -> "draining"
            else -> "live"
        }
}
