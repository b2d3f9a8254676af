package io.jackdawring.fleet.durable

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.DurableJob
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobProgress
import io.jackdawring.core.shard.JobSnapshot
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.StepSpec
import io.jackdawring.fleet.FakeControlLoop
import io.jackdawring.fleet.FleetKeys
import io.jackdawring.fleet.store.FakeTransactionalStore
import io.jackdawring.fleet.store.FakeTransactionalStore.Mode
import io.jackdawring.fleet.store.StoreItem
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against accepted jobs that are not stored, refused jobs that are, and progress lost to an older write. */
class DurableJobStoreTest {
    private class Holder(
        fixture: Fixture,
        domain: String,
    ) : DurableJobStore.Listener {
        override val parts = FakePartListener()
        val found = ArrayList<DurableJob>()
        val accepted = ArrayList<DurableJob>()
        val saved = ArrayList<Pair<String, Long>>()
        val removed = ArrayList<JobId>()
        val moved = ArrayList<String>()
        var fenced = false
        private val shardId = ShardId(FailureDomainId(domain), 0)
        val holding = ShardHolding(shardId, MEMBER, fixture.store.put(FleetKeys.shard(shardId)))
        val jobs =
            DurableJobStore(
                holding,
                fixture.store,
                fixture.loop,
                { fixture.unixMillis + fixture.loop.nowMillis() },
                10_000,
                this,
            ).also { it.start() }

        override fun onFound(jobs: List<DurableJob>) {
            found += jobs
        }

        override fun onAccepted(job: DurableJob) {
            accepted += job
        }

        override fun onSaved(
            id: JobId,
            version: Long,
        ) {
            saved += id.value to version
        }

        override fun onMoved(
            id: JobId,
            target: ShardId,
        ) {
            moved += id.value
        }

        override fun onRemoved(id: JobId) {
            removed += id
        }

        override fun onFenced(item: StoreItem) {
            fenced = true
            jobs.release()
        }

        fun accept(
            id: String,
            waitMillis: Long = 1_500,
        ): List<PersistOutcome> {
            val outcomes = ArrayList<PersistOutcome>()
            jobs.accept(spec(id), waitMillis) { outcomes.add(it) }
            return outcomes
        }

        fun save(
            id: String,
            version: Long,
            state: JobState = JobState.RUNNING,
        ) = jobs.save(JobId(id)) { JobSnapshot(JobProgress(state, listOf(listOf(version))), version) }
    }

    private class Fixture {
        val loop = FakeControlLoop()
        val store = FakeTransactionalStore(loop)
        var unixMillis = 1_000_000L

        fun holder(domain: String = "a") = Holder(this, domain).also { pass(20) }

        fun pass(millis: Long) = loop.clock.advance(millis)

        /** Stores the job [id] in this shard, and moves it to the shard "b" while the store is in [moveMode]. */
        fun Holder.acceptAndMove(
            id: String,
            moveMode: Mode = Mode.HEALTHY,
        ) {
            accept(id)
            pass(50)
            store.mode = moveMode
            jobs.move(JobId(id), ShardId(FailureDomainId("b"), 0)) {
                JobSnapshot(JobProgress(JobState.RUNNING, listOf(listOf(7L))), 7)
            }
        }

        /** Fails unless the only record of "j" is in the shard "b", whose next holder finds it; returns that. */
        fun assertMovedOnce(): Holder {
            val holder = holder("b")
            assertEquals(listOf(listOf(listOf(7L))), holder.found.map { it.progress.done })
            val key = JobKeys.record(holder.holding.shardId, JobId("j"))
            assertEquals(listOf(key), store.items.keys.filter { "records" in it })
            assertEquals(JobLocation(holder.holding.shardId), location("j"))
            return holder
        }

        fun location(id: String): JobLocation? = store.items[JobKeys.location(JobId(id))]?.let(JobLocation::decode)

        fun record(id: String): DurableJobRecord? =
            store.items[
                JobKeys.record(
                    ShardId(FailureDomainId("a"), 0),
                    JobId(id),
                ),
            ]?.let(DurableJobRecord::decode)
    }

    private class Row(
        val name: String,
        val test: Fixture.() -> Unit,
    )

    private val rows =
        listOf(
            Row("a job is accepted once it is stored") {
                val holder = holder()
                val outcomes = holder.accept("j")
                assertEquals(emptyList(), outcomes.toList())
                pass(10)
                assertEquals(listOf<PersistOutcome>(PersistOutcome.Persisted), outcomes)
                assertEquals(spec("j"), record("j")?.spec)
            },
            Row("a job that arrives again, also at another shard, is stored once") {
                val first = holder("a")
                first.accept("j")
                pass(10)
                val second = holder("b")
                val outcomes = second.accept("j")
                pass(200)
                assertEquals(listOf<PersistOutcome>(PersistOutcome.Persisted), outcomes)
                assertEquals(0, second.accepted.size)
                assertEquals(1, store.items.keys.count { "records" in it })
            },
            Row("requests for a job that is being stored get the same outcome") {
                val holder = holder()
                val outcomes = holder.accept("j") to holder.accept("j")
                pass(10)
                assertEquals(1, outcomes.first.size)
                assertEquals(1, outcomes.second.size)
                assertEquals(1, holder.accepted.size)
            },
            Row("a store that refuses writes leads to a quick refusal") {
                val holder = holder()
                store.mode = Mode.REFUSES
                val outcomes = holder.accept("j")
                pass(500)
                assertIs<PersistOutcome.Refused>(outcomes.single())
                store.mode = Mode.HEALTHY
                pass(5_000)
                assertNull(record("j"))
            },
            Row("while the store does not answer, jobs are refused quickly, except for the one that is being written") {
                val holder = holder()
                store.mode = Mode.LATE
                holder.accept("first")
                pass(250)
                val later = List(20) { holder.accept("j$it") }
                pass(700)
                assertTrue(later.count { it.singleOrNull() is PersistOutcome.Refused } >= 17, "$later")
                pass(10_000)
                val refused = later.indices.filter { later[it].single() is PersistOutcome.Refused }
                assertEquals(emptyList(), refused.filter { record("j$it") != null })
            },
            Row("a request after an expired one for the same job is answered by the write of the first") {
                val holder = holder()
                store.latencyMillis = 150
                val first = holder.accept("j", waitMillis = 50)
                pass(100)
                assertIs<PersistOutcome.Unknown>(first.single())
                val second = holder.accept("j")
                pass(100)
                assertEquals(listOf<PersistOutcome>(PersistOutcome.Persisted), second)
                assertEquals(1, holder.accepted.size)
            },
            Row("a lost answer is resolved by the next write") {
                val holder = holder()
                store.mode = Mode.ANSWERS_LOST
                val outcomes = holder.accept("j")
                pass(100)
                store.mode = Mode.HEALTHY
                pass(500)
                assertEquals(listOf<PersistOutcome>(PersistOutcome.Persisted), outcomes)
                assertEquals(listOf("j"), holder.found.map { it.spec.id.value })
            },
            Row("a record that arrives while its write is not answered proves that the job is stored") {
                store.reportsChanges = true
                val holder = holder()
                store.mode = Mode.ANSWERS_LOST
                val outcomes = holder.accept("j")
                pass(50)
                assertEquals(listOf<PersistOutcome>(PersistOutcome.Persisted), outcomes)
                assertEquals(listOf("j"), holder.accepted.map { it.spec.id.value })
                assertEquals(emptyList(), holder.found.toList())
            },
            Row("a record that arrives after its request has expired: the job is this holder's own") {
                store.reportsChanges = true
                val holder = holder()
                store.mode = Mode.LATE
                val outcomes = holder.accept("j", waitMillis = 100)
                pass(150)
                assertIs<PersistOutcome.Unknown>(outcomes.single())
                store.mode = Mode.HEALTHY
                pass(4_000)
                assertEquals(listOf("j"), holder.accepted.map { it.spec.id.value })
                assertEquals(emptyList(), holder.found.toList())
            },
            Row("a later request for a job whose write may still be applied is not refused") {
                store.reportsChanges = true
                val holder = holder()
                store.mode = Mode.LATE
                holder.accept("j", waitMillis = 100)
                pass(150)
                store.mode = Mode.REFUSES
                val outcomes = holder.accept("j", waitMillis = 600)
                pass(700)
                assertIs<PersistOutcome.Unknown>(outcomes.single())
                pass(4_000)
                assertEquals(listOf("j"), holder.accepted.map { it.spec.id.value })
            },
            Row("a job moves here while a request for it waits: its progress counts") {
                store.reportsChanges = true
                val from = holder("a")
                val to = holder("b")
                from.accept("j")
                pass(50)
                store.mode = Mode.LATE
                val outcomes = to.accept("j")
                pass(20)
                store.mode = Mode.HEALTHY
                from.jobs.move(JobId("j"), to.holding.shardId) {
                    JobSnapshot(JobProgress(JobState.RUNNING, listOf(listOf(7L))), 7)
                }
                pass(5_000)
                assertEquals(listOf<PersistOutcome>(PersistOutcome.Persisted), outcomes)
                assertEquals(emptyList(), to.accepted.toList())
                assertEquals(listOf(listOf(listOf(7L))), to.found.map { it.progress.done })
            },
            Row("a stored job is found by a read although its watch reported it before") {
                store.reportsChanges = true
                val holder = holder()
                store.mode = Mode.ANSWERS_LOST
                holder.accept("j")
                pass(50)
                val known = ArrayList<Boolean>()
                holder.jobs.read(JobId("j")) { known.add(it) }
                pass(50)
                assertEquals(listOf(true), known)
            },
            Row("a delayed write is never reported as a refusal, and its job is found") {
                val holder = holder()
                store.mode = Mode.LATE
                val outcomes = holder.accept("j", waitMillis = 1_000)
                pass(2_000)
                assertIs<PersistOutcome.Unknown>(outcomes.single())
                pass(2_500)
                assertEquals(spec("j"), record("j")?.spec)
                store.mode = Mode.HEALTHY
                assertEquals(emptyList(), holder.accept("j"))
                pass(500)
                assertEquals(listOf("j"), holder.found.map { it.spec.id.value })
            },
            Row("a delayed write of progress does not overwrite newer progress") {
                val holder = holder()
                holder.accept("j")
                pass(50)
                store.mode = Mode.LATE
                holder.save("j", 1)
                pass(100)
                store.mode = Mode.HEALTHY
                holder.save("j", 2)
                pass(1_000)
                assertEquals(listOf(listOf(2L)), record("j")?.progress?.done)
                pass(5_000)
                assertEquals(listOf(listOf(2L)), record("j")?.progress?.done)
                assertEquals("j" to 2L, holder.saved.last())
            },
            Row("progress is written after a lost answer") {
                val holder = holder()
                holder.accept("j")
                pass(50)
                store.mode = Mode.ANSWERS_LOST
                holder.save("j", 1)
                pass(100)
                store.mode = Mode.HEALTHY
                holder.save("j", 2)
                pass(1_000)
                assertEquals(listOf(listOf(2L)), record("j")?.progress?.done)
            },
            Row("a holder that has lost its shard writes nothing") {
                val old = holder()
                old.accept("j")
                pass(50)
                val new = holder()
                old.save("j", 7)
                pass(500)
                assertTrue(old.fenced)
                assertEquals(emptyList(), record("j")?.progress?.done)
                assertEquals(listOf("j"), new.found.map { it.spec.id.value })
            },
            Row("a job that moves is in one shard at a time, and the other one finds it with its progress") {
                val from = holder("a")
                from.acceptAndMove("j")
                pass(20)
                assertEquals(listOf("j"), from.moved)
                val to = assertMovedOnce()
                assertTrue(
                    to.found.single().attemptBase > from.holding.revision,
                    "attempts continue above earlier ones",
                )
            },
            Row("a move whose answer is lost is resolved by the next write") {
                val from = holder("a")
                from.acceptAndMove("j", Mode.ANSWERS_LOST)
                pass(250)
                store.mode = Mode.HEALTHY
                pass(500)
                assertEquals(listOf("j"), from.moved)
                assertMovedOnce()
            },
            Row("a move that takes effect late: progress of the old shard does not bring the job back") {
                val from = holder("a")
                from.acceptAndMove("j", Mode.LATE)
                from.save("j", 8)
                pass(3_100)
                store.mode = Mode.HEALTHY
                from.save("j", 9)
                pass(1_000)
                assertEquals(listOf("j"), from.moved)
                assertEquals(emptyList(), from.saved.filter { it.second >= 8 })
                assertMovedOnce()
            },
            Row("a holder that has lost its shard moves nothing") {
                val from = holder("a")
                from.acceptAndMove("j", Mode.LATE)
                val new = holder("a")
                store.mode = Mode.HEALTHY
                pass(5_000)
                assertTrue(from.fenced)
                assertEquals(emptyList(), from.moved.toList())
                assertEquals(listOf("j"), new.found.map { it.spec.id.value })
                assertEquals(JobLocation(new.holding.shardId), location("j"))
                assertEquals(emptyList(), holder("b").found.toList())
            },
            Row("a refused move is repeated, with the progress that was made meanwhile") {
                val from = holder("a")
                from.acceptAndMove("j", Mode.REFUSES)
                pass(1_000)
                assertEquals(emptyList(), from.moved.toList())
                store.mode = Mode.HEALTHY
                pass(500)
                assertMovedOnce()
            },
            Row("a conflict that names no item decides nothing about a move") {
                val from = holder("a")
                from.acceptAndMove("j", Mode.EMPTY_CONFLICTS)
                pass(1_000)
                assertEquals(emptyList(), from.moved.toList())
                assertEquals(JobLocation(from.holding.shardId), location("j"))
                store.mode = Mode.HEALTHY
                pass(500)
                assertMovedOnce()
            },
            Row("a job that comes back is found again") {
                val first = holder("a")
                first.acceptAndMove("j")
                pass(20)
                assertMovedOnce().jobs.move(JobId("j"), first.holding.shardId) { JobSnapshot(JobProgress(), 1) }
                pass(50)
                // The mirror of the fake store only changes when a conflict lets it list the jobs again.
                first.accept("j")
                pass(50)
                assertEquals(listOf("j"), first.found.map { it.spec.id.value })
                assertEquals(JobLocation(first.holding.shardId), location("j"))
            },
            Row("a job that is sent again while it moves is not stored twice") {
                val from = holder("a")
                from.acceptAndMove("j")
                val to = holder("b")
                val outcomes = to.accept("j")
                pass(300)
                assertEquals(listOf<PersistOutcome>(PersistOutcome.Persisted), outcomes)
                assertEquals(emptyList(), to.accepted.toList())
                assertMovedOnce()
            },
            Row("many jobs are stored by few writes of bounded size") {
                val holder = holder()
                val outcomes = List(100) { holder.accept("j$it") }
                pass(1_000)
                assertTrue(outcomes.all { it.single() == PersistOutcome.Persisted })
                assertTrue(store.writeSizes.all { it <= 32 }, "sizes ${store.writeSizes}")
                assertTrue(store.writeSizes.size <= 12, "writes ${store.writeSizes.size}")
            },
            Row("only jobs that ended longer than the retention time ago are removed") {
                val holder = holder()
                holder.accept("old")
                holder.accept("open")
                pass(50)
                holder.save("old", 1, JobState.COMPLETED)
                pass(9_000)
                assertEquals(JobState.COMPLETED, record("old")?.progress?.state)
                pass(3_000)
                assertEquals(listOf(JobId("old")), holder.removed.toList())
                assertEquals(listOf(JobKeys.location(JobId("open"))), store.items.keys.filter { "places" in it })
            },
        )

    @TestFactory
    fun `stored jobs of a shard`() = rows.map { row -> DynamicTest.dynamicTest(row.name) { row.test(Fixture()) } }

    private companion object {
        val MEMBER = FleetMember(InstanceId("e1"), "1", FailureDomainId("a"), "10.0.0.1:1", 1.0)

        fun spec(id: String) =
            JobSpec(JobId(id), "q", "s", 0, 3, 1.6, 60, "", listOf(StepSpec(1, Resources(1_000), 100)))
    }
}
