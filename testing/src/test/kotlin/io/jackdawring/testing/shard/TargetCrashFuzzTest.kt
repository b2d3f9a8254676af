package io.jackdawring.testing.shard

import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.testing.shard.FakeShardTarget.Mode
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.SplittableRandom
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Tasks that crash their targets beside sound tasks, on targets that crash, are cut off, change their capacity and do
 * not guard it, under replaced holders, with fixed seeds.
 *
 * [FakeShard] checks that no task runs twice at a time and that no start exceeds the capacity of its target. This test
 * checks that a task that crashes its targets is started at most twice after the third crash and that its job fails,
 * and that every other job completes unless targets crashed under it as often.
 */
class TargetCrashFuzzTest {
    private class Schedule(
        seed: Long,
    ) {
        private val random = SplittableRandom(seed)
        private val shard = FakeShard(List(random.nextInt(3, 9)) { FakeShardTarget("t$it", guardsCapacity = false) })
        private val jobs = ArrayList<JobSpec>()
        private val crashing = ArrayList<TaskKey>()
        private var replacements = 0

        init {
            shard.targets.forEach { it.stopMillis = random.nextLong(0, 50) }
            shard.crashes.downMillis = random.nextLong(50, 12_000)
        }

        fun play() {
            repeat(STEPS) {
                step()
                shard.runFor(random.nextInt(1, 400).toLong())
            }
            shard.targets.forEach {
                it.mode = Mode.HEALTHY
                shard.resize(it, CAPACITY, delayMillis = 0)
            }
            repeat(RECOVERY_STEPS) { if (jobs.any { !isEnded(it) }) shard.runFor(RECOVERY_STEP_MILLIS) }
            crashing.forEach(::checkCrashing)
            jobs.forEach(::checkEnded)
        }

        private fun step() {
            when (random.nextInt(20)) {
                in 0..7 -> submit(priority = random.nextInt(3))
                8 -> if (crashing.size < MAX_CRASHING) submitCrashing()
                9, 10 -> anyTarget().mode = Mode.SILENT
                in 11..13 -> anyTarget().mode = Mode.HEALTHY
                14 -> if (random.nextInt(4) == 0) shard.restart(anyTarget(), random.nextLong(50, 8_000))
                15, 16 -> shard.resize(anyTarget(), anyCapacity(), random.nextLong(1, 800))
                17 -> if (replacements++ < MAX_REPLACEMENTS) shard.replaceHolder(handOver = random.nextBoolean())
                18 -> shard.saveMillis = random.nextLong(1, 100)
                else -> Unit
            }
        }

        private fun anyTarget() = shard.targets[random.nextInt(shard.targets.size)]

        private fun anyCapacity() = Resources(random.nextInt(2_000, CAPACITY.cpuMillis), CAPACITY.memoryMb)

        private fun submit(priority: Int): JobSpec {
            val job =
                FakeShard.job(
                    "k${jobs.size}",
                    tasks = random.nextInt(1, 5),
                    estimateMillis = random.nextLong(20, 600),
                    cpuMillis = random.nextInt(2_000, 14_000),
                    priority = priority,
                    checkpointing = random.nextBoolean(),
                )
            jobs.add(job)
            shard.submitDurable(job)
            return job
        }

        private fun submitCrashing() {
            val task = TaskKey(JobId("k${jobs.size}"), 0, 0, 0)
            shard.crashes.add(task, delayMillis = random.nextLong(0, 20))
            crashing.add(task)
            submit(priority = 0)
        }

        private fun isEnded(job: JobSpec) = shard.durableJobState(job)?.isEnded == true

        private fun checkCrashing(task: TaskKey) {
            val starts = shard.crashes.startsAfterBudget(task)
            assertTrue(starts < FORBIDDEN_START, "$starts starts of $task after three crashes")
        }

        private fun checkEnded(job: JobSpec) {
            val crashes =
                (0 until job.steps[0].count).maxOf {
                    shard.crashes.possibleCrashesUnder(
                        TaskKey(job.id, 0, 0, it),
                    )
                }
            val state = shard.durableJobState(job)
            if (state == JobState.FAILED && crashes >= CrashingTasks.BUDGET_CRASHES) return
            assertTrue(crashing.none { it.jobId == job.id }, "${job.id.value} is $state after $crashes crashes")
            assertEquals(JobState.COMPLETED, state, "state of ${job.id.value} after $crashes crashes")
        }
    }

    // Guards against endless crashes, against sound jobs that fail, and against starts beyond a target's capacity.
    @TestFactory
    fun `tasks that crash targets beside sound ones under random faults`() =
        (1L..SEEDS).map { seed -> DynamicTest.dynamicTest("seed $seed") { Schedule(seed).play() } }

    private companion object {
        const val SEEDS = 100L
        const val STEPS = 120
        const val MAX_CRASHING = 3
        const val MAX_REPLACEMENTS = 2
        const val FORBIDDEN_START = 3
        const val RECOVERY_STEPS = 120
        const val RECOVERY_STEP_MILLIS = 1_000L
        val CAPACITY = Resources(32_000, 65_536)
    }
}
