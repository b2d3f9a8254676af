package io.jackdawring.testing.shard

import io.jackdawring.core.shard.Admission
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobRequest
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.LookOrder
import io.jackdawring.core.shard.LookResult
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.ShardDecision
import io.jackdawring.core.shard.ShardDispatcher
import io.jackdawring.core.shard.ShardOutlet
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.core.shard.StartOrder
import io.jackdawring.core.shard.StartResult
import io.jackdawring.core.shard.StepSpec
import io.jackdawring.core.shard.StopResult
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.core.shard.WaiterId
import io.jackdawring.core.shard.shardOptions
import io.jackdawring.testing.VirtualClock
import kotlinx.collections.immutable.toImmutableList

/** A holder with its targets on virtual time; checks after every step that no task runs twice at a time. */
class FakeShardWorld(
    val targets: List<FakeShardTarget>,
) {
    private inner class Holder : ShardOutlet {
        val dispatcher = ShardDispatcher.Factory.Default.create(shardOptions(), this)
        var alive = true

        private fun target(facts: ShardTarget) = targets.first { it.facts.id == facts.id }

        override fun start(
            target: ShardTarget,
            order: StartOrder,
        ) {
            if (!alive) return
            starts.add(order.task to target.id.value)
            val fake = target(target)
            schedule(LATENCY_MILLIS) { if (fake.mode != FakeShardTarget.Mode.SILENT) arrive(fake, order) }
            if (fake.mode.answersNothing) {
                schedule(
                    TIMEOUT_MILLIS,
                ) { reply { it.onStart(target.id, order, StartResult.Unknown("timed out"), nowMillis) } }
            }
        }

        private fun arrive(
            fake: FakeShardTarget,
            order: StartOrder,
        ) {
            val job = jobs.getValue(order.task.jobId)
            val step = job.steps[order.task.step]
            val result = fake.start(order, step.demand, works[order.task] ?: step.estimateMillis, nowMillis)
            if (!fake.mode.answersNothing) {
                schedule(LATENCY_MILLIS) { reply { it.onStart(fake.facts.id, order, result, nowMillis) } }
            }
        }

        override fun stop(
            target: ShardTarget,
            task: TaskKey,
            attempt: Int,
        ) {
            if (!alive) return
            val fake = target(target)
            val silent = fake.mode == FakeShardTarget.Mode.SILENT
            if (!silent) schedule(LATENCY_MILLIS) { fake.stop(task, attempt) }
            val result = if (silent) StopResult.Unknown("timed out") else StopResult.Accepted
            val delay = if (silent) TIMEOUT_MILLIS else 2 * LATENCY_MILLIS
            schedule(delay) { reply { it.onStop(target.id, task, attempt, result, nowMillis) } }
        }

        override fun look(
            target: ShardTarget,
            order: LookOrder,
        ) {
            if (!alive) return
            val fake = target(target)
            if (fake.mode == FakeShardTarget.Mode.SILENT) {
                schedule(order.waitMillis + TIMEOUT_MILLIS) {
                    reply { it.onLook(target.id, order, LookResult.Unknown("timed out"), nowMillis) }
                }
            } else {
                schedule(LATENCY_MILLIS + fake.firstLookDelayMillis) {
                    fake.firstLookDelayMillis = 0
                    fake.look(order, nowMillis)
                    awaitEnd(fake, order, nowMillis + order.waitMillis)
                }
            }
        }

        private fun awaitEnd(
            fake: FakeShardTarget,
            order: LookOrder,
            untilMillis: Long,
        ) {
            if (!fake.hasNews && nowMillis < untilMillis) {
                schedule(1) { awaitEnd(fake, order, untilMillis) }
                return
            }
            val seen = fake.look(order, nowMillis)
            schedule(LATENCY_MILLIS) { reply { it.onLook(fake.facts.id, order, seen, nowMillis) } }
        }

        override fun answer(
            waiter: WaiterId,
            outcome: JobOutcome,
        ) {
            if (alive) answers[waiter] = Answer(outcome, nowMillis)
        }

        override fun fenced(target: ShardTarget) = Unit

        override fun report(decision: ShardDecision) {
            decisions.add(decision)
        }

        private fun reply(action: (ShardDispatcher) -> Unit) {
            if (alive) action(dispatcher)
        }
    }

    private val FakeShardTarget.Mode.answersNothing: Boolean
        get() = this == FakeShardTarget.Mode.SILENT || this == FakeShardTarget.Mode.ANSWERS_LOST

    /** Answer to one request. */
    data class Answer(
        val outcome: JobOutcome,
        val atMillis: Long,
    )

    private val clock = VirtualClock()
    val nowMillis: Long get() = clock.nowMillis
    val answers = HashMap<WaiterId, Answer>()
    val starts = ArrayList<Pair<TaskKey, String>>()
    val decisions = ArrayList<ShardDecision>()

    /** Real durations of tasks at speed 1, where they differ from the declared ones. */
    val works = HashMap<TaskKey, Long>()
    private val jobs = HashMap<JobId, JobSpec>()
    private var nextWaiter = 0L
    private var holder = Holder()

    init {
        holder.dispatcher.updateTargets(targets.map { it.facts }.toImmutableList(), nowMillis)
        tick()
    }

    private fun schedule(
        delayMillis: Long,
        action: () -> Unit,
    ) = clock.schedule(delayMillis, action)

    private fun tick() {
        holder.dispatcher.tick(nowMillis)
        schedule(TICK_MILLIS, ::tick)
    }

    /**
     * Replaces the holder by a new one that knows the [listed] targets.
     *
     * It also gets the targets of the old holder if that one was able to [handOver].
     */
    fun replaceHolder(
        listed: List<FakeShardTarget> = targets,
        handOver: Boolean = false,
    ) {
        val known = holder.dispatcher.knownTargets()
        holder.alive = false
        holder = Holder()
        holder.dispatcher.updateTargets(listed.map { it.facts }.toImmutableList(), nowMillis)
        if (handOver) holder.dispatcher.inherit(known, nowMillis)
    }

    fun submit(
        job: JobSpec,
        remainingMillis: Long = 2_000,
        admission: Admission = Admission.ON_TIME_OR_ROOM,
        mayRun: Boolean = false,
    ): WaiterId {
        jobs[job.id] = job
        val waiter = WaiterId(nextWaiter++)
        holder.dispatcher.submit(JobRequest(job, remainingMillis, admission, mayRun), waiter, nowMillis)
        return waiter
    }

    fun dismiss(waiter: WaiterId) = holder.dispatcher.dismiss(waiter, nowMillis)

    fun withdraw(waiter: WaiterId) = holder.dispatcher.withdraw(waiter, nowMillis)

    /** Lists only [listed] as targets. */
    fun list(listed: List<ShardTarget>) = holder.dispatcher.updateTargets(listed.toImmutableList(), nowMillis)

    fun runFor(millis: Long) {
        repeat(millis.toInt()) {
            targets.forEach { it.advance(nowMillis) }
            clock.advance(1)
            checkSingleRuns()
        }
    }

    private fun checkSingleRuns() {
        val running = targets.flatMap { it.runs.keys }
        check(running.size == running.toSet().size) { "a task runs on two targets at $nowMillis ms: $running" }
    }

    companion object {
        /** One way between the holder and a target. */
        private const val LATENCY_MILLIS = 1L
        private const val TIMEOUT_MILLIS = 200L
        private const val TICK_MILLIS = 20L

        /** A job of one step for the targets of [FakeShardTarget]. */
        fun job(
            id: String,
            tasks: Int = 1,
            estimateMillis: Long = 100,
            cpuMillis: Int = 14_000,
            priority: Int = 0,
            queue: String = "q$priority",
            maxAttempts: Int = 3,
            requiredLabel: String? = null,
            maxPerTarget: Int? = null,
        ) = JobSpec(
            JobId(id),
            queue,
            "orders",
            priority,
            maxAttempts,
            stretch = 1.6,
            aimMillis = 60,
            payload = "text",
            steps =
                listOf(
                    StepSpec(
                        tasks,
                        Resources(cpuMillis, 64),
                        estimateMillis,
                        requiredLabel = requiredLabel,
                        maxPerTarget = maxPerTarget,
                    ),
                ),
        )
    }
}
