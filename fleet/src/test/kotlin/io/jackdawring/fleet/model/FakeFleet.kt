package io.jackdawring.fleet.model

import io.jackdawring.core.shard.JobId
import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.Resources
import io.jackdawring.core.shard.StepSpec
import io.jackdawring.core.shard.TaskKey
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
                List(targetsPerDomain) { FakeFleetTarget("$domain-t${it + 1}", domain, clock, runs, targetClockRate()) }
            }.associateBy { it.id }
    private val instancesById = LinkedHashMap<String, FakeEntryInstance>()
    private val jobs = HashMap<JobId, JobSpec>()
    private val durations = HashMap<JobId, Long>()
    private var incarnations = 0

    val instances: List<FakeEntryInstance> get() = instancesById.values.toList()

    init {
        targets.keys.forEach { id ->
            store.commit(
                StoreChange(writes = persistentListOf(StoreChange.Write("$TARGETS$id", id.encodeToByteArray()))),
            )
        }
        for (domain in domainNames) repeat(instancesPerDomain) { startInstance("$domain${it + 1}") }
        run(STARTUP_MILLIS)
    }

    fun instance(id: String): FakeEntryInstance = instancesById.getValue(id)

    fun holder(domain: String): FakeEntryInstance? = instances.firstOrNull { it.domain == domain && it.holdsShard }

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
        const val MAX_LEASE_MILLIS = 1_000L
        private const val STARTUP_MILLIS = 2_000L
        private const val DRAIN_MILLIS = 3_000L
        private const val RESTART_MILLIS = 300L

        fun job(
            id: String,
            tasks: Int = 1,
            estimateMillis: Long = 400,
        ) = JobSpec(
            JobId(id),
            "q",
            SERVICE,
            priority = 0,
            maxAttempts = 3,
            stretch = 1.6,
            baseObjectiveMillis = 60,
            payload = "text",
            steps = listOf(StepSpec(tasks, Resources(4_000, 64), estimateMillis)),
        )
    }
}
