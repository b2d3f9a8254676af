package io.jackdawring.fleet

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.PauseGuard
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.Admission
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobRequest
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.StepSpec
import io.jackdawring.fleet.metrics.FleetMetrics
import io.jackdawring.fleet.peer.HandOverMessage
import io.jackdawring.fleet.peer.PeerClient
import io.jackdawring.fleet.store.FakeTransactionalStore
import io.jackdawring.fleet.store.StoreMirror
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class HeldShardsTest {
    private val loop = FakeControlLoop()
    private val store = FakeTransactionalStore(loop)
    private val mirror = StoreMirror(FleetKeys.ROOT, store, loop) {}
    private val shards =
        HeldShards(
            SELF,
            fleetOptions { },
            loop,
            store,
            mirror,
            FleetDirectory(),
            NoTargets,
            PeerClient(FakeHttpClient()),
            ShardLoads(loop),
            FleetMetrics(),
            { 0 },
            PauseGuard(),
            { persistentListOf() },
        ) {}

    /** Guards against two dispatchers of one shard in an instance that is offered a shard it still believes to hold. */
    @Test
    fun `an instance that takes a shard over releases its own earlier holding of it`() {
        mirror.start()
        loop.clock.advance(100)
        shards.maintain()
        loop.clock.advance(100)
        val earlier = assertNotNull(shards.host(SHARD))
        // Another instance has claimed the shard, of which no news has arrived.
        val claimed = store.put(FleetKeys.shard(SHARD), OTHER.encode())
        shards.takeOver(HandOverMessage(SHARD, claimed, targets = emptyList())) {}
        loop.clock.advance(100)
        val outcomes = ArrayList<JobOutcome>()
        earlier.submit("relay", REQUEST) { outcomes.add(it) }
        assertEquals(listOf<JobOutcome>(JobOutcome.Moved), outcomes)
    }

    private companion object {
        val SELF = FleetMember(InstanceId("a1"), "a1-1", FailureDomainId("a"), "10.0.0.1:1", 1.0)
        val OTHER = FleetMember(InstanceId("b1"), "b1-1", FailureDomainId("b"), "10.0.0.2:1", 1.0)
        val SHARD = ShardId(FailureDomainId("a"), 0)
        val JOB =
            JobSpec(
                JobId("j"),
                "q",
                "orders",
                priority = 0,
                maxAttempts = 3,
                stretch = 1.6,
                baseObjectiveMillis = 60,
                payload = "text",
                steps = listOf(StepSpec(1, Resources(1_000, 64), 400)),
            )
        val REQUEST = JobRequest(JOB, remainingMillis = 2_000, Admission.ON_TIME_OR_LATE, mayRun = true)
    }
}
