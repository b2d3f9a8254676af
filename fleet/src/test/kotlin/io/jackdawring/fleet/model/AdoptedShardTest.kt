package io.jackdawring.fleet.model

import io.jackdawring.fleet.FleetKeys
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against instances that take a shard from each other although its holder is alive. */
class AdoptedShardTest {
    private class Row(
        val name: String,
        /** Instances of the failure domain that is lost, and of each of the two others. */
        val instances: Int,
        /** Time after which the lost instances return; null if they do not. */
        val returnMillis: Long?,
        val maxChanges: Int,
    )

    private val rows =
        listOf(
            Row("the failure domain is lost for good, one instance in each of the others", 1, null, 1),
            Row("the failure domain is lost for good, three instances in each of the others", 3, null, 1),
            // The shard is adopted once and handed back once.
            Row("the failure domain returns, one instance", 1, 25_000, 2),
            Row("the failure domain returns, three instances", 3, 25_000, 2),
        )

    private fun FakeFleet.holderRevision() = store.items["${FleetKeys.SHARDS}a/0"]?.revision

    private fun FakeFleet.countChanges(millis: Long): Int {
        val revisions = LinkedHashSet(listOf(holderRevision()))
        repeat((millis / STEP_MILLIS).toInt()) {
            run(STEP_MILLIS)
            revisions.add(holderRevision())
        }
        return revisions.size - 1
    }

    /** Cuts the instances and targets of the first failure domain off from everything else. */
    private fun FakeFleet.cutOff(millis: Long) {
        val (inside, outside) = (instances.map { it.id } + targets.keys).partition { it.startsWith("a") }
        inside.forEach { cut(it, outside + FakeLinks.STORE, millis) }
    }

    @TestFactory
    fun `a shard of a lost failure domain keeps the holder that has adopted it`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                val fleet = FakeFleet(domains = 3, row.instances, targetsPerDomain = 1)
                fleet.cutOff(row.returnMillis ?: FOREVER_MILLIS)
                val changes = fleet.countChanges(40_000)
                assertTrue(changes >= 1, "the shard was not adopted")
                assertEquals(row.maxChanges, maxOf(changes, row.maxChanges), "changes of the holder")
            }
        }

    private companion object {
        const val STEP_MILLIS = 2L
        const val FOREVER_MILLIS = 1_000_000L
    }
}
