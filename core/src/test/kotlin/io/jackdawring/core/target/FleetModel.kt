package io.jackdawring.core.target

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.InstanceList
import io.jackdawring.core.InstanceRole
import io.jackdawring.core.ListedInstance
import io.jackdawring.core.NotStartedReason
import io.jackdawring.core.Owner
import io.jackdawring.core.Payload
import io.jackdawring.core.TargetAnswer
import io.jackdawring.core.TargetId
import io.jackdawring.core.TargetPolicy
import io.jackdawring.core.TargetUsage
import io.jackdawring.core.entryOptions
import io.jackdawring.core.queue.QueuedJob
import io.jackdawring.core.queue.RealTaskQueue
import java.util.PriorityQueue
import java.util.TreeMap
import kotlin.math.ln
import kotlin.random.Random

internal fun ownerIn(
    domain: String,
    id: String = "e1",
) = Owner(InstanceId(id), 1, "127.0.0.1:9000", FailureDomainId(domain))

internal fun listedTarget(
    id: String,
    domain: String = "a",
    services: List<String> = listOf("orders"),
) = ListedInstance(id, InstanceRole.TARGET, FailureDomainId(domain), "10.0.0.1:$id", services = services)

/** Workload, fleet and policy of one run of [FleetModel]. */
internal data class Scenario(
    val policy: TargetPolicy = TargetPolicy.AdaptiveWindow,
    /** Ratio of the offered work to the capacity of all slots. */
    val load: Double = 0.8,
    val entryInstances: Int = 8,
    val targets: Int = 30,
    /** Run time factors of the targets range from 1 / [speedSpread] to [speedSpread]. */
    val speedSpread: Double = 1.0,
    val meanTasksPerJob: Double = 3.0,
    /** Classes of small jobs, drawn with equal probability; large jobs are of the lowest class. */
    val classes: List<Int> = listOf(1, 2, 2, 3, 3),
    val bigJobPercent: Int = 1,
    val bigJobTasks: Int = 300,
    val seconds: Int = 20,
    val reportsUsage: Boolean = true,
    val ranksKnown: Boolean = true,
    val seed: Long = 1,
    val faults: Faults = Faults(),
    val spareSlots: Int = 2,
)

/** Faults injected into one run of [FleetModel]. */
internal data class Faults(
    /** Fraction of the targets that take four times the declared run time. */
    val slowFraction: Double = 0.0,
    /** Number of targets that fail every task after [FAILURE_MILLIS]. */
    val failingTargets: Int = 0,
    /** Time at which the last entry instance is killed; jobs go to the others, which detect the failure 3 s later. */
    val killAtMillis: Long = Long.MAX_VALUE,
    /** Number of targets that are in the list but refuse connections. */
    val deadTargets: Int = 0,
) {
    companion object {
        /** Short, because targets that fail every task often fail it faster than they would run it. */
        const val FAILURE_MILLIS = 10L
    }
}

/** Results of one run; the slowdown of a job is the ratio of its duration to the run time of its longest task. */
internal data class ModelResult(
    val tasks: Int,
    val refusalsPerTask: Double,
    val meanSlowdown: Double,
    val topClassP50: Double,
    val topClassP99: Double,
    val utilisation: Double,
    /** Tasks that a failing target started, per class, also during warm-up; each fails its job. */
    val failuresByClass: Map<Int, Int> = emptyMap(),
    /** Failures in the second half of the run, when failing targets are isolated. */
    val lateFailuresByClass: Map<Int, Int> = emptyMap(),
) {
    override fun toString() =
        "refusals/task %.4f mean %.3f top p50 %.3f top p99 %.3f used %.3f tasks %d failures %s late %s"
            .format(
                refusalsPerTask,
                meanSlowdown,
                topClassP50,
                topClassP99,
                utilisation,
                tasks,
                failuresByClass,
                lateFailuresByClass,
            )
}

/** Simulates entry instances that share targets in virtual time; each instance has its own pool and queue. */
internal class FleetModel(
    private val scenario: Scenario,
) {
    private val random = Random(scenario.seed)
    private val events = PriorityQueue<Scheduled>(compareBy({ it.atMillis }, { it.order }))
    private var order = 0L
    private var nowMillis = 0L
    private val targets = List(scenario.targets) { ModelTarget(it, speed() * slowness(it), condition(it)) }
    private val entries = List(scenario.entryInstances) { ModelEntry(it) }
    private var starts = 0
    private var refusals = 0
    private var busyMillis = 0.0
    private val failures = TreeMap<Int, Int>()
    private val lateFailures = TreeMap<Int, Int>()
    private val slowdowns = ArrayList<Double>()
    private val topSlowdowns = ArrayList<Double>()
    private val warmUpMillis = scenario.seconds * 1_000L / 4
    private val endMillis = scenario.seconds * 1_000L

    fun run(): ModelResult {
        scheduleArrival()
        val killAtMillis = scenario.faults.killAtMillis
        if (killAtMillis < endMillis) {
            scheduleAt(killAtMillis) { entries.last().killed = true }
            scheduleAt(killAtMillis + SUSPECT_MILLIS) {
                entries.dropLast(1).forEachIndexed { rank, it -> it.updateShares(rank) }
            }
        }
        while (events.isNotEmpty() && events.peek().atMillis <= endMillis) {
            val next = events.poll()
            nowMillis = next.atMillis
            next.action()
        }
        topSlowdowns.sort()
        val slotMillis = (endMillis - warmUpMillis) * SLOTS * scenario.targets.toDouble()
        return ModelResult(
            starts,
            refusals / starts.toDouble(),
            slowdowns.average(),
            topSlowdowns[topSlowdowns.size / 2],
            topSlowdowns[topSlowdowns.size * 99 / 100],
            busyMillis / slotMillis,
            failures,
            lateFailures,
        )
    }

    private fun speed(): Double = Math.pow(scenario.speedSpread, random.nextDouble(-1.0, 1.0))

    private fun slowness(index: Int) = if (index < scenario.targets * scenario.faults.slowFraction) SLOW_FACTOR else 1.0

    private fun condition(index: Int): Condition {
        val fromLast = scenario.targets - 1 - index
        return when {
            fromLast < scenario.faults.failingTargets -> Condition.FAILING
            fromLast < scenario.faults.failingTargets + scenario.faults.deadTargets -> Condition.DEAD
            else -> Condition.WORKING
        }
    }

    private fun scheduleAt(
        atMillis: Long,
        action: () -> Unit,
    ) {
        events += Scheduled(atMillis, order++, action)
    }

    private fun scheduleArrival() {
        val big = scenario.bigJobPercent / 100.0
        val tasksPerJob = scenario.meanTasksPerJob * (1 - big) + scenario.bigJobTasks * big
        val millisPerJob = tasksPerJob * MEAN_RUN_MILLIS / (SLOTS * scenario.targets * scenario.load)
        val gapMillis = -ln(1 - random.nextDouble()) * millisPerJob
        nextArrival += gapMillis
        scheduleAt(nextArrival.toLong()) {
            submitRandomJob()
            scheduleArrival()
        }
    }

    private var nextArrival = 0.0

    private fun submitRandomJob() {
        val isBig = random.nextDouble() * 100 < scenario.bigJobPercent
        val priority = if (isBig) scenario.classes.max() else scenario.classes.random(random)
        val tasks = if (isBig) scenario.bigJobTasks else 1 + random.nextInt(scenario.meanTasksPerJob.toInt() * 2 - 1)
        val expectedMillis = List(tasks) { 50 + (-ln(1 - random.nextDouble()) * (MEAN_RUN_MILLIS - 50)).toLong() }
        val live = entries.filterNot { it.killed }
        live[random.nextInt(live.size)].submit(ModelJob(order++, priority, expectedMillis, nowMillis))
    }

    private class Scheduled(
        val atMillis: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private enum class Condition {
        WORKING,
        FAILING,
        DEAD,
    }

    private class ModelTarget(
        index: Int,
        val slowness: Double,
        val condition: Condition,
    ) {
        val id = TargetId("t$index")
        val domain = "abc"[index % 3].toString()
        var inUse = 0
    }

    private class ModelJob(
        override val sequence: Long,
        override val priority: Int,
        val expectedMillis: List<Long>,
        val arrivedMillis: Long,
    ) : QueuedJob {
        val waiting = ArrayDeque(expectedMillis)
        var ended = 0
        override val team = "team${sequence % 5}"
        override val weight = 1
        override val service = "orders"
        override val pendingTasks get() = waiting.size
        override val expectedMillisPerTask get() = waiting.firstOrNull() ?: 0
        override val placementKey: Any get() = priority
    }

    private inner class ModelEntry(
        index: Int,
    ) {
        private val domain = "abc"[index % 3].toString()
        private val pool =
            RealTargetPool.Factory.create(
                entryOptions(ownerIn(domain, "e$index")) {
                    seed = scenario.seed * 100 + index
                    targetPolicy = scenario.policy
                    spareSlots = scenario.spareSlots
                },
            ) {}
        private val queue = RealTaskQueue()
        private var timerAtMillis = Long.MAX_VALUE

        init {
            pool.setEntryInstances(scenario.entryInstances, if (scenario.ranksKnown) index else null)
            val list = InstanceList(1, targets.map { listedTarget(it.id.value, it.domain) })
            pool.applyList(list, 0)
        }

        var killed = false

        fun updateShares(rank: Int) =
            pool.setEntryInstances(scenario.entryInstances - 1, if (scenario.ranksKnown) rank else null)

        fun submit(job: ModelJob) {
            queue.put(job)
            dispatch()
        }

        private fun dispatch() {
            if (killed) return
            queue.dispatch(::place)
            val dueMillis = pool.nextTimerMillis() ?: return
            if (dueMillis >= timerAtMillis && timerAtMillis > nowMillis) return
            timerAtMillis = dueMillis
            scheduleAt(dueMillis) {
                pool.onTimer(nowMillis)
                dispatch()
            }
        }

        private fun place(queued: QueuedJob): Boolean {
            val job = queued as ModelJob
            val expectedMillis = job.waiting.first()
            val requirements = TaskRequirements("orders", 0, 0, expectedMillis, job.priority, true)
            val chosen = pool.choose(requirements, nowMillis) ?: return false
            job.waiting.removeFirst()
            send(job, requirements, targets.first { it.id == chosen.targetId }, expectedMillis)
            return true
        }

        private fun send(
            job: ModelJob,
            requirements: TaskRequirements,
            target: ModelTarget,
            expectedMillis: Long,
        ) {
            val oneWay = if (target.domain == domain) 0L else 1L
            val sentMillis = nowMillis
            val counted = nowMillis >= warmUpMillis
            scheduleAt(nowMillis + oneWay) {
                if (target.condition == Condition.DEAD) {
                    if (counted) refusals++
                    val answer = TargetAnswer.NotStarted(NotStartedReason.UNREACHABLE)
                    scheduleAt(nowMillis + maxOf(1, oneWay)) {
                        refused(job, requirements, target, sentMillis, expectedMillis, answer)
                    }
                } else if (target.inUse >= SLOTS) {
                    if (counted) refusals++
                    val answer = TargetAnswer.NotStarted(NotStartedReason.BUSY, usage(target))
                    scheduleAt(nowMillis + maxOf(1, oneWay)) {
                        refused(job, requirements, target, sentMillis, expectedMillis, answer)
                    }
                } else {
                    target.inUse++
                    if (counted) starts++
                    val failing = target.condition == Condition.FAILING
                    val runMillis = if (failing) Faults.FAILURE_MILLIS else (expectedMillis * target.slowness).toLong()
                    if (counted) busyMillis += minOf(runMillis, endMillis - nowMillis).toDouble()
                    scheduleAt(nowMillis + runMillis) {
                        target.inUse--
                        val usage = usage(target)
                        scheduleAt(nowMillis + oneWay) {
                            when {
                                killed -> Unit
                                failing -> failed(job, requirements, target, sentMillis)
                                else -> succeeded(job, requirements, target, sentMillis, usage)
                            }
                        }
                    }
                }
            }
        }

        private fun usage(target: ModelTarget) = if (scenario.reportsUsage) TargetUsage(target.inUse, false) else null

        private fun refused(
            job: ModelJob,
            requirements: TaskRequirements,
            target: ModelTarget,
            sentMillis: Long,
            expectedMillis: Long,
            answer: TargetAnswer,
        ) {
            if (killed) return
            pool.complete(target.id, requirements, answer, nowMillis - sentMillis, nowMillis)
            queue.taskEnded(job.team)
            if (job.ended >= 0) {
                job.waiting.addFirst(expectedMillis)
                queue.put(job)
            }
            dispatch()
        }

        private fun succeeded(
            job: ModelJob,
            requirements: TaskRequirements,
            target: ModelTarget,
            sentMillis: Long,
            usage: TargetUsage?,
        ) {
            val answer = TargetAnswer.Succeeded(RESULT, usage)
            pool.complete(target.id, requirements, answer, nowMillis - sentMillis, nowMillis)
            queue.taskEnded(job.team)
            if (++job.ended == job.expectedMillis.size) finish(job)
            dispatch()
        }

        /** Ends the job; its running tasks continue in the model, but their results are ignored. */
        private fun failed(
            job: ModelJob,
            requirements: TaskRequirements,
            target: ModelTarget,
            sentMillis: Long,
        ) {
            failures.merge(job.priority, 1, Int::plus)
            if (nowMillis >= endMillis / 2) lateFailures.merge(job.priority, 1, Int::plus)
            pool.complete(target.id, requirements, TargetAnswer.TaskFailed("no"), nowMillis - sentMillis, nowMillis)
            queue.taskEnded(job.team)
            queue.remove(job)
            job.waiting.clear()
            job.ended = Int.MIN_VALUE
            dispatch()
        }

        private fun finish(job: ModelJob) {
            if (job.arrivedMillis < warmUpMillis) return
            val slowdown = (nowMillis - job.arrivedMillis).toDouble() / job.expectedMillis.max()
            slowdowns += slowdown
            if (job.priority == scenario.classes.min()) topSlowdowns += slowdown
        }
    }

    private companion object {
        const val SLOTS = 8
        const val MEAN_RUN_MILLIS = 200.0
        const val SLOW_FACTOR = 4.0

        /** Time after which membership suspects a member that sends nothing. */
        const val SUSPECT_MILLIS = 3_000L
        val RESULT = Payload.of("1")
    }
}
