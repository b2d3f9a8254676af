package io.jackdawring.core.shard

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.PauseGuard
import io.jackdawring.core.TargetId
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableList
import java.util.PriorityQueue
import java.util.Random
import kotlin.math.exp
import kotlin.math.ln

/** The real dispatcher of a shard on virtual time, with modelled targets and callers that wait for their jobs. */
internal class ShardModel(
    private val load: ModelLoad,
    private val fit: FitCost,
    /** Number of targets that are merged into one, which bounds what any placement can reach. */
    private val merged: Int = 1,
    private val seed: Long = 1,
) : ShardEffects {
    private class Event(
        val atMillis: Long,
        val sequence: Long,
        val action: () -> Unit,
    )

    private inner class ModelTarget(
        val registration: ShardTarget,
        val speed: Double,
    ) {
        val runs = HashMap<TaskKey, StartRequest>()
        val ends = ArrayList<EndedRun>()
        var nextEnd = 1L
        var heldPoll: PollRequest? = null
        val usedMillis: Int get() = runs.keys.sumOf { demandOf(it).cpuMillis }

        fun end(
            request: StartRequest,
            ending: EndedRun.Ending,
        ) {
            if (runs[request.task] !== request) return
            runs.remove(request.task)
            ends.add(EndedRun(nextEnd++, request.task, request.attempt, ending))
            answerPoll()
        }

        fun answerPoll() {
            val request = heldPoll ?: return
            heldPoll = null
            val running = runs.values.map { RunningRun(it.task, it.attempt) }.toImmutableList()
            val snapshot = PollResult.Snapshot(nowMillis, 1, running, ends.toImmutableList(), mayHaveMoreEnds = false)
            schedule(LATENCY_MILLIS) { dispatcher.onPoll(registration.id, request, snapshot, nowMillis) }
        }
    }

    private class ModelJob(
        val spec: JobSpec,
        val arrivedAtMillis: Long,
        val actualMillis: List<Double>,
    ) {
        var completedAfterMillis: Long? = null
        val isOnTime: Boolean get() = completedAfterMillis?.let { it <= spec.objectiveMillis } == true
    }

    private val random = Random(seed)
    private val events = PriorityQueue(compareBy<Event> { it.atMillis }.thenBy { it.sequence })
    private var nextEvent = 0L
    private var nowMillis = 0L
    private val pauses = PauseGuard()
    private val dispatcher = RealShardDispatcher(shardOptions(), this, pauses, fit)
    private val targets = createTargets()
    private val jobs = LinkedHashMap<JobId, ModelJob>()
    private val byWaiter = HashMap<WaiterId, ModelJob>()
    private var scarceMillis = 0
    private var usedShares = 0.0

    private fun schedule(
        delayMillis: Long,
        action: () -> Unit,
    ) {
        events.add(Event(nowMillis + delayMillis, nextEvent++, action))
    }

    private fun createTargets(): Map<TargetId, ModelTarget> {
        val single = List(TARGETS) { load.speeds[it % load.speeds.size] to load.cpuOf(it) }
        val groups = single.groupBy { it.first }.values.flatMap { it.chunked(merged) }
        return groups
            .mapIndexed { index, group ->
                val capacity = Resources(group.sumOf { it.second }, group.size * MEMORY_MB)
                val id = TargetId("t$index")
                val domain = FailureDomainId("a")
                ModelTarget(
                    ShardTarget(id, "orders", "10.0.0.1:$index", domain, capacity, persistentSetOf(), false),
                    group.first().first,
                )
            }.associateBy { it.registration.id }
    }

    /** Runs the load, and returns its figures. */
    fun run(): ModelResult {
        dispatcher.inherit(HandOver.NONE, 0)
        dispatcher.updateTargets(targets.values.map { it.registration }.toImmutableList(), 0)
        dispatcher.recover(emptyList<DurableJob>().toImmutableList(), 0, 0)
        tick()
        load.kinds.indices.forEach { arrive(it) }
        while (nowMillis < load.lengthMillis + DEADLINE_MILLIS) {
            val event = events.poll() ?: break
            while (nowMillis < event.atMillis) {
                measure()
                nowMillis++
            }
            event.action()
        }
        return result()
    }

    private fun tick() {
        pauses.onTick(nowMillis)
        dispatcher.tick(nowMillis)
        schedule(TICK_MILLIS, ::tick)
    }

    private fun measure() {
        if (nowMillis !in load.measuredMillis || dispatcher.waitingTasks == 0) return
        scarceMillis++
        usedShares += targets.values.sumOf { it.usedMillis.toDouble() } /
            targets.values.sumOf {
                it.registration.capacity.cpuMillis
                    .toDouble()
            }
    }

    private fun arrive(kind: Int) {
        val rate = load.rate(kind, nowMillis)
        val gapMillis = -ln(1 - random.nextDouble()) * MILLIS_PER_SECOND / rate
        schedule(gapMillis.toLong()) {
            if (nowMillis >= load.lengthMillis) return@schedule
            submit(kind)
            arrive(kind)
        }
    }

    private fun submit(kind: Int) {
        val shape = load.kinds[kind]
        val cpu = (load.demandMillis * (1 + DEMAND_SPREAD * random.nextGaussian())).toInt()
        val step =
            StepSpec(
                shape.width,
                Resources(cpu.coerceIn(load.demandMillis / 5, load.demandMillis * 3 / 2), 64),
                shape.meanMillis,
            )
        val spec =
            JobSpec(JobId("j${jobs.size}"), "q$kind", "orders", kind, 3, 1.6, BASE_OBJECTIVE_MILLIS, "", listOf(step))
        val actual =
            List(shape.width) {
                val factor = exp(load.durationSpread * random.nextGaussian())
                shape.meanMillis * factor * if (random.nextDouble() < load.longShare) LONG_FACTOR else 1.0
            }
        val job = ModelJob(spec, nowMillis, actual)
        jobs[spec.id] = job
        val waiter = WaiterId(jobs.size.toLong())
        byWaiter[waiter] = job
        if (fit is ExpectedLossCost) repeat(shape.width) { fit.onArrival(step.demand.cpuMillis) }
        val request = JobRequest(spec, DEADLINE_MILLIS, Admission.ON_TIME_OR_LATE, mayRun = false)
        dispatcher.submit(request, waiter, nowMillis)
    }

    private fun demandOf(task: TaskKey) =
        jobs
            .getValue(task.jobId)
            .spec.steps
            .first()
            .demand

    private fun result(): ModelResult {
        val measured = jobs.values.filter { it.arrivedAtMillis in load.measuredMillis }

        fun share(
            of: List<ModelJob>,
            count: (ModelJob) -> Boolean,
        ) = of.count(count).toDouble() / of.size
        return ModelResult(
            if (scarceMillis > 0) usedShares / scarceMillis else null,
            share(measured) { it.isOnTime },
            load.kinds.indices.map { kind -> share(measured.filter { it.spec.priority == kind }) { it.isOnTime } },
        )
    }

    override fun start(
        target: ShardTarget,
        request: StartRequest,
    ) {
        val model = targets.getValue(target.id)
        schedule(LATENCY_MILLIS) {
            val job = jobs.getValue(request.task.jobId)
            val hasRoom = model.usedMillis + demandOf(request.task).cpuMillis <= model.registration.capacity.cpuMillis
            val result =
                if (hasRoom) {
                    StartResult.Accepted(nowMillis)
                } else {
                    StartResult.Rejected(StartResult.Reason.NO_ROOM, nowMillis)
                }
            if (hasRoom) {
                model.runs[request.task] = request
                val durationMillis = job.actualMillis[request.task.index] / model.speed
                schedule(durationMillis.toLong()) { model.end(request, EndedRun.Ending.DONE) }
            }
            schedule(LATENCY_MILLIS) { dispatcher.onStart(target.id, request, result, nowMillis) }
        }
    }

    override fun stop(
        target: ShardTarget,
        task: TaskKey,
        attempt: Int,
    ) {
        val model = targets.getValue(target.id)
        schedule(LATENCY_MILLIS) {
            model.runs[task]?.takeIf { it.attempt <= attempt }?.let { model.end(it, EndedRun.Ending.STOPPED) }
            schedule(LATENCY_MILLIS) { dispatcher.onStop(target.id, task, attempt, StopResult.Accepted, nowMillis) }
        }
    }

    override fun poll(
        target: ShardTarget,
        request: PollRequest,
    ) {
        val model = targets.getValue(target.id)
        schedule(LATENCY_MILLIS) {
            model.answerPoll()
            model.ends.removeAll { it.sequence <= request.acknowledgedEnd }
            model.heldPoll = request
            if (model.ends.isNotEmpty() || request.waitMillis == 0L) model.answerPoll()
            schedule(request.waitMillis) { if (model.heldPoll === request) model.answerPoll() }
        }
    }

    override fun answer(
        waiter: WaiterId,
        outcome: JobOutcome,
    ) {
        val job = byWaiter.getValue(waiter)
        if (outcome == JobOutcome.Completed) job.completedAfterMillis = nowMillis - job.arrivedAtMillis
    }

    override fun report(decision: ShardDecision) = Unit

    override fun save(
        jobId: JobId,
        snapshot: () -> JobSnapshot,
    ) = Unit

    override fun ended(
        jobId: JobId,
        state: JobState,
    ) = Unit

    override fun fenced(target: ShardTarget) = Unit

    private companion object {
        const val TARGETS = 60
        const val MEMORY_MB = 65_536
        const val LATENCY_MILLIS = 1L
        const val TICK_MILLIS = 20L
        const val MILLIS_PER_SECOND = 1_000.0
        const val DEADLINE_MILLIS = 1_500L
        const val BASE_OBJECTIVE_MILLIS = 60L
        const val DEMAND_SPREAD = 0.2
        const val LONG_FACTOR = 7.0
    }
}

/** Jobs of one kind: [width] tasks of [meanMillis], [perSecond] of them at a factor of 1. */
internal class ModelKind(
    val width: Int,
    val meanMillis: Long,
    val perSecond: Double,
)

/**
 * A load of one failure domain: [base] times the usual one, and [burst] times that, per kind, in the middle of it.
 *
 * Without [isUneven], tasks take as long as declared.
 */
internal class ModelLoad(
    val name: String,
    private val base: Double,
    private val burst: List<Double> = listOf(1.0, 1.0, 1.0),
    private val cpuMillis: Int = 16_000,
    val speeds: List<Double> = listOf(0.55, 1.2, 1.2, 1.2),
    isUneven: Boolean = true,
) {
    val kinds = listOf(ModelKind(8, 60, 36.0), ModelKind(2, 200, 105.0), ModelKind(4, 900, 6.5))
    val lengthMillis = 10_000L
    val measuredMillis = 3_000L..9_000L
    val demandMillis = cpuMillis / 2

    /** Spread of the durations around the declared ones. */
    val durationSpread = if (isUneven) 0.4 else 0.0

    /** Share of the tasks that take seven times as long. */
    val longShare = if (isUneven) 0.03 else 0.0

    fun cpuOf(target: Int): Int = if (target / speeds.size % 3 == 0) cpuMillis * 3 / 2 else cpuMillis

    fun rate(
        kind: Int,
        nowMillis: Long,
    ): Double = kinds[kind].perSecond * base * if (nowMillis in 4_000..7_500) burst[kind] else 1.0
}

/** Figures of one run of a [ShardModel]. */
internal class ModelResult(
    /** Mean share of the CPU in use while tasks wait; null if none did. */
    val usedWhileScarce: Double?,
    val onTime: Double,
    val onTimeByKind: List<Double>,
)
