package io.jackdawring.fleet.model

import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.fleet.CallerAnswer
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.SplittableRandom
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against long-running tasks that stay without a run while others of their job run, and against those that run
 * twice, or after the end of their job, because another shard has them.
 */
class DelegatedTaskTest {
    private class Row(
        val name: String,
        val test: FakeFleet.() -> Unit,
    )

    private fun fleet(random: SplittableRandom = SplittableRandom(1)) =
        FakeFleet(domains = 3, instancesPerDomain = 2, targetsPerDomain = 2, random)

    /** Two tasks, each of which fills a target of "a". */
    private fun FakeFleet.startJob() {
        submitDurable(FakeFleet.job(ID.value, TASKS, cpuMillis = 16_000, isLongRunning = true), "a1", FOREVER_MILLIS)
        run(6_000)
        assertEquals(listOf("a", "a"), domainsOfRuns())
    }

    private fun FakeFleet.domainsOfRuns() = runs.targetsOf(ID).map { it.take(1) }.sorted()

    /** Loses a target for good, and returns the failure domain that has its task then. */
    private fun FakeFleet.loseTarget(): String {
        crashForGood("a-t1")
        run(6_000)
        assertAllRun()
        return domainsOfRuns().last()
    }

    private fun FakeFleet.assertAllRun() {
        assertEquals(TASKS, runs.runningTasksOf(ID).size, "tasks run\n${trace.describe(ID)}")
        assertEquals("a" to JobState.RUNNING, storedJobs().getValue(ID))
        assertEquals(emptyList(), runs.repeatedAttempts.toList(), "attempts that do not rise")
    }

    private fun FakeFleet.cutDomain(
        domain: String,
        others: List<String>,
        millis: Long,
    ) {
        val inside = (instances.map { it.id } + targets.keys).filter { it.startsWith(domain) }
        inside.forEach { cut(it, others, millis) }
    }

    private fun FakeFleet.outside(domain: String) =
        (instances.map { it.id } + targets.keys).filterNot { it.startsWith(domain) }

    /** Tasks that ran when the cancellation was confirmed. */
    private var runsAtConfirmation = emptySet<TaskKey>()

    /** Cancels the job until that is confirmed or [millis] have passed; returns whether it was confirmed. */
    private fun FakeFleet.cancel(millis: Long): Boolean {
        var confirmed = false
        repeat((millis / 1_300).toInt()) {
            if (confirmed) return@repeat
            val asked = instances.first { it.domain == "a" && it.isListening }
            asked.process.execute {
                asked.durableJobs.queryState(ID, cancel = true) { answer ->
                    trace.add("cancel: $answer", ID)
                    if ((answer as? CallerAnswer.State)?.state == JobState.CANCELLED && !confirmed) {
                        confirmed = true
                        runsAtConfirmation = runs.runningTasksOf(ID)
                    }
                }
            }
            run(1_300)
        }
        return confirmed
    }

    private fun FakeFleet.assertCancelled() {
        val count = runs.countOf(ID)
        run(4_000)
        assertEquals(emptySet(), runs.runningTasksOf(ID), "runs after the cancellation\n${trace.describe(ID)}")
        run(20_000)
        assertEquals(count, runs.countOf(ID), "starts after the cancellation\n${trace.describe(ID)}")
        assertEquals(JobState.CANCELLED, storedJobs().getValue(ID).second)
        assertEquals(emptyList(), store.items.keys.filter { "/part/" in it }, "parts that are left")
    }

    private val rows =
        listOf(
            Row("a lost target: its task runs again in another failure domain") { assertTrue(loseTarget() != "a") },
            Row("the target of the part is lost too: the third failure domain has room") {
                val second = loseTarget()
                targets.keys.filter { it.startsWith(second) }.forEach(::crashForGood)
                run(7_000)
                assertAllRun()
                assertTrue(domainsOfRuns().last() !in listOf("a", second))
            },
            Row("a target comes back: the task stays where it is") {
                restart("a-t1")
                silence("a-t1", 8_000)
                run(6_000)
                assertAllRun()
                val count = runs.countOf(ID)
                run(20_000)
                assertEquals(count, runs.countOf(ID))
            },
            Row("the holder of the part is killed: its successor continues the run") {
                val other = loseTarget()
                val count = runs.countOf(ID)
                holder(other)?.let { kill(it.id, restartAfterMillis = 2_000) }
                run(10_000)
                assertAllRun()
                assertEquals(count, runs.countOf(ID))
            },
            Row("the holder of the job is killed: its successor knows which tasks are elsewhere") {
                loseTarget()
                val count = runs.countOf(ID)
                holder("a")?.let { kill(it.id, restartAfterMillis = 2_000) }
                run(10_000)
                assertAllRun()
                assertEquals(count, runs.countOf(ID))
                assertTrue(cancel(2_600))
                assertCancelled()
            },
            Row("the holder of the job is killed again and again while it delegates") {
                crashForGood("a-t1")
                run(2_500)
                repeat(6) {
                    holder("a")?.let { kill(it.id, restartAfterMillis = 300) }
                    run(400)
                }
                run(40_000)
                assertAllRun()
            },
            Row("the store is down while the target is lost") {
                crashForGood("a-t1")
                stopStore(5_000)
                run(11_000)
                assertAllRun()
            },
            Row("the holder of the job is cut off from the store now and then while it delegates") {
                crashForGood("a-t1")
                repeat(40) {
                    run(200)
                    holder("a")?.let { cut(it.id, listOf(FakeLinks.STORE), 130) }
                }
                run(6_000)
                assertAllRun()
            },
            Row("a cancellation stops the task of the part, and is confirmed within two attempts") {
                loseTarget()
                assertTrue(cancel(2_600))
                assertCancelled()
            },
            Row("a cancellation while the holder of the part is cut off from the others: it goes by the store") {
                val other = loseTarget()
                cutDomain(other, outside(other), 60_000)
                assertTrue(cancel(6_500))
                assertCancelled()
            },
            Row(
                "a cancellation while the failure domain of the part is cut off from all: it is not confirmed before the end",
            ) {
                val other = loseTarget()
                cutDomain(other, outside(other) + FakeLinks.STORE, 8_000)
                assertTrue(cancel(26_500))
                assertEquals(emptySet(), runsAtConfirmation, trace.describe(ID))
                assertCancelled()
            },
            Row("a cancellation is not confirmed while a holder that is cut off starts the task again") {
                val other = loseTarget()
                val former = checkNotNull(holder(other)).id
                val target = runs.targetsOf(ID).first { it.startsWith(other) }
                val rest = instances.map { it.id } + targets.keys - former - target + FakeLinks.STORE
                listOf(former, target).forEach { cut(it, rest, 60_000) }
                clock.schedule(7_000) { silence(target, 1_300) }
                assertTrue(cancel(40_000))
                assertCancelled()
            },
            Row("the holder of the job is killed while a cancellation is on its way") {
                val other = loseTarget()
                cutDomain(other, outside(other) + FakeLinks.STORE, 8_000)
                cancel(1_300)
                holder("a")?.let { kill(it.id, restartAfterMillis = 500) }
                run(30_000)
                assertTrue(cancel(2_600))
                assertCancelled()
            },
            Row("a task of the part that crashes its targets fails the job, all tasks of which stop") {
                loseTarget()
                repeat(12) {
                    runs.targetsOf(ID).filterNot { it.startsWith("a") }.forEach(::restart)
                    run(1_500)
                }
                assertEquals(JobState.FAILED, storedJobs().getValue(ID).second)
                assertEquals(emptySet(), runs.runningTasksOf(ID))
                assertEquals(emptyList(), store.items.keys.filter { "/part/" in it }, "parts that are left")
            },
            Row("the failure domain of the part is cut off from the other ones: the task continues") {
                val other = loseTarget()
                val count = runs.countOf(ID)
                cutDomain(other, outside(other), 30_000)
                run(60_000)
                assertAllRun()
                assertEquals(count, runs.countOf(ID))
            },
            Row("the failure domain of the part is cut off from all for long: no task runs twice") {
                val other = loseTarget()
                cutDomain(other, outside(other) + FakeLinks.STORE, 40_000)
                run(90_000)
                assertAllRun()
            },
            Row("the failure domain of the job is cut off from all for long: no task runs twice") {
                loseTarget()
                cutDomain("a", outside("a") + FakeLinks.STORE, 40_000)
                run(90_000)
                assertAllRun()
            },
            Row("all instances are killed at once") {
                loseTarget()
                instances.forEach { kill(it.id, restartAfterMillis = 1_000) }
                run(20_000)
                assertAllRun()
                assertTrue(cancel(2_600))
                assertCancelled()
            },
        )

    /** One fault after the other, some of them at the same time, with a cancellation at the end. */
    private fun FakeFleet.disturb() {
        crashForGood("a-t1")
        repeat(12) {
            val instance = instances[random.nextInt(instances.size)]
            val domain = instance.domain
            val millis = random.nextLong(100, 3_000)
            when (random.nextInt(8)) {
                0 -> kill(instance.id, restartAfterMillis = millis)
                1 -> freeze(instance.id, millis, random.nextBoolean(), random.nextBoolean())
                2 -> cut(instance.id, listOf(FakeLinks.STORE), millis)
                3 -> cutDomain(domain, outside(domain), 3 * millis)
                4 -> cutDomain(domain, outside(domain) + FakeLinks.STORE, 8 * millis)
                5 -> if (random.nextBoolean()) stopStore(millis) else slowStore(2 * millis)
                6 -> targetsOf(domain).filter { it != "a-t1" }.random(random).let { silence(it, 2 * millis) }
                else -> targetsOf(domain).filter { it != "a-t1" }.random(random).let(::restart)
            }
            run(random.nextLong(50, 4_000))
        }
    }

    private fun List<String>.random(random: SplittableRandom) = this[random.nextInt(size)]

    @TestFactory
    fun `tasks that other shards have`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                fleet().run {
                    startJob()
                    row.test(this)
                }
            }
        }

    @TestFactory
    fun `tasks that other shards have, with random faults`() =
        List(PLAYS) { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                fleet(SplittableRandom(seed.toLong())).run {
                    startJob()
                    disturb()
                    run(70_000)
                    assertEquals(TASKS, runs.runningTasksOf(ID).size, "tasks run\n${trace.describe(ID)}")
                    assertTrue(cancel(5_200), "the cancellation is not confirmed\n${trace.describe(ID)}")
                    assertCancelled()
                }
            }
        }

    private companion object {
        val ID = JobId("serving")
        const val TASKS = 2
        const val FOREVER_MILLIS = 10_000_000L
        const val PLAYS = 30
    }
}
