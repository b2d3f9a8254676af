package io.jackdawring.core.target

import io.jackdawring.core.InstanceList
import io.jackdawring.core.ListedState
import io.jackdawring.core.TargetId
import io.jackdawring.core.entryOptions
import io.jackdawring.core.membership.TargetFact
import io.jackdawring.core.membership.TargetFactState
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against a returned target that stays unused because instances receive the lists at different times. */
class ReturnedTargetTest {
    private class Row(
        val name: String,
        val expectedState: String,
        val steps: TargetPool.() -> Unit,
    )

    private fun TargetPool.list(
        version: Long,
        state: ListedState,
    ) = applyList(InstanceList(version, listOf(listedTarget("t1").copy(state = state))), 0)

    private fun TargetPool.receiveFact(
        state: TargetFactState,
        listVersion: Long,
        sequence: Long = 1,
    ) {
        applyFact(TargetFact(TargetId("t1"), "10.0.0.1:t1", listVersion, sequence, state), 0)
    }

    private val rows =
        listOf(
            Row("a peer with a newer list reports that the target has returned", "usable") {
                list(2, ListedState.LEAVING)
                receiveFact(TargetFactState.RECOVERED, 3)
            },
            Row("the list of this instance follows", "usable") {
                list(2, ListedState.LEAVING)
                receiveFact(TargetFactState.RECOVERED, 3)
                list(3, ListedState.LIVE)
            },
            Row("a peer reports a recovery with the list that shows the target as leaving", "leaving") {
                list(2, ListedState.LEAVING)
                receiveFact(TargetFactState.RECOVERED, 2)
            },
            Row("the target leaves again after it has returned", "leaving") {
                list(2, ListedState.LEAVING)
                receiveFact(TargetFactState.RECOVERED, 3)
                list(4, ListedState.LEAVING)
            },
        )

    @TestFactory
    fun `a target that was listed as leaving`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                val pool = RealTargetPool.Factory.create(entryOptions(ownerIn("a")) { }, {})
                pool.list(1, ListedState.LIVE)
                row.steps(pool)
                assertEquals(row.expectedState, pool.status().single().state)
            }
        }

    /** Guards against gossip of a leaving fact that contradicts a peer with a newer list. */
    @TestFactory
    fun `a newer list of a peer is not contradicted`() =
        listOf(3L to emptyList(), 2L to listOf(TargetFactState.LEAVING)).map { (listVersion, expected) ->
            DynamicTest.dynamicTest("list version $listVersion") {
                val pool = RealTargetPool.Factory.create(entryOptions(ownerIn("a")) { }, {})
                pool.list(1, ListedState.LIVE)
                pool.list(2, ListedState.LEAVING)
                repeat(100) { pool.takeFacts() }
                pool.receiveFact(TargetFactState.RECOVERED, listVersion, sequence = 2)
                assertEquals(expected, pool.takeFacts().map { it.state }.filter { it == TargetFactState.LEAVING })
            }
        }
}
