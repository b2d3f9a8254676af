package io.jackdawring.testing.shard

import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.ShardDecision
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.core.shard.WaiterId
import io.jackdawring.core.shard.shardOptions
import io.jackdawring.testing.shard.FakeShard.Companion.job
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.Random
import kotlin.math.exp
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against tasks that are placed beside others that slow them down, and against kinds kept apart for no reason. */
class InterferenceTest {
    /** Jobs of one kind that arrive at random, at a rate for each target. */
    private class Stream(
        val queue: String,
        val jobsPerSecond: Double,
        val estimateMillis: Long,
        val tasks: Int = 1,
        val cpuMillis: Int = 14_000,
        /** Mean ratio of actual to declared durations. */
        val bias: Double = 1.0,
        val image: String? = null,
    )

    private class Load(
        targets: Int,
        private val seed: Long = 1,
        avoids: Boolean = true,
    ) {
        val shard =
            FakeShard(
                List(targets) { FakeShardTarget("t$it") },
                options = shardOptions { avoidsInterference = avoids },
            )
        private val random = Random(seed)
        private val submittedAtMillis = HashMap<WaiterId, Long>()

        /** Lets tasks of different kinds take [factor] times as long beside each other. */
        fun slowDown(factor: Double) =
            shard.targets.forEach { it.slowdown = { kind, other -> if (kind == other) 1.0 else factor } }

        fun setSpeeds(speed: (Int) -> Double) = shard.targets.forEachIndexed { index, it -> it.speed = speed(index) }

        fun run(
            streams: List<Stream>,
            seconds: Int,
            inWaves: Boolean = false,
        ) = repeat(seconds * 1_000) {
            val wave =
                if (!inWaves) {
                    1.0
                } else if (shard.nowMillis % WAVE_MILLIS < BURST_MILLIS) {
                    1.7
                } else {
                    0.8
                }
            for (stream in streams) {
                val rate = stream.jobsPerSecond * shard.targets.size * wave
                if (random.nextDouble() < rate / 1_000) submit(stream)
            }
            shard.runFor(1)
        }

        /** Submits a job with an error of its declared duration, of whose tasks 3 in 100 take seven times as long. */
        private fun submit(stream: Stream) {
            val id = JobId("${stream.queue}${submittedAtMillis.size}")
            val workMillis = stream.estimateMillis * stream.bias * exp(0.4 * random.nextGaussian())
            repeat(stream.tasks) {
                val tail = if (random.nextInt(100) < 3) 7 else 1
                shard.actualMillis[TaskKey(id, 0, 0, it)] = (workMillis * tail).toLong()
            }
            val job =
                with(stream) { job(id.value, tasks, estimateMillis, cpuMillis, queue = queue, image = image) }
            submittedAtMillis[shard.submit(job)] = shard.nowMillis
        }

        /** Times to the answers of the jobs that completed in the last [seconds]. */
        fun completedMillis(seconds: Int): List<Long> =
            shard.answers
                .filterValues { it.outcome == JobOutcome.Completed && it.atMillis >= shard.nowMillis - seconds * 1_000 }
                .map { (waiter, answer) -> answer.atMillis - submittedAtMillis.getValue(waiter) }

        /** Number of jobs that have completed so far. */
        val completed: Int get() = shard.answers.values.count { it.outcome == JobOutcome.Completed }

        val separations get() = shard.decisions.filterIsInstance<ShardDecision.KindsSeparated>()
        val avoided get() = shard.decisions.count { it is ShardDecision.NeighbourAvoided }
    }

    private data class Effect(
        val targets: Int,
        val factor: Double,
        val load: Double,
        val learningSeconds: Int,
        /** Number of plays; the durations of one play on few targets vary by a tenth. */
        val seeds: Long,
        /** Largest mean duration as a share of that without the feature. */
        val maxShare: Double,
    )

    private val withRoom =
        listOf(
            Effect(targets = 10, factor = 1.5, load = 0.7, learningSeconds = 60, seeds = 8, maxShare = 0.93),
            Effect(targets = 10, factor = 3.0, load = 0.7, learningSeconds = 15, seeds = 8, maxShare = 0.75),
            Effect(targets = 80, factor = 1.5, load = 0.7, learningSeconds = 10, seeds = 2, maxShare = 0.93),
            Effect(targets = 80, factor = 3.0, load = 0.7, learningSeconds = 10, seeds = 2, maxShare = 0.75),
        )
    private val withoutRoom = withRoom.map { it.copy(load = 1.5, maxShare = 1.0) }

    @TestFactory
    fun `kinds that slow each other down, where there is room, run apart and take less time`() =
        withRoom.map { row ->
            DynamicTest.dynamicTest("$row") {
                val plays = (1L..row.seeds).map { seed -> listOf(false, true).map { runTwoKinds(row, it, seed) } }
                val share =
                    plays
                        .map { (before, after) ->
                            after.completedMillis(SECONDS).average() / before.completedMillis(SECONDS).average()
                        }.average()
                assertTrue(share <= row.maxShare, "the mean duration is $share of that without the feature")
                val gained = plays.sumOf { (before, after) -> after.completed - before.completed }
                assertTrue(gained >= 0, "$gained more jobs complete than without the feature")
                assertTrue(plays.all { (before, after) -> after.avoided > 0 && before.avoided == 0 })
            }
        }

    @TestFactory
    fun `kinds that slow each other down, without room, are served as without the feature`() =
        withoutRoom.map { row ->
            DynamicTest.dynamicTest("$row") {
                val (before, after) = listOf(false, true).map { runTwoKinds(row, it) }
                assertTrue(after.separations.isNotEmpty(), "the interference was not noticed")
                assertEquals(before.completedMillis(SECONDS), after.completedMillis(SECONDS))
            }
        }

    private fun runTwoKinds(
        row: Effect,
        avoids: Boolean,
        seed: Long = 1,
    ) = Load(row.targets, seed, avoids).apply {
        slowDown(row.factor)
        run(listOf(Stream("a", 8 * row.load, 60), Stream("b", 3 * row.load, 200)), row.learningSeconds + SECONDS)
    }

    @TestFactory
    fun `kinds that often run beside an interfering pair are not kept apart`() =
        listOf(0.8, 1.5).map { rate ->
            DynamicTest.dynamicTest("load of $rate") {
                val load = Load(targets = 10)
                val pair = setOf("a", "b")
                load.shard.targets.forEach {
                    it.slowdown = { kind, other -> if (setOf(kind, other) == pair) 3.0 else 1.0 }
                }
                val streams =
                    FOUR_KINDS.map {
                        Stream(
                            it.queue,
                            it.jobsPerSecond * rate,
                            it.estimateMillis,
                            bias = it.bias,
                        )
                    }
                load.run(streams, seconds = 60, inWaves = true)
                assertEquals(setOf(pair), load.separations.map { setOf(it.kind, it.neighbour) }.toSet())
            }
        }

    private class Harmless(
        val pattern: String,
        val streams: List<Stream> = FOUR_KINDS,
        val prepare: Load.() -> Unit = {},
        val eachSeconds: Load.(Int) -> Unit = {},
    )

    private val harmless =
        listOf(
            Harmless("declared durations that are off by a factor"),
            Harmless(
                "jobs of many tasks, which share an error",
                FOUR_KINDS + Stream("w", 0.6, 60, tasks = 8, bias = 2.0),
            ),
            Harmless("targets of different speeds", prepare = { setSpeeds { if (it % 4 == 0) 0.55 else 1.2 } }),
            Harmless("targets that are slow for a while", eachSeconds = { second ->
                setSpeeds { if ((it + second / 8) % 3 == 0) 0.4 else 1.0 }
            }),
            Harmless("kinds that stay on slow targets", prepare = {
                setSpeeds { if (it < 5) 0.6 else 1.0 }
                repeat(5) { shard.submitDurable(job("l$it", longRunning = true, queue = "long")) }
            }),
            Harmless(
                "many small kinds, which always have neighbours",
                List(12) {
                    Stream(
                        "k$it",
                        3.2 / (1 + it % 4),
                        30L + 40 * it,
                        1 + it % 4,
                        cpuMillis = 3_500,
                        bias =
                            0.5 + it / 10.0,
                    )
                },
            ),
        )

    @TestFactory
    fun `kinds that do not slow each other down are never kept apart`() =
        harmless.flatMap { row ->
            (1L..2L).map { seed ->
                DynamicTest.dynamicTest("${row.pattern}, seed $seed") {
                    val load = Load(targets = 10, seed)
                    row.prepare(load)
                    repeat(40) {
                        row.eachSeconds(load, it)
                        load.run(row.streams, seconds = 1, inWaves = true)
                    }
                    assertEquals(emptyList(), load.separations)
                }
            }
        }

    @TestFactory
    fun `kinds that no longer slow each other down are placed together again`() =
        mapOf("with room" to 0.7, "without room" to 1.5).map { (name, rate) ->
            DynamicTest.dynamicTest(name) {
                val load = Load(targets = 10)
                val streams = listOf(Stream("a", 8 * rate, 60), Stream("b", 3 * rate, 200))
                load.slowDown(3.0)
                load.run(streams, seconds = 20)
                assertEquals(listOf(true), load.separations.map { it.areApart })
                load.slowDown(1.0)
                load.run(streams, seconds = 120)
                assertEquals(false, load.separations.last().areApart)
                val avoided = load.avoided
                load.run(streams, seconds = 20)
                assertEquals(avoided, load.avoided)
            }
        }

    @TestFactory
    fun `images of one queue that slow each other down are told apart`() =
        listOf("decode" to "encode", null to "encode").map { (first, second) ->
            DynamicTest.dynamicTest("$first and $second") {
                val load = Load(targets = 10)
                load.slowDown(3.0)
                load.run(listOf(Stream("q", 5.0, 60, image = first), Stream("q", 2.0, 200, image = second)), 20)
                val expected = setOf(listOfNotNull("q", first).joinToString(" "), "q $second")
                assertEquals(expected, load.separations.single().let { setOf(it.kind, it.neighbour) })
            }
        }

    private companion object {
        /** Time over which durations are compared. */
        const val SECONDS = 10
        const val WAVE_MILLIS = 11_000L
        const val BURST_MILLIS = 4_000L
        val FOUR_KINDS =
            listOf(
                Stream("a", 4.8, 60, bias = 1.6),
                Stream("b", 1.6, 200, bias = 0.6),
                Stream("c", 0.3, 900),
                Stream("d", 1.6, 100),
            )
    }
}
