package io.jackdawring.fleet.durable

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.Checkpoint
import io.jackdawring.core.shard.DurableJob
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobProgress
import io.jackdawring.core.shard.JobSnapshot
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.StepSpec
import io.jackdawring.core.shard.TaskProgress
import io.jackdawring.fleet.FakeControlLoop
import io.jackdawring.fleet.FleetKeys
import io.jackdawring.fleet.store.FakeTransactionalStore
import io.jackdawring.fleet.store.FakeTransactionalStore.Mode
import io.jackdawring.fleet.store.StoreItem
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against tasks that two shards may start, or none ever again, after writes that are lost, late or refused. */
class JobPartStoreTest {
    /** The store of a shard's holder, with a dispatcher that does what it is told. */
    private class Side(
        private val fixture: Fixture,
        val shardId: ShardId,
    ) : DurableJobStore.Listener {
        override val parts = FakePartListener()
        var progress = JobProgress(JobState.RUNNING)
        private var version = 0L
        var fenced = false

        /** Whether the holder would start the task as one of its own job. */
        var isHere = false
        val holding = ShardHolding(shardId, MEMBER, fixture.store.put(FleetKeys.shard(shardId)))
        val jobs =
            DurableJobStore(holding, fixture.store, fixture.loop, { fixture.loop.nowMillis() }, 100_000, this)

        fun start() {
            parts.onWriteNeeded = { save() }
            parts.onReturned = { progress.ending?.let(::end) }
            jobs.start()
            fixture.pass(50)
        }

        override fun onFound(jobs: List<DurableJob>) = jobs.forEach { isHere = TASK !in it.delegated }

        override fun onAccepted(job: DurableJob) {
            isHere = true
        }

        override fun onSaved(
            id: JobId,
            version: Long,
        ) = Unit

        override fun onMoved(
            id: JobId,
            target: ShardId,
        ) = Unit

        override fun onRemoved(id: JobId) = Unit

        override fun onFenced(item: StoreItem) {
            fenced = true
            jobs.release()
        }

        fun save() {
            version++
            jobs.save(ID) { JobSnapshot(progress, version) }
        }

        fun delegate() {
            isHere = false
            jobs.delegate(ID, B, TASK, GIVEN)
            save()
        }

        fun giveBack() {
            parts.startable -= TASK
            jobs.giveBack(ID, TASK, RETURNED)
            save()
        }

        fun end(state: JobState) {
            progress = progress.copy(state = state)
            parts.startable = emptySet()
            save()
        }
    }

    private class Fixture {
        val loop = FakeControlLoop()
        val store = FakeTransactionalStore(loop)
        var owner = holder(A)
        var other = holder(B)

        init {
            owner.jobs.accept(SPEC, 1_000) {}
            pass(100)
        }

        fun holder(shardId: ShardId) = Side(this, shardId).also { it.start() }

        fun pass(millis: Long) = loop.clock.advance(millis)

        fun record(): DurableJobRecord = checkNotNull(store.items[JobKeys.record(A, ID)]?.let(DurableJobRecord::decode))

        fun part(): PartRecord? = store.items[JobKeys.part(B, ID)]?.let(PartRecord::decode)

        /** Does [action] while the store is in [mode], and lets the holders ask each other for a while. */
        fun step(
            mode: Mode,
            action: () -> Unit,
        ) {
            store.mode = mode
            action()
            repeat(80) {
                if (it == 7) store.mode = Mode.HEALTHY
                pass(100)
                for ((target, parts) in owner.jobs.openParts(endingOnly = false)) {
                    parts.filter { (id, revision) -> other.jobs.hasResults(id, revision) }.keys.forEach {
                        owner.jobs.readPart(it, target)
                    }
                }
                if (TASK in owner.parts.returned.keys && !owner.fenced) owner.isHere = true
                checkOwners()
            }
        }

        private fun checkOwners() {
            val part = part()
            val mayOwner = TASK !in record().delegatedTasks
            val mayOther = part != null && part.tasks[TASK]?.returned == false && !part.state.isEnded
            assertTrue(!mayOwner || !mayOther, "both shards may start the task according to the store")
            val startable = TASK in other.parts.startable
            assertTrue(!owner.isHere || !startable, "both holders would start the task")
        }
    }

    private fun plays(test: Fixture.(List<Mode>) -> Unit): List<DynamicTest> =
        Mode.entries.flatMap { first ->
            Mode.entries.flatMap { second ->
                Mode.entries.map { third ->
                    DynamicTest.dynamicTest("$first, $second, $third") { Fixture().test(listOf(first, second, third)) }
                }
            }
        }

    @TestFactory
    fun `a task is delegated, returned and delegated again`() =
        plays { (first, second, third) ->
            step(first) { owner.delegate() }
            assertEquals(setOf(TASK), other.parts.startable)
            assertEquals(GIVEN, part()?.tasks?.get(TASK)?.progress)
            step(second) { other.giveBack() }
            assertTrue(owner.isHere)
            assertEquals(RETURNED, owner.parts.returned[TASK])
            assertEquals(RETURNED.checkpoint, record().progress.checkpoints[TASK])
            assertEquals(mapOf(TASK to RETURNED.lastAttempt), record().progress.attempts)
            owner.parts.returned.clear()
            step(third) { owner.delegate() }
            assertEquals(setOf(TASK), other.parts.startable)
        }

    @TestFactory
    fun `a job ends only when its part has ended`() =
        plays { (first, second, third) ->
            step(first) { owner.delegate() }
            step(second) {
                owner.progress = owner.progress.copy(ending = JobState.CANCELLED)
                owner.save()
            }
            assertTrue(other.parts.isCancelled)
            assertEquals(JobState.RUNNING, record().progress.state)
            step(third) { other.end(JobState.CANCELLED) }
            assertEquals(JobState.CANCELLED, record().progress.state)
            assertNull(part())
            assertTrue(TASK in owner.parts.returned)
        }

    @TestFactory
    fun `a job that ends while its task is being delegated`() =
        plays { (first, second, third) ->
            store.mode = first
            owner.delegate()
            pass(30)
            step(second) {
                owner.progress = owner.progress.copy(ending = JobState.CANCELLED)
                owner.save()
            }
            if (other.parts.isCancelled) step(third) { other.end(JobState.CANCELLED) }
            assertEquals(JobState.CANCELLED, record().progress.state)
            assertNull(part())
        }

    @TestFactory
    fun `holders that are replaced while a task is delegated and returned`() =
        plays { (first, second, third) ->
            store.mode = first
            owner.delegate()
            pass(30)
            val before = owner
            owner = holder(A)
            step(first) { }
            assertTrue(before.fenced || first == Mode.HEALTHY || first == Mode.ANSWERS_LOST)
            // The write of the former holder has taken effect as a whole, or not at all.
            if (owner.isHere) step(Mode.HEALTHY) { owner.delegate() }
            store.mode = second
            if (TASK in other.parts.startable) other.giveBack()
            pass(30)
            other = holder(B)
            step(second) { }
            if (!owner.isHere) step(third) { other.giveBack() }
            assertTrue(owner.isHere)
        }

    @TestFactory
    fun `a task of a part that fails for good ends the job`() =
        listOf(
            DynamicTest.dynamicTest("the failure is reported before the part is taken back") {
                with(Fixture()) {
                    step(Mode.HEALTHY) { owner.delegate() }
                    step(Mode.HEALTHY) { other.end(JobState.FAILED) }
                    assertTrue(owner.parts.isFailed)
                    assertEquals(setOf(TASK), record().delegatedTasks)
                    step(Mode.HEALTHY) {
                        owner.progress = owner.progress.copy(ending = JobState.FAILED)
                        owner.save()
                    }
                    assertEquals(JobState.FAILED, record().progress.state)
                    assertNull(part())
                }
            },
        )

    @TestFactory
    fun `stored forms that earlier versions must not take for whole jobs`() =
        listOf(
            DynamicTest.dynamicTest("neither a job with parts nor a part decodes as a plain record") {
                with(Fixture()) {
                    step(Mode.HEALTHY) { owner.delegate() }
                    for (key in listOf(JobKeys.record(A, ID), JobKeys.part(B, ID))) {
                        val text =
                            store.items
                                .getValue(key)
                                .value
                                .decodeToString()
                        assertTrue(!text.startsWith("{\"spec\""), text)
                    }
                    assertEquals(SPEC, record().spec)
                }
            },
        )

    private companion object {
        val ID = JobId("j")
        const val TASK = "0.1"
        val A = ShardId(FailureDomainId("a"), 0)
        val B = ShardId(FailureDomainId("b"), 0)
        val MEMBER = FleetMember(InstanceId("e1"), "1", FailureDomainId("a"), "10.0.0.1:1", 1.0)
        val GIVEN = TaskProgress(lastAttempt = 7, failures = listOf(3), checkpoint = Checkpoint("x", 6))
        val RETURNED = TaskProgress(lastAttempt = 12, failures = listOf(3, 9), checkpoint = Checkpoint("y", 11))
        val SPEC =
            JobSpec(ID, "q", "s", 0, 3, 1.6, 60, "", listOf(StepSpec(2, Resources(1_000), 100, longRunning = true)))
    }
}
