package io.jackdawring.fleet.model

import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.StepSpec
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.fleet.CallerAnswer
import io.jackdawring.fleet.durable.DurableJobRecord
import io.jackdawring.fleet.store.StoreChange
import io.jackdawring.testing.VirtualClock
import kotlinx.collections.immutable.persistentListOf
import java.util.SplittableRandom

/**
 * Entry instances, targets, store and callers of several failure domains on one virtual clock.
 *
 * The failure domains are named "a", "b" and so on; their instances "a1", "a2", in the order in which they are preferred
 * as holders, and their targets "a-t1", "a-t2". A task that runs twice at the same time fails the test.
 */
internal class FakeFleet(
    val domains: Int,
    private val instancesPerDomain: Int,
    targetsPerDomain: Int,
    val random: SplittableRandom = SplittableRandom(1),
    label: (domain: String) -> String? = { null },
    /** As in the settings; null if evacuations are not used. */
    val evacuateMillis: Long? = null,
    targetClockRate: () -> Double = { 1.0 },
) {
    val clock = VirtualClock()
    val trace = FleetTrace(clock)
    val links = FakeLinks(clock)
    val network = FakePeerNetwork(links, random, trace)
    val store = FakeFleetStore(clock, trace)
    val targetFaults = FakeTargetFaults(clock)
    val runs = FakeRuns(trace)
    val callers = ArrayList<FakeJobCaller>()
    val domainNames = List(domains) { ('a' + it).toString() }
    val targets =
        domainNames
            .flatMap { domain ->
                List(targetsPerDomain) { fakeTarget("$domain-t${it + 1}", domain, targetClockRate(), label(domain)) }
            }.associateBy { it.id }
    private val instancesById = LinkedHashMap<String, FakeEntryInstance>()
    private val jobs = HashMap<JobId, JobSpec>()
    private val durations = HashMap<JobId, Long>()
    private var incarnations = 0

    val instances: List<FakeEntryInstance> get() = instancesById.values.toList()

    init {
        targets.keys.forEach(::list)
        for (domain in domainNames) repeat(instancesPerDomain) { startInstance("$domain${it + 1}") }
        run(STARTUP_MILLIS)
    }

    fun instance(id: String): FakeEntryInstance = instancesById.getValue(id)

    fun holder(domain: String): FakeEntryInstance? = instances.firstOrNull { it.domain == domain && it.holdsShard }

    private fun fakeTarget(
        id: String,
        domain: String,
        clockRate: Double,
        label: String?,
    ) = FakeFleetTarget(id, domain, clock, runs, clockRate, label)

    private fun startInstance(id: String) {
        val weight = instancesPerDomain - id.drop(1).toDouble()
        instancesById[id] = FakeEntryInstance(id, id.take(1), weight, ++incarnations, this)
    }

    fun run(millis: Long) = clock.advance(millis)

    fun kill(
        id: String,
        restartAfterMillis: Long? = null,
    ) {
        val killed = instance(id)
        if (!killed.process.alive) return
        trace.add("$id is killed")
        killed.process.kill()
        network.onKilled(id)
        callers.toList().forEach { it.reset(killed) }
        if (restartAfterMillis != null) {
            clock.schedule(restartAfterMillis) {
                trace.add("$id starts")
                startInstance(id)
            }
        }
    }

    /** Stops [id] gracefully: it hands its shards over and ends [DRAIN_MILLIS] later. */
    fun drain(id: String) {
        val drained = instance(id)
        if (!drained.process.alive || drained.draining) return
        trace.add("$id drains")
        drained.drain()
        clock.schedule(DRAIN_MILLIS) { if (instance(id) === drained) kill(id, RESTART_MILLIS) }
    }

    /** Breaks the connections of callers to [id]. */
    fun resetCallers(id: String) {
        trace.add("connections of callers to $id are reset")
        callers.toList().forEach { it.reset(instance(id)) }
    }

    fun freeze(
        id: String,
        millis: Long,
        clockCounts: Boolean = true,
        messagesFirst: Boolean = true,
    ) {
        val process = instance(id).process
        if (!process.alive || process.frozen) return
        trace.add("$id freezes for $millis ms, clock counts: $clockCounts, messages first: $messagesFirst")
        clock.schedule(millis) { if (process.alive) trace.add("$id continues") }
        process.freeze(millis, clockCounts, messagesFirst)
    }

    /** Cuts the paths between [node] and each of [others]. */
    fun cut(
        node: String,
        others: Collection<String>,
        millis: Long,
    ) {
        trace.add("$node is cut off from $others for $millis ms")
        others.filter { it != node }.forEach { links.cut(node, it, millis) }
    }

    fun silence(
        target: String,
        millis: Long,
    ) {
        trace.add("$target is silent for $millis ms")
        targetFaults.silence(target, millis)
    }

    fun loseAnswers(
        target: String,
        millis: Long,
    ) {
        trace.add("answers of $target are lost for $millis ms")
        targetFaults.loseAnswers(target, millis)
    }

    fun restart(target: String) {
        trace.add("$target restarts")
        targets.getValue(target).restart()
    }

    fun stopStore(millis: Long) {
        trace.add("store is down for $millis ms")
        store.downUntilMillis = maxOf(store.downUntilMillis, clock.nowMillis + millis)
    }

    fun slowStore(millis: Long) {
        trace.add("store is slow for $millis ms")
        store.slowUntilMillis = maxOf(store.slowUntilMillis, clock.nowMillis + millis)
    }

    /** Submits a job whose tasks take [durationMillis]; [nextInstance] names the instances of its submissions. */
    fun submit(
        job: JobSpec,
        domain: String,
        durationMillis: Long,
        nextInstance: (submission: Int) -> FakeEntryInstance?,
    ): FakeJobCaller {
        jobs[job.id] = job
        durations[job.id] = durationMillis
        return FakeJobCaller(job, domain, this, nextInstance).also {
            callers.add(it)
            it.submit()
        }
    }

    /** Submits a durable [job], whose tasks take [durationMillis], to the instance [id]. */
    fun submitDurable(
        job: JobSpec,
        id: String,
        durationMillis: Long,
        onAnswer: (CallerAnswer) -> Unit = {},
    ) {
        jobs[job.id] = job
        durations[job.id] = durationMillis
        runs.addDurable(job.id)
        val instance = instance(id)
        instance.process.execute {
            instance.durableJobs.submit(job, FakeJobCaller.WAIT_MILLIS) { answer ->
                trace.add("caller: $answer", job.id)
                if (answer == CallerAnswer.Stored) accepted.add(job.id)
                onAnswer(answer)
            }
        }
    }

    /** Queries the state of a durable job at the instance [id], or cancels the job. */
    fun queryState(
        job: JobSpec,
        id: String,
        cancel: Boolean,
        onAnswer: (CallerAnswer) -> Unit,
    ) {
        val instance = instance(id)
        instance.process.execute { instance.durableJobs.queryState(job.id, cancel, onAnswer) }
    }

    /** Durable jobs that were accepted. */
    val accepted = LinkedHashSet<JobId>()

    /** Stored states of the durable jobs with the failure domains whose shards have them. */
    fun storedJobs(): Map<JobId, Pair<String, JobState>> =
        store.items.values
            .filter { it.key.startsWith(RECORDS) && "/part/" !in it.key }
            .associate { item ->
                val domain = item.key.removePrefix(RECORDS).substringBefore('/')
                val record = checkNotNull(DurableJobRecord.decode(item))
                record.spec.id to (domain to record.progress.state)
            }

    /** Fails unless all accepted and all stored durable jobs are completed, or have failed if they [mayFail]. */
    fun checkCompleted(mayFail: Boolean = false) {
        val ends = setOfNotNull(JobState.COMPLETED, JobState.FAILED.takeIf { mayFail })
        val stored = storedJobs()
        val open = (accepted + stored.keys).filter { stored[it]?.second !in ends }
        if (open.isEmpty()) return
        throw AssertionError("open: ${open.associateWith { stored[it] }}\n${trace.describe(open.first())}")
    }

    /** Crashes [target], which never returns and leaves the list of targets. */
    fun crashForGood(target: String) {
        restart(target)
        silence(target, FOREVER_MILLIS)
        clock.schedule(UNLISTED_AFTER_MILLIS) { unlist(target) }
    }

    /** Adds [target] to the list of targets in the store. */
    fun list(target: String) {
        val entry = StoreChange.Write("$TARGETS$target", target.encodeToByteArray())
        store.commit(StoreChange(writes = persistentListOf(entry)))
    }

    /** Removes [target] from the list of targets in the store, as if it did not reach the store for a while. */
    fun unlist(target: String) {
        store.commit(StoreChange(removals = persistentListOf("$TARGETS$target")))
    }

    /** Requests that nothing starts on the targets of [domain]. */
    fun evacuate(domain: String) {
        trace.add("$domain is evacuated")
        val request = StoreChange.Write("$EVACUATIONS$domain", ByteArray(0))
        store.commit(StoreChange(writes = persistentListOf(request)))
    }

    fun withdrawEvacuation(domain: String) {
        trace.add("$domain returns to service")
        store.commit(StoreChange(removals = persistentListOf("$EVACUATIONS$domain")))
    }

    fun targetsOf(domain: String): List<String> = targets.keys.filter { it.startsWith("$domain-") }

    fun demandOf(task: TaskKey): Resources = jobs.getValue(task.jobId).steps[task.step].demand

    fun durationOf(task: TaskKey): Long = durations.getValue(task.jobId)

    /** Fails if a job of which all submissions were answered as not run has run. */
    fun checkRefusals() {
        for (caller in callers) {
            if (caller.allRefused && runs.hasBegun(caller.job.id)) {
                throw AssertionError("${caller.job.id} was refused but ran\n${trace.describe(caller.job.id)}")
            }
        }
    }

    companion object {
        const val SERVICE = "orders"
        const val TARGETS = "targets/"
        const val OPERATOR_ITEMS = "operators/"
        const val EVACUATIONS = "operators/evacuate/"
        const val MAX_LEASE_MILLIS = 1_000L
        private const val RECORDS = "jackdawring-jobs/records/"
        private const val FOREVER_MILLIS = 1_000_000L
        private const val UNLISTED_AFTER_MILLIS = 4_500L
        private const val STARTUP_MILLIS = 2_000L
        private const val DRAIN_MILLIS = 3_000L
        private const val RESTART_MILLIS = 300L

        fun job(
            id: String,
            tasks: Int = 1,
            estimateMillis: Long = 400,
            requiredLabel: String? = null,
            steps: Int = 1,
            cpuMillis: Int = 4_000,
            isLongRunning: Boolean = false,
        ) = JobSpec(
            JobId(id),
            "q",
            SERVICE,
            priority = 0,
            maxAttempts = 3,
            stretch = 1.6,
            baseObjectiveMillis = 60,
            payload = "text",
            steps =
                List(steps) { step ->
                    val after = listOf(step - 1).filter { it >= 0 }
                    val demand = Resources(cpuMillis, 64)
                    StepSpec(tasks, demand, estimateMillis, after, requiredLabel, longRunning = isLongRunning)
                },
        )
    }
}
