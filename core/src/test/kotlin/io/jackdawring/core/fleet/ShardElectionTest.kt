package io.jackdawring.core.fleet

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against holders that are replaced without need, too late, or by all members at once. */
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

    private fun holdBy(holder: FleetMember) = ShardHolding(shard, holder, 7)

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
        // The vacancy is noted by the first question.
        election.shouldClaim(shard, holding, members, 0)
        return election.shouldClaim(shard, holding, members, atMillis)
    }

    private fun claimsAfterPause(atMillis: Long): Boolean {
        val election = ShardElection(self)
        election.onHeartbeat(InstanceId("e1"), true, 0)
        election.onPaused(pausedMillis = 2_000, nowMillis = 2_050)
        // The vacancy is noted by an earlier question.
        (2_050L until atMillis step 50).forEach { election.shouldClaim(shard, holdBy(members[0]), members, it) }
        return election.shouldClaim(shard, holdBy(members[0]), members, atMillis)
    }

    private val rows =
        listOf(
            Row("a holder that answers keeps its shard", false) {
                claims(holdBy(members[0]), 400) { onHeartbeat(InstanceId("e1"), true, 0) }
            },
            Row("a holder that was never heard is given time", false) { claims(holdBy(members[0]), 400) },
            Row("a silent holder is replaced", true) {
                val election = ShardElection(self)
                election.onHeartbeat(InstanceId("e1"), true, 0)
                (1L..1_000L step 50).any { election.shouldClaim(shard, holdBy(members[0]), members, it) }
            },
            Row("an instance that was paused itself does not replace the holder it could not hear", false) {
                claimsAfterPause(atMillis = 2_100)
            },
            Row("a holder that stays silent after the pause is replaced", true) {
                (2_100L..3_000L step 50).any { claimsAfterPause(it) }
            },
            Row("one refused connection is no reason", false) {
                claims(holdBy(members[0]), 300) { onRefused(InstanceId("e1"), 0) }
            },
            Row("refused connections are a reason", true) {
                claims(holdBy(members[0]), 300) { repeat(2) { onRefused(InstanceId("e1"), 0) } }
            },
            Row("one denial may have crossed the claim", false) {
                claims(holdBy(members[0]), 300) { onHeartbeat(InstanceId("e1"), false, 0) }
            },
            Row("a holder that denies holding is replaced", true) {
                claims(holdBy(members[0]), 300) { repeat(2) { onHeartbeat(InstanceId("e1"), false, 0) } }
            },
            Row("a vacant shard is left to the better member at first", false) { claims(null, 100) },
            Row("a vacant shard is taken after the better member's time", true) { claims(null, 160) },
            Row("the own earlier incarnation is replaced at once, whatever the rank", true) {
                ShardElection(self).shouldClaim(shard, holdBy(member("e2", incarnation = "0")), members, 0)
            },
            Row("an own claim whose answer was lost is repeated", true) {
                ShardElection(self).shouldClaim(shard, holdBy(self), members, 0)
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

    /** Guards against an instance that calls itself ready while its holder is gone. */
    @TestFactory
    fun `a holder is confirmed once it has answered and while it is not suspected`() =
        listOf<Triple<String, Boolean, ShardElection.() -> Unit>>(
            Triple("never heard", false) { isSuspected(holdBy(members[0]), 0) },
            Triple("answered", true) { onHeartbeat(InstanceId("e1"), true, 0) },
            Triple("asked this instance", true) { onPeerRequest(InstanceId("e1"), 0) },
            Triple("answered long ago", false) { onHeartbeat(InstanceId("e1"), true, -1_000) },
            Triple("another member answered", false) { onHeartbeat(InstanceId("e3"), true, 0) },
        ).map { (name, expected, before) ->
            DynamicTest.dynamicTest(name) {
                assertEquals(expected, ShardElection(self).apply(before).isConfirmed(holdBy(members[0]), 0))
            }
        }

    @TestFactory
    fun `successors are live members of the failure domain, the strongest first`() =
        listOf(
            "nobody heard" to emptyList<String>(),
            "all heard" to listOf("e1", "e3"),
        ).map { (name, expected) ->
            DynamicTest.dynamicTest(name) {
                val election = ShardElection(self)
                if (expected.isNotEmpty()) members.forEach { election.onPeerRequest(it.instanceId, 0) }
                assertEquals(expected, election.successors(members, 100).map { it.instanceId.value })
            }
        }
}
