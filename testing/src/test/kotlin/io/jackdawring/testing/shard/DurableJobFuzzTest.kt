package io.jackdawring.testing.shard

import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.StepSpec
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.testing.shard.FakeShardTarget.Mode
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.SplittableRandom
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Durable jobs under random target faults, holder changes and slow stores, with fixed seeds.
 *
 * [FakeShard] checks that no task runs twice at a time, starts after its completion was acknowledged or loses an
 * acknowledged checkpoint, and that an end is shown only once it is stored. This test checks that long-running tasks
 * run after the faults, that every other job ends and none is lost, that none fails without failed runs, and that
 * cancelled jobs stay cancelled.
 */
class DurableJobFuzzTest {
    private class Schedule(
        seed: Long,
    ) {
        private val random = SplittableRandom(seed)
        private val shard = FakeShard(List(TARGETS) { FakeShardTarget("t$it", speed = if (it == 0) 0.5 else 1.1) })
        private val jobs = ArrayList<JobSpec>()
        private val longRunning = ArrayList<JobSpec>()
        private val cancelled = HashSet<JobSpec>()

        fun play() {
            repeat(STEPS) {
                step()
                shard.runFor(random.nextInt(1, 40).toLong())
            }
            shard.targets.forEach { it.mode = Mode.HEALTHY }
            checkLongRunning()
            repeat(RECOVERY_STEPS) { if (jobs.any { !isEnded(it) }) shard.runFor(RECOVERY_STEP_MILLIS) }
            jobs.forEach(::checkEnded)
        }

        /** Waits until all long-running tasks run again, and cancels their jobs. */
        private fun checkLongRunning() {
            shard.runFor(LONGEST_READ_MILLIS)
            val open = longRunning.filterNot(::isEnded)
            repeat(RECOVERY_STEPS) { if (!open.all(::runs)) shard.runFor(RECOVERY_STEP_MILLIS) }
            for (job in open) {
                assertTrue(runs(job), "not all tasks of ${job.id.value} run")
                if (shard.cancel(job)) cancelled.add(job)
            }
        }

        private fun runs(job: JobSpec) =
            job.steps
                .single()
                .count == shard.runningTasksOf(job)

        private fun step() {
            when (random.nextInt(20)) {
                0 -> if (longRunning.size < MAX_LONG_RUNNING) submitLongRunning() else submitDurable()
                in 1..6 -> submitDurable()
                7 -> cancel()
                8, 9 -> shard.saveMillis = random.nextLong(1, 400)
                10 -> shard.readMillis = random.nextLong(1, LONGEST_READ_MILLIS)
                11, 12, 13 -> anyTarget().mode = Mode.entries[random.nextInt(Mode.entries.size)]
                14, 15 -> anyTarget().mode = Mode.HEALTHY
                16 -> shard.restart(anyTarget())
                17, 18 -> shard.replaceHolder(handOver = random.nextBoolean())
                else -> Unit
            }
        }

        private fun anyTarget() = shard.targets[random.nextInt(TARGETS)]

        private fun submitDurable() {
            val first = step(emptyList())
            val steps =
                if (random.nextBoolean()) {
                    listOf(
                        first,
                    )
                } else {
                    listOf(first, step(emptyList()), step(listOf(0, 1)))
                }
            val job =
                FakeShard
                    .job(
                        "k${jobs.size}",
                        maxAttempts = MAX_ATTEMPTS,
                        priority = random.nextInt(3),
                    ).copy(steps = steps)
            job.steps.forEachIndexed { number, step ->
                repeat(step.count) { shard.actualMillis[TaskKey(job.id, 0, number, it)] = random.nextLong(5, 400) }
            }
            jobs.add(job)
            shard.submitDurable(job)
        }

        private fun submitLongRunning() {
            val job = FakeShard.job("k${jobs.size}", random.nextInt(1, 3), cpuMillis = 2_000, longRunning = true)
            repeat(2) { shard.actualMillis[TaskKey(job.id, 0, 0, it)] = random.nextLong(5_000, 50_000) }
            jobs.add(job)
            longRunning.add(job)
            shard.submitDurable(job)
        }

        private fun step(after: List<Int>) =
            StepSpec(
                random.nextInt(1, 7),
                Resources(random.nextInt(4_000, 16_000), 64),
                random.nextLong(20, 300),
                after,
                checkpointing = random.nextBoolean(),
                speculative = random.nextInt(4) == 0,
            )

        private fun cancel() {
            val job = jobs.filterNot(::isEnded).let { if (it.isEmpty()) return else it[random.nextInt(it.size)] }
            if (shard.cancel(job)) cancelled.add(job)
        }

        private fun isEnded(job: JobSpec) = shard.durableJobState(job)?.isEnded == true

        private fun hasCrashedTargets(job: JobSpec): Boolean =
            job.steps.withIndex().any { (number, step) ->
                (0 until step.count).any {
                    shard.crashes.possibleCrashesUnder(TaskKey(job.id, 0, number, it)) >= CrashingTasks.BUDGET_CRASHES
                }
            }

        private fun checkEnded(job: JobSpec) {
            val progress = shard.stored.getValue(job.id).progress
            assertEquals(shard.durableJobState(job), progress.state, "${job.id.value}: shown state is not stored")
            when (progress.state) {
                JobState.COMPLETED -> assertTrue(job !in cancelled || shard.wasReplaced, "a cancelled job completed")
                JobState.FAILED ->
                    assertTrue(
                        progress.failures.values.any { it.size >= MAX_ATTEMPTS } || hasCrashedTargets(job),
                        "a job failed without failed runs",
                    )
                JobState.CANCELLED -> assertTrue(job in cancelled, "${job.id.value} was not cancelled")
                else -> error("${job.id.value} has not ended: ${progress.state}")
            }
        }
    }

    @TestFactory
    fun `durable jobs under random faults`() =
        (1L..SEEDS).map { seed -> DynamicTest.dynamicTest("seed $seed") { Schedule(seed).play() } }

    private companion object {
        const val SEEDS = 300L
        const val TARGETS = 4
        const val LONGEST_READ_MILLIS = 1_500L
        const val STEPS = 150
        const val MAX_ATTEMPTS = 3

        /** Few enough to leave capacity for the other jobs. */
        const val MAX_LONG_RUNNING = 2

        /** Covers the longest suspension of a target, the longest lease and the work of all jobs. */
        const val RECOVERY_STEPS = 60
        const val RECOVERY_STEP_MILLIS = 1_000L
    }
}
