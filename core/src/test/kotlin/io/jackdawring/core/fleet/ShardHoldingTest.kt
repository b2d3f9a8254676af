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
        val cutOffRevision: Long?,
        val expected: Long?,
    )

    private val rows =
        listOf(
            Row("another instance of the domain", member("a1"), member("a2"), null, null),
            Row("another instance of the domain, after a cut off holder", member("a1"), member("a2"), 3, 3),
            Row("an instance of another domain", member("a1"), member("b1"), null, 7),
            Row("an instance of another domain, from an adopter", member("b1"), member("c1"), 3, 7),
            Row("an instance of the domain, from an adopter", member("b1"), member("a1"), 3, 7),
            Row("the adopter, whose claim was not answered", member("b1"), member("b1"), 3, 3),
            Row("the adopter, after a restart", member("b1"), member("b1").copy(incarnation = "b1-2"), 3, 7),
        )

    @TestFactory
    fun `holders that may be cut off when a shard is claimed`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                val holding = ShardHolding(ShardId(FailureDomainId("a"), 0), row.holder, 7, row.cutOffRevision)
                assertEquals(row.expected, holding.cutOffRevisionFor(row.claimant))
            }
        }

    private companion object {
        fun member(id: String) = FleetMember(InstanceId(id), "$id-1", FailureDomainId(id.take(1)), id, 1.0)
    }
}
