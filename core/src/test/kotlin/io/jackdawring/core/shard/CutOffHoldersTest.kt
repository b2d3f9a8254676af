package io.jackdawring.core.shard

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against a cut off holder that counts as stopped because another one has stopped. */
class CutOffHoldersTest {
    private class Row(
        val name: String,
        /** Fencing token up to which earlier holders go on in the end; null if all have stopped. */
        val upToToken: Long?,
        val areRunsKnown: Boolean = true,
        val play: CutOffHolders.() -> Unit,
    )

    private fun CutOffHolders.stop(
        token: Long,
        cutOffToken: Long? = null,
        areAllRunsThere: Boolean = true,
    ) = onStopped(token, HandOver(persistentListOf(), areAllRunsThere, cutOffToken), stoppedAtMillis = 0)

    private val rows =
        listOf(
            Row("no holder was cut off", null) { stop(5) },
            Row("the cut off holder has not stopped", 5) { onCutOff(5) },
            Row("it has stopped", null) {
                onCutOff(5)
                stop(5)
            },
            Row("it had stopped before it is known that it was cut off", null) {
                stop(5)
                onCutOff(5)
            },
            Row("an earlier holder has stopped", 5) {
                onCutOff(5)
                stop(3)
            },
            Row("a later holder has stopped, which had waited for the cut off one", 5) {
                onCutOff(5)
                stop(7, cutOffToken = 5)
            },
            Row("a later holder has stopped, which had learned that the cut off one has stopped", null) {
                onCutOff(5)
                stop(7)
            },
            Row("an adopter that was cut off itself has stopped", 5) {
                onCutOff(7)
                stop(7, cutOffToken = 5)
            },
            Row("an adopter and the holder before it have stopped, the earlier one first", null) {
                onCutOff(7)
                stop(5)
                stop(7, cutOffToken = 5)
            },
            Row("the cut off holder did not know all runs", null, areRunsKnown = false) {
                onCutOff(5)
                stop(5, areAllRunsThere = false)
            },
            Row("a holder that did not know all runs has nothing to do with the cut off one", 5) {
                onCutOff(5)
                stop(3, areAllRunsThere = false)
            },
        )

    @TestFactory
    fun `holders that may be cut off`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                val holders = CutOffHolders().apply(row.play)
                assertEquals(row.upToToken, holders.upToToken)
                assertEquals(row.areRunsKnown, holders.areRunsKnown)
            }
        }
}
