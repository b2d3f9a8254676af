package io.jackdawring.core.fleet

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against replacing holders needlessly, too late, or by all members at once. */
class ShardElectionTest {
    private fun member(
        id: String,
        weight: Double = 1.0,
        domain: String = "a",
        incarnation: String = "1",
    ) = FleetMember(InstanceId(id), incarnation, FailureDomainId(domain), "10.0.0.1:1", weight)

    private val self = member("e2")
    private val shard = ShardId(FailureDomainId("a"), 0)
    private val members = listOf(member("e1", 2.0), self, member("e3"), member("x", 9.0, "b"))

    private fun heldBy(holder: FleetMember) = ShardHolding(shard, holder, 7)

    private class Row(
        val name: String,
        val expected: Boolean,
        val claims: ShardElectionTest.() -> Boolean,
    )

    private fun claims(
        holding: ShardHolding?,
        atMillis: Long,
        before: ShardElection.() -> Unit = {},
    ): Boolean {
        val election = ShardElection(self)
        election.before()
        // The first call records since when the shard is vacant.
        election.shouldClaim(shard, holding, members, 0)
        return election.shouldClaim(shard, holding, members, atMillis)
    }

    private fun claimsAfterPause(atMillis: Long): Boolean {
        val election = ShardElection(self)
        election.onHeartbeat(InstanceId("e1"), true, 0)
        election.onPaused(pausedMillis = 2_000, nowMillis = 2_050)
        // Earlier calls record since when the shard is vacant.
        (2_050L until atMillis step 50).forEach { election.shouldClaim(shard, heldBy(members[0]), members, it) }
        return election.shouldClaim(shard, heldBy(members[0]), members, atMillis)
    }

    private val rows =
        listOf(
            Row("a holder that answers keeps its shard", false) {
                claims(heldBy(members[0]), 400) { onHeartbeat(InstanceId("e1"), true, 0) }
            },
            Row("a holder not heard from yet is not suspected at once", false) { claims(heldBy(members[0]), 400) },
            Row("a silent holder is replaced", true) {
                val election = ShardElection(self)
                election.onHeartbeat(InstanceId("e1"), true, 0)
                (1L..1_000L step 50).any { election.shouldClaim(shard, heldBy(members[0]), members, it) }
            },
            Row("an instance that was paused does not suspect a holder for that time", false) {
                claimsAfterPause(atMillis = 2_100)
            },
            Row("a holder that stays silent after the pause is replaced", true) {
                (2_100L..3_000L step 50).any { claimsAfterPause(it) }
            },
            Row("one refused connection is no reason for suspicion", false) {
                claims(heldBy(members[0]), 300) { onRefused(InstanceId("e1"), 0) }
            },
            Row("two refused connections are a reason for suspicion", true) {
                claims(heldBy(members[0]), 300) { repeat(2) { onRefused(InstanceId("e1"), 0) } }
            },
            Row("one denial is no reason for suspicion", false) {
                claims(heldBy(members[0]), 300) { onHeartbeat(InstanceId("e1"), false, 0) }
            },
            Row("a holder that denies twice is replaced", true) {
                claims(heldBy(members[0]), 300) { repeat(2) { onHeartbeat(InstanceId("e1"), false, 0) } }
            },
            Row("a vacant shard is first left to the higher-ranked member", false) { claims(null, 100) },
            Row("a vacant shard is claimed after the delay of this member's rank", true) { claims(null, 160) },
            Row(
                "members that refuse connections, as after a loss of all, do not delay the claim of one that runs",
                true,
            ) {
                val election = ShardElection(self).apply { onRefused(InstanceId("e1"), 0) }
                election.shouldClaim(shard, null, members, 0)
            },
            Row("an earlier incarnation of this instance is replaced at once, whatever the rank", true) {
                ShardElection(self).shouldClaim(shard, heldBy(member("e2", incarnation = "0")), members, 0)
            },
            Row("a claim of this instance whose reply was lost is repeated", true) {
                ShardElection(self).shouldClaim(shard, heldBy(self), members, 0)
            },
            Row("a failed claim is not repeated at once", false) {
                val election = ShardElection(self)
                election.shouldClaim(shard, null, listOf(self), 0)
                election.shouldClaim(shard, null, listOf(self), 50)
            },
        )

    @TestFactory
    fun `claims of a shard`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) { assertEquals(row.expected, row.claims(this)) }
        }

    /** Guards against an instance that reports itself as ready without a live shard holder. */
    @TestFactory
    fun `a holder is confirmed once it has answered and while it is not suspected`() =
        listOf<Triple<String, Boolean, ShardElection.() -> Unit>>(
            Triple("never heard from", false) { isSuspected(heldBy(members[0]), 0) },
            Triple("answered", true) { onHeartbeat(InstanceId("e1"), true, 0) },
            Triple("sent a request to this instance", true) { onPeerRequest(InstanceId("e1"), 0) },
            Triple("answered long ago", false) { onHeartbeat(InstanceId("e1"), true, -1_000) },
            Triple("another member answered", false) { onHeartbeat(InstanceId("e3"), true, 0) },
        ).map { (name, expected, before) ->
            DynamicTest.dynamicTest(name) {
                assertEquals(expected, ShardElection(self).apply(before).isConfirmed(heldBy(members[0]), 0))
            }
        }

    /** Guards against callers that find all listeners closed after a loss of all, because the holder is slow to answer. */
    @TestFactory
    fun `a holder is presumed alive before its answer unless it refuses connections`() =
        listOf<Triple<String, Boolean, ShardElection.() -> Unit>>(
            Triple("never asked", false) {},
            Triple("asked just now", false) { isSuspected(heldBy(members[0]), 190) },
            Triple("asked a while ago", true) { isSuspected(heldBy(members[0]), 150) },
            Triple("asked too long ago", false) { isSuspected(heldBy(members[0]), -300) },
            Triple("refused a connection", false) { onRefused(InstanceId("e1"), 100) },
            Triple("answered", true) { onHeartbeat(InstanceId("e1"), true, 200) },
        ).map { (name, expected, before) ->
            DynamicTest.dynamicTest(name) {
                assertEquals(expected, ShardElection(self).apply(before).isPresumedAlive(heldBy(members[0]), 200))
            }
        }

    @TestFactory
    fun `successors are live members of the failure domain, highest weight first`() =
        listOf<Triple<String, List<String>, ShardElection.() -> Unit>>(
            Triple("nobody heard from", emptyList()) {},
            Triple("all heard from", listOf("e1", "e3")) { members.forEach { onPeerRequest(it.instanceId, 0) } },
            Triple(
                "a holder that was queried and has not answered",
                emptyList(),
            ) { isSuspected(heldBy(members[0]), 0) },
        ).map { (name, expected, before) ->
            DynamicTest.dynamicTest(name) {
                val election = ShardElection(self).apply(before)
                assertEquals(expected, election.successors(members, 100).map { it.instanceId.value })
            }
        }

    private class SeenRow(
        val name: String,
        val atMillis: Long,
        val expectedMillis: Long?,
        val events: ShardElection.() -> Unit,
    )

    private val seenRows =
        listOf(
            SeenRow("no holder is known", 1_000, null) {},
            SeenRow("a holder that never answered", 1_000, null) { onHolder(heldBy(members[0]), 0) },
            SeenRow("a holder that answered", 1_000, 300) {
                onHolder(heldBy(members[0]), 0)
                onHeartbeat(InstanceId("e1"), true, 300)
            },
            SeenRow("a restarted holder that denies it", 1_000, 300) {
                onHolder(heldBy(members[0]), 0)
                onHeartbeat(InstanceId("e1"), true, 300)
                onHeartbeat(InstanceId("e1"), false, 900)
            },
            SeenRow("a successor that took over a moment ago", 1_200, 300) {
                onHolder(heldBy(members[0]), 0)
                onHeartbeat(InstanceId("e1"), true, 300)
                onHolder(ShardHolding(shard, members[2], 8), 800)
                onHeartbeat(InstanceId("e3"), true, 1_100)
            },
            SeenRow("a reply that was read long after its ping was sent", 1_000, 300) {
                onHolder(heldBy(members[0]), 0)
                onHeartbeat(InstanceId("e1"), true, 900, servedAtMillis = 300)
            },
            SeenRow("a successor that took over a moment ago from a holder that never answered", 1_200, null) {
                onHolder(heldBy(members[0]), 0)
                onHolder(ShardHolding(shard, members[2], 8), 800)
                onHeartbeat(InstanceId("e3"), true, 1_100)
            },
            SeenRow("a successor that took over some time ago", 3_000, 2_900) {
                onHolder(heldBy(members[0]), 0)
                onHeartbeat(InstanceId("e1"), true, 300)
                onHolder(ShardHolding(shard, members[2], 8), 800)
                onHeartbeat(InstanceId("e3"), true, 2_900)
            },
        )

    /** Guards against a holder that keeps unclaimed runs of a predecessor because its successor was seen later. */
    @TestFactory
    fun `when the last holder that took in jobs was seen`() =
        seenRows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                assertEquals(
                    row.expectedMillis,
                    ShardElection(self).apply(row.events).lastSeenMillis(shard, row.atMillis),
                )
            }
        }
}
