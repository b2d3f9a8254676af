package io.jackdawring.fleet

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.PauseGuard
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.Admission
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobRequest
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.StepSpec
import io.jackdawring.fleet.metrics.FleetMetrics
import io.jackdawring.fleet.peer.PeerClient
import io.jackdawring.fleet.peer.PeerClocks
import io.jackdawring.fleet.store.FakeKeyValueStore
import io.jackdawring.fleet.store.StoreItem
import io.jackdawring.fleet.store.StoreMirror
import io.jackdawring.server.http.HttpResult
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against healthy holders that get no jobs because a request to them was cancelled. */
class RealShardClientTest {
    private class Row(
        val name: String,
        val expectedUsable: Boolean,
        val result: (FakeHttpClient) -> Unit,
    )

    private val rows =
        listOf(
            Row("an unsent request makes the holder unusable for a while", false) {
                it.open.removeFirst()(HttpResult.NotSent("refused"))
            },
            Row("a request whose connection is reset makes the holder unusable for a while", false) {
                it.open.removeFirst()(HttpResult.NoResponse("reset"))
            },
        )

    private class Fixture {
        val loop = FakeControlLoop()
        val http = FakeHttpClient()
        private val store = FakeKeyValueStore()
        private val directory = FleetDirectory()
        private val mirror = StoreMirror(FleetKeys.ROOT, store, loop) {}
        private val peers = PeerClient(http)
        private val loads = ShardLoads(loop)
        private val shards =
            HeldShards(
                SELF,
                fleetOptions { },
                loop,
                store,
                mirror,
                directory,
                NoTargets,
                peers,
                PeerClocks(),
                loads,
                FleetMetrics(),
                { 0 },
                PauseGuard(),
                { persistentListOf() },
            ) {}
        val client = RealShardClient(SELF, shards, directory, peers, loads, PeerClocks(), loop)

        init {
            assignShard(PEER)
        }

        fun assignShard(member: FleetMember) {
            mirror.applyIfNewer(StoreItem(FleetKeys.shard(ShardId(member.failureDomain, 0)), member.encode(), 1))
            directory.update(mirror)
        }

        fun learnLoads(percents: Map<String, Int>) =
            percents.forEach { (domain, percent) ->
                loads.applyIfNewer(ShardId(FailureDomainId(domain), 0), mapOf(JOB.service to percent), ageMillis = 0)
            }

        fun lessLoaded(job: JobSpec = JOB) = client.findLessLoadedHolders(job).map { it.shardId.failureDomain.value }

        val isUsable: Boolean get() = client.findRemoteHolders(JOB).isNotEmpty()

        fun submit() = client.submit(client.findRemoteHolders(JOB).single(), REQUEST) {}
    }

    @TestFactory
    fun `a holder of another failure domain after a request`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                val fixture = Fixture()
                fixture.submit()
                row.result(fixture.http)
                assertEquals(row.expectedUsable, fixture.isUsable)
            }
        }

    @TestFactory
    fun `a cancelled request leaves its holder usable`() =
        listOf(
            "before it was sent" to HttpResult.NotSent("cancelled", cancelled = true),
            "after it was sent" to HttpResult.NoResponse("cancelled", cancelled = true),
        ).map { (name, result) ->
            DynamicTest.dynamicTest(name) {
                val fixture = Fixture()
                fixture.http.cancelledResult = result
                fixture.submit().cancel()
                assertEquals(true, fixture.isUsable)
            }
        }

    private class LoadRow(
        val pattern: String,
        val percents: Map<String, Int>,
        val expected: Set<String>,
    )

    @TestFactory
    fun `failure domains that are offered a refused job`() =
        listOf(
            LoadRow("no load is known: all", emptyMap(), setOf("b", "c", "d")),
            LoadRow(
                "burst in the local one: all",
                mapOf("a" to 180, "b" to 60, "c" to 70, "d" to 20),
                setOf("b", "c", "d"),
            ),
            LoadRow("burst everywhere: none", mapOf("a" to 180, "b" to 178, "c" to 190, "d" to 250), emptySet()),
            LoadRow("burst in all but one: that one", mapOf("a" to 180, "b" to 190, "c" to 190, "d" to 40), setOf("d")),
            LoadRow("no load is known of one: that one too", mapOf("a" to 180, "b" to 190, "d" to 40), setOf("c", "d")),
            LoadRow(
                "nearly full everywhere: those with capacity",
                mapOf("a" to 85, "b" to 84, "c" to 95, "d" to 86),
                setOf("b", "d"),
            ),
        ).map { row ->
            DynamicTest.dynamicTest(row.pattern) {
                val fixture = Fixture()
                listOf("c", "d").forEach { fixture.assignShard(member(it)) }
                fixture.learnLoads(row.percents)
                assertEquals(row.expected, fixture.lessLoaded().toSet())
            }
        }

    @TestFactory
    fun `jobs that are refused at the same time`() =
        listOf(
            Triple("equal loads: spread over all", mapOf("b" to 50, "c" to 50, "d" to 50), 20..60),
            Triple("unequal loads: the most loaded one gets none", mapOf("b" to 50, "c" to 50, "d" to 80), 0..0),
        ).map { (pattern, percents, expected) ->
            DynamicTest.dynamicTest(pattern) {
                val fixture = Fixture()
                listOf("c", "d").forEach { fixture.assignShard(member(it)) }
                fixture.learnLoads(percents + ("a" to 180))
                val first = List(100) { fixture.lessLoaded(JOB.copy(id = JobId("job$it"))).first() }
                assertEquals(true, first.count { it == "d" } in expected, "${first.groupingBy { it }.eachCount()}")
            }
        }

    @TestFactory
    fun `age of loads`() =
        listOf(500L to setOf("d"), 700L to setOf("b", "c", "d")).map { (ageMillis, expected) ->
            DynamicTest.dynamicTest("after $ageMillis ms") {
                val fixture = Fixture()
                listOf("c", "d").forEach { fixture.assignShard(member(it)) }
                fixture.learnLoads(mapOf("a" to 180, "b" to 190, "c" to 190, "d" to 40))
                fixture.loop.clock.advance(ageMillis)
                assertEquals(expected, fixture.lessLoaded().toSet())
            }
        }

    private companion object {
        val SELF = FleetMember(InstanceId("e1"), "1", FailureDomainId("a"), "10.0.0.1:1", 1.0)
        val PEER = member("b")
        val JOB = JobSpec(JobId("j"), "q", "s", 0, 1, 1.6, 60, "", listOf(StepSpec(1, Resources(1_000), 100)))

        fun member(domain: String) =
            FleetMember(InstanceId("e-$domain"), "1", FailureDomainId(domain), "10.0.0.2:1", 1.0)

        val REQUEST = JobRequest(JOB, 1_000, Admission.EARLY, mayRun = false)
    }
}
