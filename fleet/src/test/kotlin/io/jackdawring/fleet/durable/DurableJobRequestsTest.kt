package io.jackdawring.fleet.durable

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

/** Guards against refusals of jobs that may be stored, lost cancellations, and stored jobs reported as unknown. */
class DurableJobRequestsTest {
    private class FakeDurableJobClient : DurableJobClient {
        var candidates = listOf("a", "b", "c").map(::holdingIn)
        val requestedDomains = ArrayList<String>()
        var onOutcome: (PersistOutcome?) -> Unit = {}

        /** Answers of the holders by failure domain. */
        val states = HashMap<String, DurableJobClient.StateAnswer>()
        val counts = HashMap<String, DurableJobClient.CountAnswer>()

        /** Failure domains whose holders never answer queries. */
        val unresponsive = HashSet<String>()

        /** Called by failure domain when its holder is queried, before it answers. */
        val onQuery = HashMap<String, () -> Unit>()

        /** Failure domains whose holders cancel a job that they read from the store. */
        val cancelStored = HashSet<String>()

        override val localShards = listOf(ShardId(FailureDomainId("a"), 0))
        override val holdings get() = candidates

        override fun candidates(job: JobSpec) = candidates

        override fun holding(shardId: ShardId) = candidates.firstOrNull { it.shardId == shardId }

        override fun persist(
            holding: ShardHolding,
            message: PersistMessage,
            onOutcome: (PersistOutcome?) -> Unit,
        ) {
            requestedDomains.add(holding.shardId.failureDomain.value + if (message.despiteBacklog) "!" else "")
            this.onOutcome = onOutcome
        }

        override fun queryState(
            holding: ShardHolding,
            jobId: JobId,
            cancel: Boolean,
            isStored: Boolean,
            onAnswer: (DurableJobClient.StateAnswer) -> Unit,
        ) {
            val domain = holding.shardId.failureDomain.value
            requestedDomains.add(domain)
            onQuery[domain]?.invoke()
            if (domain in unresponsive) return
            val cancelled = JobState.CANCELLED.takeIf { isStored && domain in cancelStored }
            onAnswer(states[domain] ?: DurableJobClient.StateAnswer.Known(cancelled))
        }

        override fun countPending(
            holding: ShardHolding,
            queue: String,
            onAnswer: (DurableJobClient.CountAnswer) -> Unit,
        ) = onAnswer(counts[holding.shardId.failureDomain.value] ?: DurableJobClient.CountAnswer.Unreachable)
    }

    private class Fixture {
        val loop = FakeControlLoop()
        val client = FakeDurableJobClient()
        val store = FakeTransactionalStore(loop)
        private val requests = DurableJobRequests(loop, client, store)
        var answer: CallerAnswer? = null

        fun submit() = requests.submit(JOB, WAIT_MILLIS) { answer = it }

        fun outcome(outcome: PersistOutcome?) = client.onOutcome(outcome)

        fun pass(millis: Long) = loop.clock.advance(millis)

        fun queryState(cancel: Boolean = false) {
            requests.queryState(JOB.id, cancel) { answer = it }
            pass(50)
        }

        fun reportCounts() {
            client.counts +=
                listOf("a" to 1, "b" to 2, "c" to 3).map { it.first to DurableJobClient.CountAnswer.Known(it.second) }
        }

        fun count() = requests.countPending("q") { answer = it }

        /** Stores [JOB] in the shard of [domain] only. */
        fun storeIn(
            domain: String,
            state: JobState,
        ) {
            val shardId = ShardId(FailureDomainId(domain), 0)
            store.items.keys.removeIf { it.endsWith("/${JOB.id.value}") }
            store.put(JobKeys.location(JOB.id), JobLocation(shardId).encode())
            val record = DurableJobRecord(JOB, 1).let { it.copy(progress = it.progress.copy(state = state)) }
            store.put(JobKeys.record(shardId, JOB.id), record.encode())
        }

        fun storeInDomainB(state: JobState) = storeIn("b", state)

        /** Stores [JOB] in domain "b", from which it moves through [domains] when the holder there is queried first. */
        fun moveWhenQueried(vararg domains: String) {
            storeInDomainB(JobState.QUEUED)
            client.onQuery["b"] = {
                client.onQuery.clear()
                domains.forEach { storeIn(it, JobState.QUEUED) }
            }
        }
    }

    private class Row(
        val name: String,
        val test: Fixture.() -> Unit,
    )

    private val rows =
        listOf(
            Row("a stored job is accepted") {
                submit()
                outcome(PersistOutcome.Persisted)
                assertEquals(CallerAnswer.Stored, answer)
            },
            Row("a refused job is offered to the other failure domains, then answered as not stored") {
                submit()
                repeat(3) { outcome(REFUSED) }
                assertEquals(listOf("a", "b", "c"), client.requestedDomains.toList())
                assertIs<CallerAnswer.NotRun>(answer)
            },
            Row("with backlogs in all failure domains, a job goes to the shortest one") {
                submit()
                listOf(900L, 300L, 500L).forEach { outcome(REFUSED.copy(backlogMillis = it)) }
                outcome(PersistOutcome.Persisted)
                assertEquals(listOf("a", "b", "c", "b!"), client.requestedDomains.toList())
                assertEquals(CallerAnswer.Stored, answer)
            },
            Row("with a backlog in the local failure domain, a job goes to one without") {
                submit()
                outcome(REFUSED.copy(backlogMillis = 900))
                outcome(PersistOutcome.Persisted)
                assertEquals(listOf("a", "b"), client.requestedDomains.toList())
                assertEquals(CallerAnswer.Stored, answer)
            },
            Row("an unreachable holder is skipped") {
                submit()
                outcome(null)
                pass(50)
                outcome(PersistOutcome.Persisted)
                assertEquals(CallerAnswer.Stored, answer)
            },
            Row("a lost answer is resolved by another holder") {
                submit()
                outcome(PersistOutcome.Unknown("reset"))
                pass(50)
                outcome(PersistOutcome.Persisted)
                assertEquals(CallerAnswer.Stored, answer)
            },
            Row("a lost answer is never reported as a refusal") {
                submit()
                outcome(PersistOutcome.Unknown("reset"))
                repeat(100) {
                    pass(30)
                    if (answer == null) outcome(REFUSED)
                }
                assertIs<CallerAnswer.GivenUp>(answer)
            },
            Row("a job without any holder is refused well before its deadline") {
                client.candidates = emptyList()
                submit()
                pass(800)
                assertIs<CallerAnswer.NotRun>(answer)
            },
            Row("the local holder returns the state without a query to the store") {
                client.states["a"] = DurableJobClient.StateAnswer.Known(JobState.RUNNING)
                queryState()
                assertEquals(JobState.RUNNING, (answer as CallerAnswer.State).state)
            },
            Row("a job of another failure domain is found through the store") {
                storeInDomainB(JobState.QUEUED)
                client.states["b"] = DurableJobClient.StateAnswer.Known(JobState.COMPLETED)
                queryState()
                assertEquals(JobState.COMPLETED, (answer as CallerAnswer.State).state)
            },
            Row("a job whose holder does not answer is read from the store") {
                storeInDomainB(JobState.FAILED)
                client.states["b"] = DurableJobClient.StateAnswer.Unreachable
                queryState()
                assertEquals(JobState.FAILED, (answer as CallerAnswer.State).state)
            },
            Row("a job that is not stored is unknown") {
                queryState()
                assertEquals(CallerAnswer.UnknownJob, answer)
            },
            Row("a job that moves while it is looked up is found in its new shard") {
                moveWhenQueried("c")
                queryState()
                assertEquals(JobState.QUEUED, (answer as CallerAnswer.State).state)
            },
            Row("a job that moves to the local shard while it is looked up is found there") {
                moveWhenQueried("a")
                queryState()
                assertEquals(JobState.QUEUED, (answer as CallerAnswer.State).state)
            },
            Row("a job that moves away before its record is read, and back afterwards, is not reported as unknown") {
                storeInDomainB(JobState.QUEUED)
                client.onQuery["b"] = {
                    client.onQuery.clear()
                    storeIn("c", JobState.QUEUED)
                    loop.schedule(6) { storeInDomainB(JobState.QUEUED) }
                }
                queryState()
                assertEquals(JobState.QUEUED, (answer as CallerAnswer.State).state)
            },
            Row("a cancellation that meets a move is carried out by the new holder") {
                moveWhenQueried("c")
                client.cancelStored += "c"
                queryState(cancel = true)
                assertEquals(JobState.CANCELLED, (answer as CallerAnswer.State).state)
                assertEquals(listOf("a", "b", "c", "c"), client.requestedDomains.toList())
            },
            Row("a cancellation that meets a move is not confirmed while the new holder cannot carry it out") {
                moveWhenQueried("c")
                queryState(cancel = true)
                assertNull(answer)
                pass(1_500)
                assertIs<CallerAnswer.TryLater>(answer)
            },
            Row("a job whose location stays, but whose record does not exist, is unknown") {
                storeInDomainB(JobState.QUEUED)
                store.items.remove(JobKeys.record(ShardId(FailureDomainId("b"), 0), JOB.id))
                queryState()
                assertEquals(CallerAnswer.UnknownJob, answer)
            },
            Row("a job whose record cannot be decoded is not reported as unknown") {
                storeInDomainB(JobState.QUEUED)
                store.put(JobKeys.record(ShardId(FailureDomainId("b"), 0), JOB.id), "?".encodeToByteArray())
                queryState()
                assertIs<CallerAnswer.TryLater>(answer)
            },
            Row("a cancellation that reaches no holder is not confirmed") {
                storeInDomainB(JobState.RUNNING)
                client.states["b"] = DurableJobClient.StateAnswer.Unreachable
                queryState(cancel = true)
                assertIs<CallerAnswer.TryLater>(answer)
            },
            Row("a cancellation that is stored too slowly is not confirmed, and the caller is answered in time") {
                client.unresponsive += "a"
                queryState(cancel = true)
                assertNull(answer)
                pass(1_500)
                assertIs<CallerAnswer.TryLater>(answer)
            },
            Row("waiting jobs of all failure domains are counted, with the last count of an unreachable one") {
                reportCounts()
                count()
                client.counts["b"] = DurableJobClient.CountAnswer.Unreachable
                pass(3_000)
                count()
                assertEquals(6, (answer as CallerAnswer.Pending).jobs)
            },
            Row("waiting jobs are not counted without any count of an unreachable holder") {
                reportCounts()
                client.counts["b"] = DurableJobClient.CountAnswer.Unreachable
                count()
                assertIs<CallerAnswer.TryLater>(answer)
            },
            Row("a recent count is used for a new holder that has not loaded its jobs") {
                reportCounts()
                count()
                client.counts["b"] = DurableJobClient.CountAnswer.Known(null)
                pass(1_000)
                count()
                assertEquals(6, (answer as CallerAnswer.Pending).jobs)
            },
            Row("waiting jobs are not counted while a holder has not loaded its jobs") {
                reportCounts()
                client.counts["b"] = DurableJobClient.CountAnswer.Known(null)
                count()
                assertIs<CallerAnswer.TryLater>(answer)
            },
            Row("with an unresponsive holder, the caller is answered by its deadline that the job may be stored") {
                submit()
                pass(WAIT_MILLIS - 50)
                assertNull(answer)
                pass(50)
                assertIs<CallerAnswer.GivenUp>(answer)
            },
        )

    @TestFactory
    fun `requests about durable jobs`() = rows.map { row -> DynamicTest.dynamicTest(row.name) { row.test(Fixture()) } }

    private companion object {
        const val WAIT_MILLIS = 2_000L
        val REFUSED = PersistOutcome.Refused("full", 100)
        val JOB = JobSpec(JobId("j"), "q", "s", 0, 1, 1.6, 60, "", listOf(StepSpec(1, Resources(1_000), 100)))

        fun holdingIn(domain: String) =
            ShardHolding(
                ShardId(FailureDomainId(domain), 0),
                FleetMember(InstanceId("h-$domain"), "1", FailureDomainId(domain), "10.0.0.1:1", 1.0),
                1,
            )
    }
}
