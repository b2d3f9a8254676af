package io.jackdawring.load.bench

import io.jackdawring.core.PauseGuard
import io.jackdawring.core.TargetId
import io.jackdawring.core.shard.Admission
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobRequest
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.ShardDispatcher
import io.jackdawring.core.shard.StartResult
import io.jackdawring.core.shard.StepSpec
import io.jackdawring.core.shard.WaiterId
import io.jackdawring.core.shard.shardOptions
import kotlinx.collections.immutable.toImmutableList
import kotlin.random.Random

/**
 * Time that the decisions of a shard take on one thread, by the number of targets and of waiting tasks.
 *
 * All targets are full. Each end of a run is followed by the start of the next task, a new job if too few tasks wait,
 * and a job that is refused because it cannot meet its objective.
 */
internal class ShardBench(
    private val options: BenchOptions,
    private val table: BenchTable,
) {
    fun run() {
        for (targets in if (options.small) listOf(10) else listOf(50, 250, 1_000)) {
            for (waiting in if (options.small) listOf(0) else listOf(0, 100, 1_000, 5_000)) measure(targets, waiting)
        }
    }

    private fun measure(
        targets: Int,
        waiting: Int,
    ) {
        val run = ShardRun(targets, waiting)
        run.fill()
        run.runFor(options.caseMillis / 2)
        run.costs.values.forEach { it.reset() }
        run.runFor(options.caseMillis)
        val events = run.costs.values.sumOf { it.events }
        val nanos = run.costs.values.sumOf { it.nanos }
        table.add(
            "targets" to targets,
            "waiting" to waiting,
            "events/s" to (events * NANOS / maxOf(1, nanos)).toLong(),
            *run.costs
                .map { (event, cost) ->
                    "us/$event" to cost.nanos / MICROS / maxOf(1, cost.events)
                }.toTypedArray(),
        )
    }

    private companion object {
        const val NANOS = 1e9
        const val MICROS = 1e3
    }
}

/** Time spent on events of one kind. */
private class EventCost {
    var events = 0L
        private set
    var nanos = 0L
        private set

    fun reset() {
        events = 0
        nanos = 0
    }

    fun add(spentNanos: Long) {
        events++
        nanos += spentNanos
    }
}

private class ShardRun(
    targets: Int,
    private val waiting: Int,
) {
    private val random = Random(SEED)
    private val effects = ScriptedTargets(targets)
    private val dispatcher = ShardDispatcher.Factory.Default.create(shardOptions(), effects, PauseGuard())
    private var jobs = 0L
    private var ends = 0L
    private var runningTasks = 1
    private val endsPerTick get() = maxOf(1, runningTasks * TICK_MILLIS / RUN_MILLIS)
    private var nowMillis = 0L
    val costs = listOf("job", "refusal", "start", "end", "tick").associateWith { EventCost() }

    init {
        dispatcher.updateTargets(effects.targets.toImmutableList(), nowMillis)
        effects.targets.forEach { answerPoll(it.id, null) }
    }

    /** Fills the targets and the queue. */
    fun fill() {
        while (dispatcher.waitingTasks <= waiting) submit(acceptable = true)
        acceptStarts()
        runningTasks = effects.started.size
    }

    fun runFor(millis: Long) {
        val endNanos = System.nanoTime() + millis * NANOS_PER_MILLI
        while (System.nanoTime() < endNanos) repeat(BATCH) { step() }
    }

    private fun step() {
        val ended = effects.started.removeFirst()
        ends++
        nowMillis = ends * RUN_MILLIS / runningTasks
        timed("end") { answerPoll(ended.target.id, ended) }
        acceptStarts()
        if (dispatcher.waitingTasks <= waiting) timed("job") { submit(acceptable = true) }
        acceptStarts()
        timed("refusal") { submit(acceptable = false) }
        if (ends % endsPerTick == 0L) timed("tick") { dispatcher.tick(nowMillis) }
    }

    private fun acceptStarts() {
        while (effects.requested.isNotEmpty()) {
            val start = effects.requested.removeFirst()
            effects.started.addLast(start)
            val accepted = StartResult.Accepted(nowMillis)
            timed("start") { dispatcher.onStart(start.target.id, start.request, accepted, nowMillis) }
        }
    }

    private fun answerPoll(
        id: TargetId,
        ended: ScriptedTargets.Run?,
    ) {
        val (poll, result) = effects.answerPoll(id, ended, nowMillis) ?: return
        dispatcher.onPoll(id, poll, result, nowMillis)
    }

    private fun submit(acceptable: Boolean) {
        val cpuMillis = random.nextInt(SMALLEST_CPU_MILLIS, LARGEST_CPU_MILLIS)
        val step = StepSpec(TASKS, Resources(cpuMillis, TASK_MB), RUN_MILLIS)
        val id = JobId((jobs++).toString())
        val baseObjectiveMillis = if (acceptable) ACCEPTABLE_MILLIS else -RUN_MILLIS
        val spec = JobSpec(id, "q", ScriptedTargets.SERVICE, 0, 3, 1.0, baseObjectiveMillis, PAYLOAD, listOf(step))
        val request = JobRequest(spec, WAIT_MILLIS, Admission.EARLY, mayRun = false)
        dispatcher.submit(request, WaiterId(jobs), nowMillis)
    }

    private inline fun timed(
        event: String,
        action: () -> Unit,
    ) {
        val before = System.nanoTime()
        action()
        costs.getValue(event).add(System.nanoTime() - before)
    }

    private companion object {
        const val SEED = 7
        const val TASKS = 4
        const val RUN_MILLIS = 100L
        const val TICK_MILLIS = 20L
        const val BATCH = 20
        const val SMALLEST_CPU_MILLIS = 8_000
        const val LARGEST_CPU_MILLIS = 15_000
        const val TASK_MB = 64

        /** Base of the latency objective; longer than any backlog, so that the job is accepted. */
        const val ACCEPTABLE_MILLIS = 100_000_000L

        const val WAIT_MILLIS = 1_000_000_000L
        const val NANOS_PER_MILLI = 1_000_000L
        const val PAYLOAD = "0123456789012345678901234567890123456789"
    }
}
