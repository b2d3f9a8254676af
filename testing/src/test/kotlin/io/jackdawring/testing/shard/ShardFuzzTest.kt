package io.jackdawring.testing.shard

import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.core.shard.WaiterId
import io.jackdawring.testing.shard.FakeShardTarget.Mode
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.SplittableRandom
import kotlin.test.assertTrue

/**
 * Random jobs, target faults and holder changes with fixed seeds.
 *
 * [FakeShard] checks every millisecond that no task runs twice at a time. This test checks that rejected jobs have not
 * started, and that the shard serves jobs again once the faults are over.
 */
class ShardFuzzTest {
    private class Request(
        val job: JobSpec,
        val waiter: WaiterId,
        val startsBefore: Int,
        val mayRun: Boolean,
    )

    private class Schedule(
        seed: Long,
    ) {
        private val random = SplittableRandom(seed)
        private val shard = FakeShard(List(TARGETS) { FakeShardTarget("t$it", speed = if (it == 0) 0.5 else 1.1) })
        private val open = ArrayList<Request>()
        private var jobs = 0

        fun play() {
            repeat(STEPS) {
                step()
                shard.runFor(random.nextInt(1, 40).toLong())
                checkAnswered()
            }
            shard.targets.forEach { it.mode = Mode.HEALTHY }
            shard.runFor(RECOVERY_MILLIS)
            val last = submit(FakeShard.job("last", tasks = 2, estimateMillis = 50), mayRun = false)
            shard.runFor(LAST_MILLIS)
            assertTrue(shard.answers[last.waiter]?.outcome == JobOutcome.Completed, "no job completes after the faults")
        }

        private fun step() {
            when (random.nextInt(20)) {
                in 0..9 -> submit(newJob(), mayRun = false)
                10, 11 -> open.randomOrNull()?.let { submit(it.job, it.mayRun) }
                12 -> open.randomOrNull()?.let { shard.withdraw(it.waiter) }
                13 -> open.randomOrNull()?.let { shard.expire(it.waiter) }
                14, 15, 16 ->
                    shard.targets[random.nextInt(TARGETS)].mode =
                        Mode.entries[random.nextInt(Mode.entries.size)]
                17 -> shard.targets[random.nextInt(TARGETS)].mode = Mode.HEALTHY
                18 -> shard.targets[random.nextInt(TARGETS)].restart()
                19 -> replaceHolder()
            }
        }

        private fun newJob(): JobSpec {
            val job =
                FakeShard.job(
                    "j${jobs++}",
                    tasks = random.nextInt(1, 9),
                    estimateMillis = random.nextLong(20, 600),
                    cpuMillis = random.nextInt(6_000, 16_000),
                    priority = random.nextInt(3),
                )
            job.steps[0].let { step ->
                repeat(step.count) { shard.actualMillis[taskOf(job, it)] = random.nextLong(10, 900) }
            }
            return job
        }

        private fun taskOf(
            job: JobSpec,
            index: Int,
        ) = TaskKey(job.id, 0, 0, index)

        private fun startsOf(job: JobSpec) = shard.starts.count { it.first.jobId == job.id }

        private fun submit(
            job: JobSpec,
            mayRun: Boolean,
        ): Request {
            val before = startsOf(job)
            return Request(job, shard.submit(job, mayRun = mayRun), before, mayRun).also(open::add)
        }

        /** Replaces the holder; the relays resend their jobs, as they do after a lost answer. */
        private fun replaceHolder() {
            shard.replaceHolder(handOver = random.nextBoolean())
            val jobs = open.map { it.job }.distinctBy { it.id }
            open.clear()
            jobs.forEach { submit(it, mayRun = true) }
        }

        private fun checkAnswered() {
            open.removeAll { request ->
                val outcome = shard.answers[request.waiter]?.outcome ?: return@removeAll false
                check(request, outcome)
                true
            }
        }

        private fun check(
            request: Request,
            outcome: JobOutcome,
        ) {
            if (outcome is JobOutcome.NotRun && !request.mayRun) {
                assertTrue(
                    startsOf(request.job) == request.startsBefore,
                    "${request.job.id.value} was rejected but has started",
                )
            }
        }

        private fun <T> List<T>.randomOrNull(): T? = if (isEmpty()) null else this[random.nextInt(size)]
    }

    @TestFactory
    fun `a shard under random faults`() =
        (1L..SEEDS).map { seed -> DynamicTest.dynamicTest("seed $seed") { Schedule(seed).play() } }

    private companion object {
        const val SEEDS = 60L
        const val TARGETS = 4
        const val STEPS = 150

        /** Covers the longest suspension of a target and the longest lease. */
        const val RECOVERY_MILLIS = 10_000L
        const val LAST_MILLIS = 1_500L
    }
}
