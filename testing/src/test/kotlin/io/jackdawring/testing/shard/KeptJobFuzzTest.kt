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
 * Kept jobs under random faults of targets, replaced holders and a slow store, with fixed seeds.
 *
 * The world checks that no task runs twice at a time or starts after its end was acknowledged, and that an end is shown
 * only once it is stored, and that no progress that a target saved is lost. Here: tasks that last run in the end, every
 * other job ends, none is lost, none fails without failed runs, and a cancelled job stays so.
 */
class KeptJobFuzzTest {
    private class Schedule(
        seed: Long,
    ) {
        private val random = SplittableRandom(seed)
        private val world = FakeShardWorld(List(TARGETS) { FakeShardTarget("t$it", speed = if (it == 0) 0.5 else 1.1) })
        private val jobs = ArrayList<JobSpec>()
        private val longRunning = ArrayList<JobSpec>()
        private val cancelled = HashSet<JobSpec>()

        fun play() {
            repeat(STEPS) {
                step()
                world.runFor(random.nextInt(1, 40).toLong())
            }
            world.targets.forEach { it.mode = Mode.HEALTHY }
            checkLasting()
            repeat(RECOVERY_STEPS) { if (jobs.any { !isEnded(it) }) world.runFor(RECOVERY_STEP_MILLIS) }
            jobs.forEach(::checkEnded)
        }

        /** Waits until all tasks that last run again, and cancels their jobs. */
        private fun checkLasting() {
            world.runFor(LONGEST_READ_MILLIS)
            val open = longRunning.filterNot(::isEnded)
            repeat(RECOVERY_STEPS) { if (!open.all(::runs)) world.runFor(RECOVERY_STEP_MILLIS) }
            for (job in open) {
                assertTrue(runs(job), "not all tasks of ${job.id.value} run")
                if (world.cancel(job)) cancelled.add(job)
            }
        }

        private fun runs(job: JobSpec) =
            job.steps
                .single()
                .count == world.runningTasksOf(job)

        private fun step() {
            when (random.nextInt(20)) {
                0 -> if (longRunning.size < MAX_LASTING) keepLasting() else submitDurable()
                in 1..6 -> submitDurable()
                7 -> cancel()
                8, 9 -> world.saveMillis = random.nextLong(1, 400)
                10 -> world.readMillis = random.nextLong(1, LONGEST_READ_MILLIS)
                11, 12, 13 -> anyTarget().mode = Mode.entries[random.nextInt(Mode.entries.size)]
                14, 15 -> anyTarget().mode = Mode.HEALTHY
                16 -> world.restart(anyTarget())
                17, 18 -> world.replaceHolder(handOver = random.nextBoolean())
                else -> Unit
            }
        }

        private fun anyTarget() = world.targets[random.nextInt(TARGETS)]

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
                FakeShardWorld
                    .job(
                        "k${jobs.size}",
                        maxAttempts = MAX_ATTEMPTS,
                        priority = random.nextInt(3),
                    ).copy(steps = steps)
            job.steps.forEachIndexed { number, step ->
                repeat(step.count) { world.works[TaskKey(job.id, 0, number, it)] = random.nextLong(5, 400) }
            }
            jobs.add(job)
            world.submitDurable(job)
        }

        private fun keepLasting() {
            val job = FakeShardWorld.job("k${jobs.size}", random.nextInt(1, 3), cpuMillis = 2_000, longRunning = true)
            repeat(2) { world.works[TaskKey(job.id, 0, 0, it)] = random.nextLong(5_000, 50_000) }
            jobs.add(job)
            longRunning.add(job)
            world.submitDurable(job)
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
            if (world.cancel(job)) cancelled.add(job)
        }

        private fun isEnded(job: JobSpec) = world.durableJobState(job)?.isEnded == true

        private fun checkEnded(job: JobSpec) {
            val progress = world.stored.getValue(job.id).progress
            assertEquals(world.durableJobState(job), progress.state, "${job.id.value} is shown otherwise than stored")
            when (progress.state) {
                JobState.COMPLETED -> assertTrue(job !in cancelled || world.wasReplaced, "a cancelled job is completed")
                JobState.FAILED ->
                    assertTrue(
                        progress.failures.values.any { it.size >= MAX_ATTEMPTS },
                        "failed without cause",
                    )
                JobState.CANCELLED -> assertTrue(job in cancelled, "${job.id.value} was not cancelled")
                else -> error("${job.id.value} has not ended: ${progress.state}")
            }
        }
    }

    @TestFactory
    fun `kept jobs under random faults`() =
        (1L..SEEDS).map { seed -> DynamicTest.dynamicTest("seed $seed") { Schedule(seed).play() } }

    private companion object {
        const val SEEDS = 300L
        const val TARGETS = 4
        const val LONGEST_READ_MILLIS = 1_500L
        const val STEPS = 150
        const val MAX_ATTEMPTS = 3

        /** Few enough that the other jobs find room beside them. */
        const val MAX_LASTING = 2

        /** The longest suspension of a target, the longest lease, and the work of all jobs. */
        const val RECOVERY_STEPS = 60
        const val RECOVERY_STEP_MILLIS = 1_000L
    }
}
