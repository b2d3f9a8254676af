package io.jackdawring.core.membership

/** State of one incarnation of another instance, as gossip reports it. */
internal class Member(
    var fact: MemberFact,
    var advancedAtMillis: Long,
) {
    val token = Heartbeat.token(fact.owner)

    /** Highest heartbeat received; can be higher than that of [fact]. */
    var heartbeat: Long = fact.heartbeat

    /** Number of tasks in flight at the time of [heartbeat]. */
    var tasksInFlight: Int = fact.tasksInFlight
    var silent = false
    var sendFailed = false

    /** Number of times that [fact] was sent since its content changed. */
    var factSendCount = 0
    var lastSentOrder = 0L

    val isSuspect: Boolean get() = silent || sendFailed

    /** Whether the member gets a share of quotas and slots; one that handed over its records has no work left. */
    val isLive: Boolean get() = !isSuspect && fact.succeededBy == null

    fun hasSameContent(other: MemberFact): Boolean =
        fact.configurationVersion == other.configurationVersion &&
            fact.draining == other.draining &&
            fact.succeededBy == other.succeededBy &&
            fact.successorIncarnation == other.successorIncarnation

    fun stateName(): String =
        when {
            isSuspect -> "suspect"
            fact.succeededBy != null -> "succeeded by ${fact.succeededBy?.value}"
            fact.draining -> "draining"
            else -> "live"
        }
}
