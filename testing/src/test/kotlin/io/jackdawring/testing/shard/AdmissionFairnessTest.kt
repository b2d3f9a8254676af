package io.jackdawring.testing.shard

import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.core.shard.WaiterId
import io.jackdawring.testing.shard.FakeShard.Companion.job
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.SplittableRandom
import kotlin.test.assertTrue

/** Guards against jobs that an overload by others of their priority, or of less urgent ones, starves. */
class AdmissionFairnessTest {
    private class Kind(
        val name: String,
        val perSecond: Double,
        val tasks: Int,
        val durationMillis: Long,
        val priority: Int,
        val queue: String = name,
    ) {
        fun times(factor: Double) = Kind(name, perSecond * factor, tasks, durationMillis, priority, queue)
    }

    private class Share(
        val jobs: Int,
        val served: Double,
        val onTime: Double,
    )

    /** Load in jobs per second for [TARGETS] targets, in the proportions of a deployment with heavy load. */
    private val wide = Kind("wide", 35.0, tasks = 8, durationMillis = 60, priority = 0)
    private val narrow = Kind("narrow", 102.0, tasks = 2, durationMillis = 200, priority = 1)
    private val large = Kind("large", 6.3, tasks = 4, durationMillis = 900, priority = 2)

    private class Row(
        val pattern: String,
        val kinds: List<Kind>,
        /** Least share of the jobs of each kind that are served, by the name of the kind. */
        val leastServed: Map<String, Double>,
    )

    private val rows =
        listOf(
            Row("usual load", listOf(wide, narrow, large), mapOf("wide" to 0.95, "narrow" to 0.85)),
            Row(
                "burst of all kinds",
                listOf(wide, narrow, large).map { it.times(1.7) },
                mapOf("wide" to 0.45, "narrow" to 0.65),
            ),
            Row(
                "burst of wide jobs",
                listOf(wide.times(4.0), narrow, large),
                mapOf("wide" to 0.45, "narrow" to 0.8),
            ),
            Row(
                "burst of narrow jobs",
                listOf(wide, narrow.times(3.0), large),
                mapOf("wide" to 0.45, "narrow" to 0.45),
            ),
            Row(
                "burst of large jobs",
                listOf(wide, narrow, large.times(4.0)),
                mapOf("wide" to 0.4, "narrow" to 0.5),
            ),
            Row(
                "one caller floods a queue",
                listOf(wide, narrow, Kind("flood", 200.0, 2, 200, 1, "narrow"), large),
                mapOf("wide" to 0.45, "narrow" to 0.5, "flood" to 0.45),
            ),
            Row(
                "wide and narrow jobs of one priority, overloaded by the narrow ones",
                listOf(Kind("wide", 35.0, 8, 200, 1), Kind("narrow", 400.0, 2, 200, 1)),
                mapOf("wide" to 0.2, "narrow" to 0.45),
            ),
            Row(
                "wide and narrow jobs of one priority, overloaded by the wide ones",
                listOf(Kind("wide", 125.0, 8, 200, 1), Kind("narrow", 50.0, 2, 200, 1)),
                mapOf("wide" to 0.3, "narrow" to 0.65),
            ),
        )

    @TestFactory
    fun `no kind is starved beyond its priority`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.pattern) {
                val shares = play(row.kinds)
                val text =
                    shares.entries.joinToString { (name, share) ->
                        "$name ${share.jobs} served %.2f on time %.2f".format(share.served, share.onTime)
                    }
                for ((name, least) in row.leastServed) {
                    assertTrue(shares.getValue(name).served >= least, "$name is starved: $text")
                }
            }
        }

    private fun play(kinds: List<Kind>): Map<String, Share> {
        val random = SplittableRandom(1)
        val shard =
            FakeShard(
                List(TARGETS) {
                    FakeShardTarget(
                        "t$it",
                        Resources(16_000, 65_536),
                        speed =
                            if (it % 4 ==
                                0
                            ) {
                                0.55
                            } else {
                                1.2
                            },
                    )
                },
            ).also { it.runFor(50) }
        val jobs = ArrayList<Triple<Kind, JobSpec, WaiterId>>()
        val submittedAt = HashMap<WaiterId, Long>()
        repeat(DURATION_MILLIS) {
            for (kind in kinds) {
                if (random.nextDouble() >= kind.perSecond / 1_000) continue
                val cpuMillis = (8_000 * (0.7 + 0.6 * random.nextDouble())).toInt()
                val id = "${kind.name}${jobs.size}"
                val spec = job(id, kind.tasks, kind.durationMillis, cpuMillis, kind.priority, kind.queue)
                for (index in 0 until kind.tasks) {
                    val factor = if (random.nextInt(100) < 3) 7.0 else Math.exp(0.4 * random.nextGaussian())
                    shard.actualMillis[TaskKey(spec.id, 0, 0, index)] = (kind.durationMillis * factor).toLong()
                }
                val waiter = shard.submit(spec, remainingMillis = 1_500)
                submittedAt[waiter] = shard.nowMillis
                jobs.add(Triple(kind, spec, waiter))
            }
            shard.runFor(1)
        }
        shard.runFor(2_000)
        return kinds.associate { kind ->
            val own = jobs.filter { it.first === kind }
            val done = own.filter { shard.answers[it.third]?.outcome == JobOutcome.Completed }
            val onTime =
                done.count { (_, spec, waiter) ->
                    shard.answers.getValue(waiter).atMillis - submittedAt.getValue(waiter) <= spec.objectiveMillis
                }
            kind.name to Share(own.size, done.size.toDouble() / own.size, onTime.toDouble() / own.size)
        }
    }

    private companion object {
        const val TARGETS = 60
        const val DURATION_MILLIS = 10_000
    }
}
