package io.jackdawring.core.fleet

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against a claim of a shard after which a cut off holder counts as stopped. */
class ShardHoldingTest {
    private class Row(
        val name: String,
        val holder: FleetMember,
        val claimant: FleetMember,
        val hasEnded: Boolean,
        val cutOffRevision: Long?,
        val expected: Long?,
    )

    private val rows =
        listOf(
            Row("a silent holder", member("a1"), member("a2"), false, null, 7),
            Row("a silent holder, after a cut off one", member("a1"), member("a2"), false, 3, 7),
            Row("a holder that has ended", member("a1"), member("a2"), true, null, null),
            Row("a holder that has ended, after a cut off one", member("a1"), member("a2"), true, 3, 3),
            Row("a silent adopter", member("b1"), member("a1"), false, 3, 7),
            Row("the claimant itself, whose claim was not answered", member("b1"), member("b1"), false, 3, 3),
            Row(
                "the claimant itself, before a restart",
                member("b1"),
                member("b1").copy(incarnation = "2"),
                true,
                3,
                3,
            ),
        )

    @TestFactory
    fun `holders that may be cut off when a shard is claimed`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                val holding = ShardHolding(ShardId(FailureDomainId("a"), 0), row.holder, 7, row.cutOffRevision)
                assertEquals(row.expected, holding.cutOffRevisionFor(row.claimant, row.hasEnded))
            }
        }

    private companion object {
        fun member(id: String) = FleetMember(InstanceId(id), "$id-1", FailureDomainId(id.take(1)), id, 1.0)
    }
}
