package io.jackdawring.testing.shard

import io.jackdawring.core.PauseGuard
import io.jackdawring.core.shard.Admission
import io.jackdawring.core.shard.DurableJob
import io.jackdawring.core.shard.HandOver
import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobNeeds
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobRequest
import io.jackdawring.core.shard.JobSnapshot
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.PollRequest
import io.jackdawring.core.shard.PollResult
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.ShardDecision
import io.jackdawring.core.shard.ShardDispatcher
import io.jackdawring.core.shard.ShardEffects
import io.jackdawring.core.shard.ShardOptions
import io.jackdawring.core.shard.ShardTarget
import io.jackdawring.core.shard.StartRequest
import io.jackdawring.core.shard.StartResult
import io.jackdawring.core.shard.StepSpec
import io.jackdawring.core.shard.StopResult
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.core.shard.WaiterId
import io.jackdawring.core.shard.shardOptions
import io.jackdawring.testing.VirtualClock
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

/**
 * Shard with holder, store and targets on virtual time.
 *
 * It checks every millisecond that no task runs twice at a time, and each start at a target that does not guard its
 * capacity.
 */
class FakeShard(
    val targets: List<FakeShardTarget>,
    /** Targets in the first list. */
    listed: List<FakeShardTarget> = targets,
    private val options: ShardOptions = shardOptions(),
    /** Time until which holders have ownership of the shard; null if that is not limited. */
    ownedUntilMillis: Long? = null,
) {
    /** Time until which holders have ownership of the shard; null if that is not limited. */
    var ownedUntilMillis = ownedUntilMillis
        set(value) {
            field = value
            value?.let(holder.dispatcher::onOwnershipExtended)
        }

    private inner class Holder : ShardEffects {
        val pauses = PauseGuard()
        val dispatcher = ShardDispatcher.Factory.Default.create(options, this, pauses)

        init {
            ownedUntilMillis?.let(dispatcher::onOwnershipExtended)
        }

        var alive = true

        private fun target(registration: ShardTarget) = targets.first { it.registration.id == registration.id }

        /** Whether another target answers at the address that the holder uses. */
        private fun isElsewhere(
            fake: FakeShardTarget,
            used: ShardTarget,
        ) = fake.isReplaced || fake.registration.address != used.address

        override fun start(
            target: ShardTarget,
            request: StartRequest,
        ) {
            if (!alive) return
            starts.add(request.task to target.id.value)
            val fake = target(target)
            val knownCapacity = capacities.knownCapacity(target.id)
            schedule(LATENCY_MILLIS) {
                val result = deliver(target, request, knownCapacity)
                if (result != null && !fake.mode.answersNothing) {
                    schedule(LATENCY_MILLIS) { reply { it.onStart(target.id, request, result, nowMillis) } }
                } else {
                    val unknown = StartResult.Unknown("timed out")
                    schedule(TIMEOUT_MILLIS) { reply { it.onStart(target.id, request, unknown, nowMillis) } }
                }
            }
        }

        /** The target's answer, or null if the request did not reach it. */
        private fun deliver(
            target: ShardTarget,
            request: StartRequest,
            knownCapacity: Resources,
        ): StartResult? {
            val fake = target(target)
            if (fake.mode == FakeShardTarget.Mode.SILENT) {
                crashes.onUndelivered(fake.registration.id, request.task)
                fake.lateStartMillis?.let { schedule(it) { carryOut(fake, request, knownCapacity) } }
                return null
            }
            if (nowMillis < fake.startingUntilMillis) return StartResult.NotSent("refused")
            if (isElsewhere(fake, target)) {
                return StartResult.Rejected(StartResult.Reason.OTHER_INCARNATION, nowMillis)
            }
            return carryOut(fake, request, knownCapacity)
        }

        private fun carryOut(
            fake: FakeShardTarget,
            request: StartRequest,
            knownCapacity: Resources,
        ): StartResult? {
            val step = stepOf(request.task)
            acknowledged.checkStart(request, step)
            capacities.checkStart(fake, step, knownCapacity, nowMillis)
            val workMillis = actualMillis[request.task] ?: step.estimateMillis
            val isPoison = request.task.jobId in poison
            val result = fake.start(request, step, workMillis, nowMillis, kindOf(request.task), isPoison)
            return if (result is StartResult.Accepted) onStarted(fake, request.task, result) else result
        }

        private fun crash(fake: FakeShardTarget) {
            restart(fake, crashes.downMillis)
            fake.isReplaced = crashes.replacesTargets
        }

        /** The target's answer to a start of [task], or null if the task crashes the target before that. */
        private fun onStarted(
            fake: FakeShardTarget,
            task: TaskKey,
            result: StartResult.Accepted,
        ): StartResult? {
            crashes.onStarted(task)
            val delayMillis = crashes.delayMillis(task) ?: return result
            schedule(delayMillis) { if (task in fake.runs) crash(fake) }
            return result.takeIf { delayMillis > 0 }
        }

        override fun stop(
            target: ShardTarget,
            task: TaskKey,
            attempt: Int,
        ) {
            if (!alive) return
            val fake = target(target)
            val silent = fake.mode == FakeShardTarget.Mode.SILENT || isElsewhere(fake, target) || fake.losesStop(task)
            if (!silent) schedule(LATENCY_MILLIS) { fake.stop(task, attempt, nowMillis) }
            val result = if (silent) StopResult.Unknown("timed out") else StopResult.Accepted
            val delay = if (silent) TIMEOUT_MILLIS else 2 * LATENCY_MILLIS
            schedule(delay) { reply { it.onStop(target.id, task, attempt, result, nowMillis) } }
        }

        override fun poll(
            target: ShardTarget,
            request: PollRequest,
        ) {
            if (!alive) return
            val fake = target(target)
            if (fake.mode == FakeShardTarget.Mode.SILENT) {
                schedule(request.waitMillis + TIMEOUT_MILLIS) {
                    reply { it.onPoll(target.id, request, PollResult.Unknown("timed out"), nowMillis) }
                }
            } else {
                val incarnation = fake.incarnationStartMillis
                schedule(LATENCY_MILLIS + fake.firstPollDelayMillis) {
                    fake.firstPollDelayMillis = 0
                    if (isElsewhere(fake, target)) {
                        reply { it.onPoll(target.id, request, PollResult.OtherIncarnation, nowMillis) }
                    } else {
                        awaitEnd(fake, incarnation, request, nowMillis + request.waitMillis)
                    }
                }
            }
        }

        private fun awaitEnd(
            fake: FakeShardTarget,
            incarnation: Long,
            request: PollRequest,
            untilMillis: Long,
        ) {
            if (fake.incarnationStartMillis != incarnation || nowMillis < fake.startingUntilMillis) {
                reply { it.onPoll(fake.registration.id, request, PollResult.Unknown("reset"), nowMillis) }
                return
            }
            if (fake.isReplaced) {
                reply { it.onPoll(fake.registration.id, request, PollResult.OtherIncarnation, nowMillis) }
                return
            }
            val seen = poll(fake, request)
            if (!fake.hasEnds && nowMillis < untilMillis) {
                schedule(1) { awaitEnd(fake, incarnation, request, untilMillis) }
                return
            }
            schedule(LATENCY_MILLIS + fake.answerDelayMillis) {
                reply { it.onPoll(fake.registration.id, request, seen, nowMillis) }
            }
        }

        private fun poll(
            fake: FakeShardTarget,
            request: PollRequest,
        ): PollResult.Snapshot {
            // Polls of a previous holder change nothing, because a real target rejects its fencing token.
            val isHolder = this === holder
            val seen =
                fake.poll(
                    if (isHolder) request else request.copy(acknowledgedEnd = 0, leaseUntilMillis = null),
                    nowMillis,
                )
            fake.takeAcknowledgedEnds().filter { it.task.jobId in stored }.forEach(acknowledged::add)
            return seen
        }

        override fun save(
            jobId: JobId,
            snapshot: () -> JobSnapshot,
        ) {
            val writer = this
            schedule(saveMillis) {
                // The store's fencing rejects writes of a previous holder.
                if (writer !== holder) return@schedule
                val saved = snapshot()
                stored[jobId] = stored.getValue(jobId).copy(progress = saved.progress)
                schedule(LATENCY_MILLIS) { reply { it.onSaved(jobId, saved.version, nowMillis) } }
            }
        }

        override fun ended(
            jobId: JobId,
            state: JobState,
        ) {
            check(
                stored.getValue(jobId).progress.state == state,
            ) { "${jobId.value} is shown as $state, which is not its stored state" }
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
            if (nowMillis < pausedUntilMillis) {
                schedule(pausedUntilMillis - nowMillis) { reply(action) }
            } else if (alive) {
                action(dispatcher)
            }
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

    /** Actual durations of tasks at speed 1, where they differ from the declared ones. */
    val actualMillis = HashMap<TaskKey, Long>()

    /** Jobs all of whose runs fail at their end, on any target. */
    val poison = HashSet<JobId>()

    /** Tasks that crash their targets, and the crashes so far. */
    val crashes = CrashingTasks()
    private val capacities = CapacityChecker()
    private val jobs = HashMap<JobId, JobSpec>()

    private val acknowledged = AcknowledgedEnds()

    /** Durable jobs as stored. */
    val stored = LinkedHashMap<JobId, DurableJob>()

    /** Delay of a write to the store. */
    var saveMillis = 5L

    /** Time in which a new holder reads the stored jobs. */
    var readMillis = 10L
    private var pausedUntilMillis = 0L
    private var holders = 0
    private var resizes = 0
    private var listedResizes = 0
    private var nextWaiter = 0L
    private var holder = Holder()

    init {
        holder.dispatcher.inherit(holderToken = 0, HandOver.NONE, nowMillis, nowMillis)
        list(listed.map { it.registration })
        holder.dispatcher.recover(persistentListOf(), attemptBase = 0, nowMillis)
        tick()
    }

    private fun schedule(
        delayMillis: Long,
        action: () -> Unit,
    ) = clock.schedule(delayMillis, action)

    private fun tick() {
        if (nowMillis < pausedUntilMillis) {
            // A process reads its sockets before it runs its timers.
            schedule(pausedUntilMillis - nowMillis + 1, ::tick)
            return
        }
        if (holder.alive) {
            holder.pauses.onTick(nowMillis)
            holder.dispatcher.tick(nowMillis)
        }
        schedule(TICK_MILLIS, ::tick)
    }

    /** Pauses the process of the holder, which handles answers and timers only afterwards. */
    fun pauseHolder(millis: Long) {
        pausedUntilMillis = nowMillis + millis
    }

    /** Kills the holder; [replaceHolder] makes another one take over. */
    fun killHolder() {
        holder.alive = false
    }

    /** Time at which, by the holder's answer to a ping now, all callers of its runs waited. */
    fun servedAtMillis(): Long = nowMillis - holder.dispatcher.unservedMillis(nowMillis)

    /**
     * Replaces the holder by a new one that knows the [listed] targets.
     *
     * With [handOver], the new holder also gets what the old one knew, from an [offer] made at [madeAtMillis].
     * [seenAtMillis] is the time at which it last saw the old one, if it did.
     */
    fun replaceHolder(
        listed: List<FakeShardTarget> = targets,
        handOver: Boolean = false,
        seenAtMillis: Long? = null,
        offer: HandOver = holder.dispatcher.handOver(nowMillis),
        madeAtMillis: Long = nowMillis,
    ) {
        holder.alive = false
        holder = Holder()
        list(listed.map { it.registration })
        if (handOver) holder.dispatcher.inherit(holderToken = 0, offer, madeAtMillis, nowMillis)
        seenAtMillis?.let(holder.dispatcher::onPredecessorServed)
        val reader = holder
        val attemptBase = ++holders * ATTEMPTS_PER_HOLDER
        schedule(readMillis) {
            if (reader === holder) reader.dispatcher.recover(stored.values.toImmutableList(), attemptBase, nowMillis)
        }
    }

    /** Tells the holder whether the failure domain is evacuated, null for not known yet. */
    fun updateEvacuated(
        isEvacuated: Boolean?,
        graceMillis: Long = 0,
    ) = holder.dispatcher.updateEvacuated(isEvacuated, nowMillis, graceMillis)

    /** Lets the holder offer the shard to a successor. */
    fun handOver(): HandOver = holder.dispatcher.handOver(nowMillis)

    fun cancelHandOver() = holder.dispatcher.cancelHandOver()

    /** Restarts [target], which refuses connections while it starts. */
    fun restart(
        target: FakeShardTarget,
        downMillis: Long = RESTART_MILLIS,
    ) {
        crashes.onCrash(target.registration.id, target.runs.keys.toSet(), target.unheardEnds)
        target.restart()
        target.startingUntilMillis = nowMillis + downMillis
    }

    /** Restarts [target] at [address]; the list has its former address for now. */
    fun restartAt(
        target: FakeShardTarget,
        address: String,
    ) {
        restart(target)
        target.moveTo(address)
    }

    /** Changes the capacity of [target]; the holder learns of it [delayMillis] later. */
    fun resize(
        target: FakeShardTarget,
        capacity: Resources,
        delayMillis: Long,
    ) {
        target.resize(capacity)
        val registrations = targets.map { it.registration }
        val version = ++resizes
        schedule(delayMillis) {
            // A list never goes back to an older version.
            if (version > listedResizes) list(registrations)
            listedResizes = maxOf(listedResizes, version)
        }
    }

    /** Stores [job] and submits it to the holder. */
    fun submitDurable(job: JobSpec) {
        jobs[job.id] = job
        stored[job.id] = DurableJob(job)
        holder.dispatcher.submitDurable(DurableJob(job), nowMillis)
    }

    /** Cancels [job]; returns whether it was open at the holder. */
    fun cancel(job: JobSpec): Boolean {
        val isOpen = durableJobState(job)?.isEnded == false
        holder.dispatcher.cancel(job.id, nowMillis)
        return isOpen
    }

    val runningTasks: Int get() = targets.sumOf { it.runs.size }

    fun runningTasksOn(target: FakeShardTarget): Int = target.runs.size

    /** Speeds that the holder has learned of the targets. */
    fun speeds(): List<Double> = holder.dispatcher.targetViews(nowMillis).map { it.speed }

    fun runningTasksOf(job: JobSpec): Int = targets.sumOf { target -> target.runs.keys.count { it.jobId == job.id } }

    val wasReplaced: Boolean get() = holders > 0

    fun durableJobState(job: JobSpec): JobState? = holder.dispatcher.durableJobState(job.id)

    fun delayMillis(job: JobSpec): Long? = holder.dispatcher.delayMillis(JobNeeds(job.service, job.steps), nowMillis)

    /** Number of waiting tasks, targets and runs that the holder's decisions have examined. */
    val examined: Long get() = holder.dispatcher.examined

    val waitingTasks: Int get() = holder.dispatcher.waitingTasks

    fun pendingJobs(queue: String): Int = holder.dispatcher.pendingJobs(queue)

    fun submit(
        job: JobSpec,
        remainingMillis: Long = 2_000,
        admission: Admission = Admission.ON_TIME_OR_LATE,
        mayRun: Boolean = false,
    ): WaiterId {
        jobs[job.id] = job
        val waiter = WaiterId(nextWaiter++)
        holder.dispatcher.submit(JobRequest(job, remainingMillis, admission, mayRun), waiter, nowMillis)
        return waiter
    }

    fun expire(waiter: WaiterId) = holder.dispatcher.expire(waiter, sinceMillis = nowMillis, nowMillis)

    /** Lets the caller leave; a paused holder reads that afterwards, before its timers run, and a killed one never. */
    fun withdraw(waiter: WaiterId) {
        if (!holder.alive) return
        val reader = holder
        if (nowMillis < pausedUntilMillis) {
            schedule(pausedUntilMillis - nowMillis) {
                if (reader.alive) reader.dispatcher.withdraw(waiter, hasCallerLeft = false, nowMillis)
            }
        } else {
            reader.dispatcher.withdraw(waiter, hasCallerLeft = false, nowMillis)
        }
    }

    /** Lists only [listed] as targets. */
    fun list(listed: List<ShardTarget>) {
        capacities.onListed(listed)
        holder.dispatcher.updateTargets(listed.toImmutableList(), nowMillis)
    }

    fun runFor(millis: Long) {
        repeat(millis.toInt()) {
            targets.forEach { it.advance(nowMillis) }
            clock.advance(1)
            checkSingleRuns()
        }
    }

    private fun checkSingleRuns() {
        val running = targets.flatMap { it.runs.keys }.filterNot { stepOf(it).speculative }
        check(running.size == running.toSet().size) { "a task runs on two targets at $nowMillis ms: $running" }
    }

    private fun stepOf(task: TaskKey) = jobs.getValue(task.jobId).steps[task.step]

    /** The queue of [task], and its image if it has one. */
    private fun kindOf(task: TaskKey) =
        listOfNotNull(jobs.getValue(task.jobId).queue, stepOf(task).image).joinToString(" ")

    companion object {
        /** One-way latency between the holder and a target. */
        private const val LATENCY_MILLIS = 1L
        private const val TIMEOUT_MILLIS = 200L
        private const val TICK_MILLIS = 20L
        private const val RESTART_MILLIS = 50L
        private const val ATTEMPTS_PER_HOLDER = 1_000

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
            checkpointing: Boolean = false,
            speculative: Boolean = false,
            longRunning: Boolean = false,
            image: String? = null,
        ) = JobSpec(
            JobId(id),
            queue,
            "orders",
            priority,
            maxAttempts,
            stretch = 1.6,
            baseObjectiveMillis = 60,
            payload = "text",
            steps =
                listOf(
                    StepSpec(
                        tasks,
                        Resources(cpuMillis, 64),
                        estimateMillis,
                        requiredLabel = requiredLabel,
                        maxPerTarget = maxPerTarget,
                        checkpointing = checkpointing,
                        speculative = speculative,
                        longRunning = longRunning,
                        image = image,
                    ),
                ),
        )
    }
}
