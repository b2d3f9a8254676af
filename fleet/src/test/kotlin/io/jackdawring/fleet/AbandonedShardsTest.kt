package io.jackdawring.fleet

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.fleet.store.FakeKeyValueStore
import io.jackdawring.fleet.store.StoreEvent
import io.jackdawring.fleet.store.StoreItem
import io.jackdawring.fleet.store.StoreMirror
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against jobs that wait for a failed failure domain, and against taking shards from one that is restarting. */
class AbandonedShardsTest {
    private class Fixture {
        private val store = FakeKeyValueStore()
        private val directory = FleetDirectory()
        private val mirror = StoreMirror(FleetKeys.ROOT, store, FakeControlLoop()) {}
        private val abandoned = AbandonedShards(SELF)

        init {
            mirror.start()
            store.answerList(5, shard(SELF), shard(PEER), member(SELF), member(PEER))
        }

        private fun shard(holder: FleetMember) =
            StoreItem(FleetKeys.shard(ShardId(holder.failureDomain, 0)), holder.encode(), 1)

        private fun member(member: FleetMember) =
            StoreItem(FleetKeys.member(member.instanceId.value), member.encode(), 2)

        fun peerLeaves() = store.answerWatch(6, StoreEvent.Removed(FleetKeys.member("e2"), 6))

        fun peerReturns() =
            store.answerWatch(7, StoreEvent.Written(StoreItem(FleetKeys.member("e2"), PEER.encode(), 7)))

        fun findAt(millis: Long): List<String> {
            directory.update(mirror)
            return abandoned.find(directory, millis).map { it.failureDomain.value }
        }
    }

    private class Row(
        val name: String,
        val expected: List<String>,
        val test: Fixture.() -> List<String>,
    )

    private val rows =
        listOf(
            Row("a failure domain with an instance keeps its shard", emptyList()) {
                findAt(0)
                findAt(10_000)
            },
            Row("a failure domain has time to restart", emptyList()) {
                peerLeaves()
                findAt(0)
                findAt(2_000)
            },
            Row("the shard of an empty failure domain is found", listOf("b")) {
                peerLeaves()
                findAt(0)
                findAt(4_000)
            },
            Row("a failure domain that restarts in time keeps its shard", emptyList()) {
                peerLeaves()
                findAt(0)
                peerReturns()
                findAt(2_000)
                findAt(10_000)
            },
        )

    @TestFactory
    fun `shards without an instance in their failure domain`() =
        rows.map { row -> DynamicTest.dynamicTest(row.name) { assertEquals(row.expected, row.test(Fixture())) } }

    private companion object {
        val SELF = FleetMember(InstanceId("e1"), "1", FailureDomainId("a"), "10.0.0.1:1", 1.0)
        val PEER = FleetMember(InstanceId("e2"), "1", FailureDomainId("b"), "10.0.0.2:1", 1.0)
    }
}
