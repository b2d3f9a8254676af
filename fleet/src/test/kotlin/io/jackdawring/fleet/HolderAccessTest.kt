package io.jackdawring.fleet

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.Admission
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobRequest
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.LookOrder
import io.jackdawring.core.shard.LookResult
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.core.shard.StartOrder
import io.jackdawring.core.shard.StartResult
import io.jackdawring.core.shard.StepSpec
import io.jackdawring.core.shard.StopResult
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.fleet.metrics.FleetMetrics
import io.jackdawring.fleet.peer.PeerClient
import io.jackdawring.fleet.store.FakeKeyValueStore
import io.jackdawring.fleet.store.StoreItem
import io.jackdawring.fleet.store.StoreMirror
import io.jackdawring.server.http.HttpResult
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against healthy holders that get no jobs because a caller took a request back. */
class HolderAccessTest {
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
            Row("a broken request makes the holder unusable for a while", false) {
                it.open.removeFirst()(HttpResult.Broken("reset"))
            },
        )

    private class Scene {
        val loop = FakeControlLoop()
        val http = FakeHttpClient()
        private val store = FakeKeyValueStore()
        private val directory = FleetDirectory()
        private val mirror = StoreMirror(FleetKeys.ROOT, store, loop) {}
        private val peers = PeerClient(http)
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
                FleetMetrics(),
                { 0 },
                { persistentListOf() },
            ) {}
        val access = HolderAccess(SELF, shards, directory, peers, loop)

        init {
            mirror.learn(StoreItem(FleetKeys.shard(ShardId(PEER.failureDomain, 0)), PEER.encode(), 1))
            directory.update(mirror)
        }

        val isUsable: Boolean get() = access.findOtherHolders(JOB).isNotEmpty()

        fun ask() = access.ask(access.findOtherHolders(JOB).single(), REQUEST) {}
    }

    @TestFactory
    fun `a holder of another failure domain after a request`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                val scene = Scene()
                scene.ask()
                row.result(scene.http)
                assertEquals(row.expectedUsable, scene.isUsable)
            }
        }

    @TestFactory
    fun `a request that was taken back leaves its holder usable`() =
        listOf(
            "before it was sent" to HttpResult.NotSent("cancelled", cancelled = true),
            "after it was sent" to HttpResult.Broken("cancelled", cancelled = true),
        ).map { (name, result) ->
            DynamicTest.dynamicTest(name) {
                val scene = Scene()
                scene.http.ofCancelled = result
                scene.ask().cancel()
                assertEquals(true, scene.isUsable)
            }
        }

    private object NoTargets : TargetClient {
        override fun start(
            target: ShardTarget,
            order: StartOrder,
            fence: Long,
            onResult: (StartResult) -> Unit,
        ) = error("no targets")

        override fun stop(
            target: ShardTarget,
            task: TaskKey,
            attempt: Int,
            fence: Long,
            onResult: (StopResult) -> Unit,
        ) = error("no targets")

        override fun look(
            target: ShardTarget,
            order: LookOrder,
            fence: Long,
            onResult: (LookResult) -> Unit,
        ) = error("no targets")
    }

    private companion object {
        val SELF = FleetMember(InstanceId("e1"), "1", FailureDomainId("a"), "10.0.0.1:1", 1.0)
        val PEER = FleetMember(InstanceId("e2"), "1", FailureDomainId("b"), "10.0.0.2:1", 1.0)
        val JOB = JobSpec(JobId("j"), "q", "s", 0, 1, 1.6, 60, "", listOf(StepSpec(1, Resources(1_000), 100)))
        val REQUEST = JobRequest(JOB, 1_000, Admission.ON_TIME, mayRun = false)
    }
}
