package io.jackdawring.fleet.kept

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.fleet.FleetMember
import io.jackdawring.core.fleet.ShardHolding
import io.jackdawring.core.fleet.ShardId
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.StepSpec
import io.jackdawring.fleet.CallerAnswer
import io.jackdawring.fleet.FakeControlLoop
import io.jackdawring.fleet.store.FakeTransactionalStore
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

/** Guards against untrue refusals of jobs that may be stored, lost cancellations, and jobs called unknown that are not. */
class KeptSubmissionTest {
    private class FakeHolders : KeptHolders {
        var candidates = listOf("a", "b", "c").map(::holdingIn)
        val asked = ArrayList<String>()
        var onOutcome: (KeepOutcome?) -> Unit = {}

        /** Answers of the holders by failure domain. */
        val states = HashMap<String, KeptHolders.StateAnswer>()
        val counts = HashMap<String, KeptHolders.CountAnswer>()

        /** Failure domains whose holders never answer questions about a job. */
        val silent = HashSet<String>()

        override val ownShards = listOf(ShardId(FailureDomainId("a"), 0))
        override val holdings get() = candidates

        override fun candidates(job: JobSpec) = candidates

        override fun holding(shardId: ShardId) = candidates.firstOrNull { it.shardId == shardId }

        override fun submitDurable(
            holding: ShardHolding,
            message: KeepMessage,
            onOutcome: (KeepOutcome?) -> Unit,
        ) {
            asked.add(holding.shardId.failureDomain.value + if (message.despiteBacklog) "!" else "")
            this.onOutcome = onOutcome
        }

        override fun ask(
            holding: ShardHolding,
            jobId: JobId,
            cancel: Boolean,
            onAnswer: (KeptHolders.StateAnswer) -> Unit,
        ) {
            asked.add(holding.shardId.failureDomain.value)
            if (holding.shardId.failureDomain.value !in
                silent
            ) {
                onAnswer(states[holding.shardId.failureDomain.value] ?: KeptHolders.StateAnswer.Known(null))
            }
        }

        override fun countPending(
            holding: ShardHolding,
            queue: String,
            onAnswer: (KeptHolders.CountAnswer) -> Unit,
        ) = onAnswer(counts[holding.shardId.failureDomain.value] ?: KeptHolders.CountAnswer.Unreachable)
    }

    private class Scene {
        val loop = FakeControlLoop()
        val holders = FakeHolders()
        val store = FakeTransactionalStore(loop)
        private val requests = KeptJobRequests(loop, holders, store)
        var answer: CallerAnswer? = null

        fun submit() = requests.submit(JOB, WAIT_MILLIS) { answer = it }

        fun outcome(outcome: KeepOutcome?) = holders.onOutcome(outcome)

        fun pass(millis: Long) = loop.clock.advance(millis)

        fun ask(cancel: Boolean = false) {
            requests.ask(JOB.id, cancel) { answer = it }
            pass(50)
        }

        fun knowCounts() {
            holders.counts +=
                listOf("a" to 1, "b" to 2, "c" to 3).map { it.first to KeptHolders.CountAnswer.Known(it.second) }
        }

        fun count() = requests.countPending("q") { answer = it }

        /** Stores [JOB] in the shard of failure domain "b". */
        fun place(state: JobState) {
            val shardId = ShardId(FailureDomainId("b"), 0)
            store.put(KeptKeys.place(JOB.id), KeptJobPlace(shardId).encode())
            val record = KeptJobRecord(JOB, 1).let { it.copy(progress = it.progress.copy(state = state)) }
            store.put(KeptKeys.record(shardId, JOB.id), record.encode())
        }
    }

    private class Row(
        val name: String,
        val test: Scene.() -> Unit,
    )

    private val rows =
        listOf(
            Row("a stored job is accepted") {
                submit()
                outcome(KeepOutcome.Kept)
                assertEquals(CallerAnswer.Stored, answer)
            },
            Row("a refusal sends the job to the other failure domains, then says that it is not stored") {
                submit()
                repeat(3) { outcome(REFUSED) }
                assertEquals(listOf("a", "b", "c"), holders.asked.toList())
                assertIs<CallerAnswer.NotRun>(answer)
            },
            Row("a job that meets backlogs everywhere goes to the shortest one") {
                submit()
                listOf(900L, 300L, 500L).forEach { outcome(REFUSED.copy(backlogMillis = it)) }
                outcome(KeepOutcome.Kept)
                assertEquals(listOf("a", "b", "c", "b!"), holders.asked.toList())
                assertEquals(CallerAnswer.Stored, answer)
            },
            Row("a job that meets a backlog in its own failure domain goes to one without") {
                submit()
                outcome(REFUSED.copy(backlogMillis = 900))
                outcome(KeepOutcome.Kept)
                assertEquals(listOf("a", "b"), holders.asked.toList())
                assertEquals(CallerAnswer.Stored, answer)
            },
            Row("a holder that is gone is passed over") {
                submit()
                outcome(null)
                pass(50)
                outcome(KeepOutcome.Kept)
                assertEquals(CallerAnswer.Stored, answer)
            },
            Row("a lost answer is resolved by another holder") {
                submit()
                outcome(KeepOutcome.Unsure("reset"))
                pass(50)
                outcome(KeepOutcome.Kept)
                assertEquals(CallerAnswer.Stored, answer)
            },
            Row("a lost answer is never called a refusal") {
                submit()
                outcome(KeepOutcome.Unsure("reset"))
                repeat(100) {
                    pass(30)
                    if (answer == null) outcome(REFUSED)
                }
                assertIs<CallerAnswer.GivenUp>(answer)
            },
            Row("a job without any holder is refused well before its deadline") {
                holders.candidates = emptyList()
                submit()
                pass(800)
                assertIs<CallerAnswer.NotRun>(answer)
            },
            Row("the state comes from the own holder without asking the store") {
                holders.states["a"] = KeptHolders.StateAnswer.Known(JobState.RUNNING)
                ask()
                assertEquals(JobState.RUNNING, (answer as CallerAnswer.State).state)
            },
            Row("a job of another failure domain is found through the store") {
                place(JobState.QUEUED)
                holders.states["b"] = KeptHolders.StateAnswer.Known(JobState.COMPLETED)
                ask()
                assertEquals(JobState.COMPLETED, (answer as CallerAnswer.State).state)
            },
            Row("a job whose holder does not answer is read from the store") {
                place(JobState.FAILED)
                holders.states["b"] = KeptHolders.StateAnswer.Unreachable
                ask()
                assertEquals(JobState.FAILED, (answer as CallerAnswer.State).state)
            },
            Row("a job that is not stored does not exist") {
                ask()
                assertEquals(CallerAnswer.UnknownJob, answer)
            },
            Row("a cancellation that reaches no holder is not confirmed") {
                place(JobState.RUNNING)
                holders.states["b"] = KeptHolders.StateAnswer.Unreachable
                ask(cancel = true)
                assertIs<CallerAnswer.TryLater>(answer)
            },
            Row("a cancellation whose storing takes long is not confirmed, and the caller is told in time") {
                holders.silent += "a"
                ask(cancel = true)
                assertNull(answer)
                pass(1_500)
                assertIs<CallerAnswer.TryLater>(answer)
            },
            Row("waiting jobs of all failure domains are counted, the last count standing in for that of a cut one") {
                knowCounts()
                count()
                holders.counts["b"] = KeptHolders.CountAnswer.Unreachable
                pass(3_000)
                count()
                assertEquals(6, (answer as CallerAnswer.Pending).jobs)
            },
            Row("a recent count stands in for that of a new holder") {
                knowCounts()
                count()
                holders.counts["b"] = KeptHolders.CountAnswer.Known(null)
                pass(1_000)
                count()
                assertEquals(6, (answer as CallerAnswer.Pending).jobs)
            },
            Row("waiting jobs are not counted without those of a holder that does not know its own yet") {
                knowCounts()
                holders.counts["b"] = KeptHolders.CountAnswer.Known(null)
                count()
                assertIs<CallerAnswer.TryLater>(answer)
            },
            Row("a silent holder does not hold the caller past its deadline, and the job may be stored") {
                submit()
                pass(WAIT_MILLIS - 50)
                assertNull(answer)
                pass(50)
                assertIs<CallerAnswer.GivenUp>(answer)
            },
        )

    @TestFactory
    fun `requests about kept jobs`() = rows.map { row -> DynamicTest.dynamicTest(row.name) { row.test(Scene()) } }

    private companion object {
        const val WAIT_MILLIS = 2_000L
        val REFUSED = KeepOutcome.Refused("full", 100)
        val JOB = JobSpec(JobId("j"), "q", "s", 0, 1, 1.6, 60, "", listOf(StepSpec(1, Resources(1_000), 100)))

        fun holdingIn(domain: String) =
            ShardHolding(
                ShardId(FailureDomainId(domain), 0),
                FleetMember(InstanceId("h-$domain"), "1", FailureDomainId(domain), "10.0.0.1:1", 1.0),
                1,
            )
    }
}
