package io.jackdawring.fleet.peer

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.PauseGuard
import io.jackdawring.core.TargetId
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.Admission
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobRequest
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.PollRequest
import io.jackdawring.core.shard.PollResult
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.RunningRun
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.core.shard.StepSpec
import io.jackdawring.core.shard.StopResult
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.fleet.FakeControlLoop
import io.jackdawring.fleet.FakeHttpClient
import io.jackdawring.fleet.FleetDirectory
import io.jackdawring.fleet.FleetKeys
import io.jackdawring.fleet.HeldShards
import io.jackdawring.fleet.NoTargets
import io.jackdawring.fleet.PeerHealthMonitor
import io.jackdawring.fleet.ShardLoads
import io.jackdawring.fleet.StoreGossip
import io.jackdawring.fleet.TargetClient
import io.jackdawring.fleet.encode
import io.jackdawring.fleet.fleetOptions
import io.jackdawring.fleet.metrics.FleetMetrics
import io.jackdawring.fleet.repeatEvery
import io.jackdawring.fleet.store.FakeTransactionalStore
import io.jackdawring.fleet.store.StoreMirror
import io.jackdawring.server.http.HttpExchange
import io.jackdawring.server.http.HttpRequestMessage
import io.jackdawring.server.http.HttpResponseMessage
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/**
 * Guards against times that a receiver counts from the arrival of a message which the network has held up.
 *
 * A caller sends its job again after [RESEND_MILLIS], and what its first try has started has to be over by then.
 */
class HeldUpMessageTest {
    /** A target with one run of an earlier holder, which notes when that is stopped. */
    private class FakeTarget(
        private val loop: FakeControlLoop,
    ) : TargetClient by NoTargets {
        var stoppedAtMillis: Long? = null

        override fun stop(
            target: ShardTarget,
            task: TaskKey,
            attempt: Int,
            fencingToken: Long,
            onResult: (StopResult) -> Unit,
        ) {
            stoppedAtMillis = stoppedAtMillis ?: loop.nowMillis()
            loop.schedule(1) { onResult(StopResult.Accepted) }
        }

        override fun poll(
            target: ShardTarget,
            request: PollRequest,
            fencingToken: Long,
            onResult: (PollResult) -> Unit,
        ) = loop.schedule(if (request.waitMillis == 0L) 1 else POLL_MILLIS) {
            val run = RunningRun(TaskKey(JOB.id, 0, 0, 0), attempt = 1)
            val running = if (stoppedAtMillis == null) persistentListOf(run) else persistentListOf()
            onResult(PollResult.Snapshot(loop.nowMillis(), 1, running, persistentListOf(), mayHaveMoreEnds = false))
        }
    }

    private class FakeExchange(
        path: String,
        body: String,
        private val loop: FakeControlLoop,
    ) : HttpExchange {
        override val request = HttpRequestMessage("POST", path, body = body.encodeToByteArray())
        var response: HttpResponseMessage? = null
        var respondedAtMillis: Long? = null

        override fun respond(response: HttpResponseMessage) {
            this.response = response
            respondedAtMillis = loop.nowMillis()
        }

        override fun disconnect() = Unit

        override fun onDisconnected(action: () -> Unit) = Unit
    }

    private class Fixture(
        hasTarget: Boolean,
    ) {
        val loop = FakeControlLoop()
        val target = FakeTarget(loop)
        val store = FakeTransactionalStore(loop)
        private val mirror = StoreMirror(FleetKeys.ROOT, store, loop) {}
        private val directory = FleetDirectory()
        private val peers = PeerClient(FakeHttpClient())
        private val loads = ShardLoads(loop)
        private val clocks = PeerClocks()
        val shards =
            HeldShards(
                SELF,
                fleetOptions { },
                loop,
                store,
                mirror,
                directory,
                target,
                peers,
                clocks,
                loads,
                FleetMetrics(),
                { 0 },
                PauseGuard(),
                { if (hasTarget) persistentListOf(TARGET) else persistentListOf() },
            ) {}
        private val gossip = StoreGossip(mirror, mirror)
        val monitor = PeerHealthMonitor(SELF, peers, shards, directory, gossip, loads, clocks, loop) {}
        private val api =
            PeerApi(
                "1",
                shards,
                loop,
                loads,
                gossip::itemsNewerThan,
                PauseGuard(),
                monitor.silence,
                monitor::onPeerRequest,
            )

        init {
            // Times before the start of the clock would be those of messages that are sent early in a test.
            loop.clock.advance(START_MILLIS)
            mirror.start()
            loop.clock.advance(100)
        }

        fun <T> receive(
            path: String,
            type: KSerializer<T>,
            message: T,
            times: Map<String, Long?> = emptyMap(),
        ): FakeExchange {
            val fields = peerJson.encodeToJsonElement(type, message).jsonObject
            val known = times.filterValues { it != null }.mapValues { JsonPrimitive(it.value) }
            val exchange = FakeExchange(path, JsonObject(fields + known).toString(), loop)
            api.handle(exchange)
            return exchange
        }

        /** Lets the holder take the shard, of which no earlier holder is known. */
        fun hold() {
            shards.maintain()
            loop.clock.advance(100)
            assertNotNull(shards.host(SHARD))
        }

        fun claimByOther(): Long = store.put(FleetKeys.shard(SHARD), OTHER.encode())
    }

    private class JobRow(
        val name: String,
        val ageMillis: Long?,
        /** Time until the holder gives the job up; null if it does not accept it. */
        val lastsMillis: Long?,
    )

    @TestFactory
    fun `a job that was held up lasts until its caller's deadline`() =
        listOf(
            JobRow("its age is not known", null, 1_400),
            JobRow("not held up", 0, 1_400),
            JobRow("held up for 50 ms", 50, 1_350),
            JobRow("held up for 300 ms", 300, 1_100),
            JobRow("held up for 700 ms", 700, 700),
            JobRow("held up for almost too long", 1_000, 400),
            JobRow("held up for too long", 1_001, null),
            JobRow("sent in the future, by an estimate", -20, 1_400),
        ).map { row ->
            DynamicTest.dynamicTest(row.name) {
                val fixture = Fixture(hasTarget = false).apply { hold() }
                val sentAtMillis = row.ageMillis?.let { fixture.loop.nowMillis() - it }
                val request = JobRequest(JOB, remainingMillis = 1_400, Admission.ON_TIME_OR_LATE, mayRun = true)
                val message = JobMessage("r1", SHARD, request, sentAtMillis)
                val receivedAtMillis = fixture.loop.nowMillis()
                val exchange = fixture.receive(PeerPaths.JOB, JobMessage.serializer(), message)
                fixture.loop.clock.advance(2_000)
                assertEquals(if (row.lastsMillis == null) 409 else 200, assertNotNull(exchange.response).status)
                val lastsMillis = assertNotNull(exchange.respondedAtMillis) - receivedAtMillis
                val isInTime = lastsMillis - (row.lastsMillis ?: 0) in 0..TICK_MILLIS
                assertEquals(true, isInTime, "lasts $lastsMillis ms")
            }
        }

    /** Guards against the jobs of a relay that has long been silent, but whose last ping was held up. */
    @TestFactory
    fun `a relay whose last ping was held up is given up in time`() =
        listOf(0L, 100, 300, 500, 650).map { heldUpMillis ->
            DynamicTest.dynamicTest("for $heldUpMillis ms") {
                val fixture = Fixture(hasTarget = false).apply { hold() }
                fixture.loop.repeatEvery(PeerHealthMonitor.PING_INTERVAL_MILLIS) {
                    fixture.monitor.runRound(emptyList())
                    true
                }
                val request = JobRequest(JOB, remainingMillis = 8_000, Admission.ON_TIME_OR_LATE, mayRun = true)
                val job = JobMessage("r1", SHARD, request, fixture.loop.nowMillis())
                val exchange = fixture.receive(PeerPaths.JOB, JobMessage.serializer(), job)
                fixture.loop.clock.advance(50)
                val sentAtMillis = fixture.loop.nowMillis()
                fixture.loop.clock.advance(heldUpMillis)
                val ping = PingMessage("r1", 0, 0)
                fixture.receive(PeerPaths.PING, PingMessage.serializer(), ping, mapOf("sentAtMillis" to sentAtMillis))
                fixture.loop.clock.advance(2_000)
                val afterMillis = assertNotNull(exchange.respondedAtMillis) - sentAtMillis
                assertEquals(true, afterMillis in RELAY_TIMEOUT_MILLIS..RELAY_TIMEOUT_MILLIS + 150, "$afterMillis ms")
            }
        }

    private class HandOverRow(
        val name: String,
        val sentAgoMillis: Long?,
        val unservedMillis: Long,
        /** Time from the arrival to the stop of a run that nobody claims. */
        val stopAfterMillis: Long,
    )

    @TestFactory
    fun `a run that nobody claims after a hand-over which was held up`() =
        listOf(
            HandOverRow("not held up", 0, 0, 900),
            HandOverRow("held up for 100 ms", 100, 0, 800),
            HandOverRow("held up for 300 ms", 300, 0, 600),
            HandOverRow("held up for 499 ms", 499, 0, 401),
            HandOverRow("by an estimate, sent in the future", -30, 0, 900),
            HandOverRow("nobody knows for how long: as long as its sender waits", null, 0, 400),
            HandOverRow("callers may have gone before", 0, 400, 500),
            HandOverRow("held up, and callers may have gone before", 300, 400, 200),
            HandOverRow("held up, and callers may have gone long before: a moment", 450, 400, 154),
        ).map { row ->
            DynamicTest.dynamicTest(row.name) {
                val fixture = Fixture(hasTarget = true)
                val message = HandOverMessage(SHARD, fixture.claimByOther(), targets = emptyList())
                val arrivedAtMillis = fixture.loop.nowMillis()
                val sentAtMillis = row.sentAgoMillis?.let { arrivedAtMillis - it }
                val times = mapOf("sentAtMillis" to sentAtMillis, "unservedMillis" to row.unservedMillis)
                fixture.receive(PeerPaths.HAND_OVER, HandOverMessage.serializer(), message, times)
                fixture.loop.clock.advance(RESEND_MILLIS)
                val afterMillis = assertNotNull(fixture.target.stoppedAtMillis) - arrivedAtMillis
                val isInTime = afterMillis - row.stopAfterMillis in 0..2 * TICK_MILLIS
                assertEquals(true, isInTime, "stopped after $afterMillis ms")
            }
        }

    private class StopRow(
        val name: String,
        val stoppedAgoMillis: Long,
        val sentAgoMillis: Long?,
        val unservedMillis: Long,
        val stopAfterMillis: Long,
    )

    @TestFactory
    fun `a run that nobody claims after news of a stopped holder which was held up`() =
        listOf(
            StopRow("just stopped", 0, 0, 0, 900),
            StopRow("stopped a while ago", 200, 0, 0, 700),
            StopRow("just stopped, held up", 0, 250, 0, 650),
            StopRow("stopped a while ago, held up", 200, 250, 0, 450),
            StopRow("nobody knows for how long: as long as its sender waits", 200, null, 0, 400),
            StopRow("callers may have gone before", 200, 100, 300, 300),
        ).map { row ->
            DynamicTest.dynamicTest(row.name) {
                val fixture = Fixture(hasTarget = true)
                val stopped = fixture.claimByOther()
                val claimed = fixture.claimByOther()
                // The adopter has served its own callers until now; runs of the stopped holder are found now too.
                val handOver = HandOverMessage(SHARD, claimed, targets = emptyList(), cutOffRevision = stopped)
                val takenAtMillis = fixture.loop.nowMillis()
                val times = mapOf("sentAtMillis" to takenAtMillis)
                fixture.receive(PeerPaths.HAND_OVER, HandOverMessage.serializer(), handOver, times)
                fixture.loop.clock.advance(20)
                val arrivedAtMillis = fixture.loop.nowMillis()
                val sentAtMillis = row.sentAgoMillis?.let { arrivedAtMillis - it }
                val news = HandOverMessage(SHARD, stopped, emptyList(), areAllRunsThere = true)
                val newsTimes =
                    mapOf(
                        "sentAtMillis" to sentAtMillis,
                        "stoppedAgoMillis" to row.stoppedAgoMillis,
                        "unservedMillis" to row.unservedMillis,
                    )
                fixture.receive(PeerPaths.STOPPED, HandOverMessage.serializer(), news, newsTimes)
                fixture.loop.clock.advance(RESEND_MILLIS)
                val afterMillis = assertNotNull(fixture.target.stoppedAtMillis) - arrivedAtMillis
                val expected = minOf(row.stopAfterMillis, 900 - (arrivedAtMillis - takenAtMillis))
                assertEquals(true, afterMillis - expected in 0..2 * TICK_MILLIS, "stopped after $afterMillis ms")
            }
        }

    private companion object {
        const val RESEND_MILLIS = 1_300L
        const val RELAY_TIMEOUT_MILLIS = 700L
        const val START_MILLIS = 10_000L
        const val TICK_MILLIS = 20L
        const val POLL_MILLIS = 50L
        val SELF = FleetMember(InstanceId("a1"), "a1-1", FailureDomainId("a"), "10.0.0.1:1", 1.0)
        val OTHER = FleetMember(InstanceId("b1"), "b1-1", FailureDomainId("b"), "10.0.0.2:1", 1.0)
        val SHARD = ShardId(FailureDomainId("a"), 0)
        val TARGET =
            ShardTarget(
                TargetId("t"),
                "orders",
                "10.0.0.3:1",
                FailureDomainId("a"),
                Resources(32_000, 65_536),
                persistentSetOf(),
                draining = false,
            )
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
    }
}
