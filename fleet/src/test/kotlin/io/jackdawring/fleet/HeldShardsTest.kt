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
import io.jackdawring.fleet.peer.PeerClocks
import io.jackdawring.fleet.store.FakeTransactionalStore
import io.jackdawring.fleet.store.StoreMirror
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotNull
import kotlin.test.assertNull

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
            PeerClocks(),
            ShardLoads(loop),
            FleetMetrics(),
            { 0 },
            PauseGuard(),
            { persistentListOf() },
        ) { onHeldChanged() }
    private var onHeldChanged = {}

    /** Guards against a shard that is held, but whose durable jobs are never loaded, so that none can move to it. */
    @Test
    fun `a holder whose listener fails when it takes the shard still loads its jobs`() {
        mirror.start()
        loop.clock.advance(100)
        onHeldChanged = { error("the callers' address is in use") }
        shards.maintain()
        assertFailsWith<IllegalStateException> { loop.clock.advance(100) }
        loop.clock.advance(100)
        assertEquals(0, assertNotNull(shards.host(SHARD)).pendingJobs("q"))
    }

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

    /** Guards against a cut off holder that counts as stopped after further holders of its shard. */
    @Test
    fun `a shard that an instance takes from an adopter keeps what the store says of a cut off holder`() {
        repeat(3) { store.put(FleetKeys.shard(SHARD), OTHER.encode()) }
        val claimed = store.put(FleetKeys.shard(SHARD), OTHER.encodeClaim(cutOffRevision = 3))
        mirror.start()
        loop.clock.advance(100)
        shards.takeOver(HandOverMessage(SHARD, claimed, targets = emptyList(), cutOffRevision = 3)) {}
        loop.clock.advance(100)
        val directory = FleetDirectory().apply { update(mirror) }
        assertEquals(SELF, directory.holdings[SHARD]?.holder)
        assertEquals(3, directory.holdings[SHARD]?.cutOffRevision)
        assertEquals(3, assertNotNull(shards.host(SHARD)).handOver().cutOffToken)
    }

    /** Guards against jobs that wait in vain for a holder that has stopped. */
    @Test
    fun `a holder learns that the cut off one has stopped`() {
        val cutOff = store.put(FleetKeys.shard(SHARD), SELF.encode())
        val claimed = store.put(FleetKeys.shard(SHARD), OTHER.encode())
        mirror.start()
        loop.clock.advance(100)
        shards.takeOver(HandOverMessage(SHARD, claimed, targets = emptyList(), cutOffRevision = cutOff)) {}
        loop.clock.advance(100)
        val host = assertNotNull(shards.host(SHARD))
        assertEquals(cutOff, host.handOver().cutOffToken)
        assertEquals(true, shards.onHolderStopped(HandOverMessage(SHARD, cutOff, emptyList(), areAllRunsThere = true)))
        assertNull(host.handOver().cutOffToken)
        val later = HandOverMessage(SHARD, host.holding.revision, emptyList())
        assertEquals(false, shards.onHolderStopped(later), "news of the present holder itself")
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
