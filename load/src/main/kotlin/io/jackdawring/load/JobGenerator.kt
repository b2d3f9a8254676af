package io.jackdawring.load

import kotlinx.collections.immutable.toImmutableList
import java.util.SplittableRandom
import kotlin.math.ln
import kotlin.math.pow

/** A job with its intended time of sending; [resubmit] if it is to be sent a second time. */
internal class PlannedJob(
    val intendedNanos: Long,
    val job: JobSpec,
    val caller: Int,
    val resubmit: Boolean,
)

/** Generates random jobs; the same seed gives the same jobs and times except for the ids, which start with [runId]. */
internal class JobGenerator(
    private val options: LoadOptions,
    private val runId: String,
) {
    private val random = SplittableRandom(options.seed)
    private val totalShare = options.classes.sumOf { it.share }
    private var count = 0
    private var openLoopNanos = 0.0

    /** Next job; [closedLoopNanos] is its intended start in a closed loop, in nanoseconds since the start. */
    fun next(closedLoopNanos: Long): PlannedJob {
        val intendedNanos =
            when (val pattern = options.pattern) {
                is LoadPattern.OpenLoop -> {
                    openLoopNanos -= ln(1 - random.nextDouble()) / pattern.jobsPerSecond * NANOS_PER_SECOND
                    openLoopNanos.toLong()
                }
                is LoadPattern.ClosedLoop -> closedLoopNanos
            }
        val tasks = random.nextInt(options.tasksPerJob.first, options.tasksPerJob.last + 1)
        val job =
            JobSpec(
                submissionId = "$runId-${count++}",
                service = options.service,
                kind = kind(),
                deadlineMillis = options.deadlineMillis,
                runMillis = List(tasks) { runMillis() }.toImmutableList(),
            )
        val resubmit = random.nextDouble() * RunTimes.PERCENT < options.resubmitPercent
        return PlannedJob(intendedNanos, job, random.nextInt(options.callers), resubmit)
    }

    private fun kind(): String {
        var remaining = random.nextDouble() * totalShare
        return (
            options.classes.firstOrNull { loadClass ->
                remaining -= loadClass.share
                remaining < 0
            } ?: options.classes.last()
        ).kind
    }

    private fun runMillis(): Long {
        val times = options.runTimes
        val long = random.nextDouble() * RunTimes.PERCENT < times.longPercent
        val position = random.nextDouble()
        return if (long) {
            times.longMinMillis + (position * (times.longMaxMillis - times.longMinMillis)).toLong()
        } else {
            (times.minMillis * (times.maxMillis.toDouble() / times.minMillis).pow(position)).toLong()
        }
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
