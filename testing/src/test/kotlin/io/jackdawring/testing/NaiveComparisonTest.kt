package io.jackdawring.testing

import io.jackdawring.core.CallerId
import io.jackdawring.core.Credential
import io.jackdawring.core.EntryInstance
import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.Outcome
import io.jackdawring.core.Payload
import io.jackdawring.core.SubmissionId
import io.jackdawring.core.TaskSpec
import io.jackdawring.core.submission
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Compares with [NaiveEntryInstance]: without failures both must be correct, under failures its faults must show. */
class NaiveComparisonTest {
    /** Guards against answers or starts that differ from those of the reference although nothing fails. */
    @Test
    fun `without failures the answers and starts equal those of one naive instance`() {
        for (seed in 1L..SEEDS) {
            val naive = Fleet(seed, domains = 1, perDomain = 1, EntryInstance.Factory(::NaiveEntryInstance)).run()
            val real = Fleet(seed, domains = 3, perDomain = 2, EntryInstance.Default).run()
            assertEquals(naive, real, "seed $seed")
        }
    }

    /** Guards against an oracle that misses violations: the naive instance must violate each of these invariants. */
    @Test
    fun `under failures the naive instance violates the invariants`() {
        val broken = HashSet<Invariant>()
        for (seed in 1L..FAULTY_SEEDS) {
            val run = FuzzRun(seed, EntryInstance.Factory(::NaiveEntryInstance))
            run.run(randomSteps(Random(seed), STEPS))
            run.violations.mapTo(broken) { it.invariant }
        }
        val expected =
            setOf(
                Invariant.SINGLE_START,
                Invariant.COMPLETE_ANSWER,
                Invariant.ACCURATE_REFUSAL,
                Invariant.LEAVING_TARGET,
                Invariant.GRACEFUL_SHUTDOWN,
            )
        assertTrue(broken.containsAll(expected), "not violated: ${expected - broken}")
    }

    private class Fleet(
        seed: Long,
        domains: Int,
        perDomain: Int,
        factory: EntryInstance.Factory,
    ) {
        private val random = Random(seed)
        private val cluster = FakeCluster(seed, List(domains) { FailureDomainId("domain-$it") }, factory)

        init {
            cluster.store.publishTestConfiguration()
            cluster.domains.forEach { domain -> repeat(perDomain) { cluster.addInstance(domain) } }
            repeat(TARGETS) { cluster.addTarget(cluster.domains[it % domains], slots = SLOTS) }
            cluster.advance(SETTLE_MILLIS)
        }

        /** Answers of all requests by the number of the submission, then the number of started tasks. */
        fun run(): Pair<Map<Int, List<Answer>>, Int> {
            val answers = HashMap<Int, MutableList<Answer>>()
            repeat(SUBMISSIONS) { number ->
                val tasks = random.nextInt(1, MAX_TASKS)
                val requests = random.nextInt(1, MAX_REQUESTS)
                val gaps = List(requests) { random.nextLong(MAX_GAP_MILLIS) }
                submit(number, tasks, gaps, answers.getOrPut(number, ::ArrayList))
            }
            cluster.advance(FINISH_MILLIS)
            assertEquals(emptyList(), cluster.oracle.violations)
            return answers to cluster.startLog.total
        }

        private fun submit(
            number: Int,
            tasks: Int,
            gapsMillis: List<Long>,
            answers: MutableList<Answer>,
        ) {
            cluster.instances[number % cluster.instances.size].openSession(CallerId("house-1")) { claims ->
                val credential = Credential.Session(checkNotNull(claims))
                val submission =
                    submission(SubmissionId("submission-$number"), credential) {
                        service = TestConfiguration.SERVICE
                        kind = TestConfiguration.KINDS[number % TestConfiguration.KINDS.size]
                        deadlineMillis = DEADLINE_MILLIS
                        fingerprint = "body"
                        tasks(List(tasks) { TaskSpec(Payload.of("$it")) })
                    }
                val name = Oracle.submissionName(credential.scope, submission.id.value)
                gapsMillis.forEachIndexed { attempt, gap ->
                    cluster.clock.schedule(gap) {
                        cluster.oracle.requested(name, "attempt $attempt", tasks)
                        cluster.instances[(number + attempt) % cluster.instances.size].submit(
                            submission,
                            onAnswer = {
                                cluster.oracle.answered(name, "attempt $attempt", it)
                                answers.add(Answer(it is Outcome.Complete, (it as? Outcome.Complete)?.results?.size))
                            },
                            onDisconnected = { error("nothing fails in this run") },
                        )
                    }
                }
            }
        }
    }

    private data class Answer(
        val complete: Boolean,
        val results: Int?,
    )

    private companion object {
        const val SEEDS = 25L
        const val FAULTY_SEEDS = 8L
        const val STEPS = 200
        const val TARGETS = 6
        const val SLOTS = 400
        const val SUBMISSIONS = 40
        const val MAX_TASKS = 30
        const val MAX_REQUESTS = 4
        const val MAX_GAP_MILLIS = 1_500L
        const val DEADLINE_MILLIS = 60_000L
        const val SETTLE_MILLIS = 5_000L
        const val FINISH_MILLIS = 70_000L
    }
}
