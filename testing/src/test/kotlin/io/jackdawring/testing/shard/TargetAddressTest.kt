package io.jackdawring.testing.shard

import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.testing.shard.FakeShard.Companion.job
import io.jackdawring.testing.shard.FakeShardTarget.Mode
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against runs that count as over because the list names another address of their target. */
class TargetAddressTest {
    private class Row(
        val name: String,
        /** Number of starts of the four tasks of the job. */
        val starts: Int,
        val test: FakeShard.() -> Unit,
    )

    private val rows =
        listOf(
            Row("an entry names another address for a moment", 4) {
                listAt(OTHER_ADDRESS)
                runFor(50)
                list(targets.map { it.registration })
                runFor(3_000)
            },
            Row("an entry names another address for good: the target that answers is used", 4) {
                listAt(OTHER_ADDRESS)
                runFor(3_000)
            },
            Row("entries of all targets name another address", 4) {
                list(targets.map { it.registration.copy(address = OTHER_ADDRESS) })
                runFor(3_000)
            },
            Row("an entry names another address while the target is silent: the lease ends before a task restarts", 6) {
                targets[0].mode = Mode.SILENT
                runFor(300)
                listAt(OTHER_ADDRESS)
                runFor(4_000)
            },
            Row("an entry names another address while the target is silent for a moment", 4) {
                targets[0].mode = Mode.SILENT
                runFor(250)
                listAt(OTHER_ADDRESS)
                targets[0].mode = Mode.HEALTHY
                runFor(3_000)
            },
            Row("the target restarts at another address, which is listed before", 6) {
                listAt(OTHER_ADDRESS)
                restartAt(targets[0], OTHER_ADDRESS)
                runFor(3_000)
            },
            Row("the target restarts at another address, which is listed later", 6) {
                restartAt(targets[0], OTHER_ADDRESS)
                runFor(500)
                list(targets.map { it.registration })
                runFor(4_000)
            },
        )

    /** Lists the first target at [address]. */
    private fun FakeShard.listAt(address: String) {
        val listed: List<ShardTarget> = targets.map { it.registration }
        list(listOf(listed.first().copy(address = address)) + listed.drop(1))
    }

    @TestFactory
    fun `a target is listed at another address`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                val shard = FakeShard(List(2) { FakeShardTarget("t$it") }).apply { runFor(50) }
                val waiter = shard.submit(job("a", tasks = 4, estimateMillis = 900), remainingMillis = 10_000)
                shard.runFor(100)
                row.test(shard)
                assertEquals(JobOutcome.Completed, shard.answers[waiter]?.outcome)
                assertEquals(row.starts, shard.starts.size, "starts")
            }
        }

    /** Guards against a successor that drops the address which its predecessor has confirmed. */
    @Test
    fun `a successor reaches a target at the address that its predecessor used`() {
        val shard = FakeShard(List(2) { FakeShardTarget("t$it") }).apply { runFor(50) }
        shard.submit(job("a", tasks = 4, estimateMillis = 900), remainingMillis = 10_000)
        shard.runFor(100)
        shard.listAt(OTHER_ADDRESS)
        shard.runFor(100)
        shard.replaceHolder(listed = emptyList(), handOver = true)
        shard.listAt(OTHER_ADDRESS)
        val again = shard.submit(job("a", tasks = 4, estimateMillis = 900), 10_000, mayRun = true)
        shard.runFor(4_000)
        assertEquals(JobOutcome.Completed, shard.answers[again]?.outcome)
        assertEquals(4, shard.starts.size, "starts")
    }

    private companion object {
        const val OTHER_ADDRESS = "10.0.0.9:1"
    }
}
