package io.jackdawring.load.bench

import io.jackdawring.core.Event
import io.jackdawring.core.Payload
import io.jackdawring.core.TaskSpec

/**
 * Events per second of an [EntryInstance][io.jackdawring.core.EntryInstance] on one thread; every task is answered
 * after about 100 ms of virtual time.
 *
 * Half of all slots are busy. The work of the driver (building submissions, queueing answers) is included.
 */
internal class CoreBench(
    private val options: BenchOptions,
    private val table: BenchTable,
) {
    fun run() {
        for (tasks in if (options.small) listOf(20) else listOf(1, 20, 1_200)) {
            for (targets in if (options.small) listOf(30) else listOf(30, 940)) {
                for (teams in if (options.small) listOf(1) else listOf(1, 160)) measure(tasks, targets, teams)
            }
        }
    }

    private fun measure(
        tasks: Int,
        targets: Int,
        teams: Int,
    ) {
        val run = CoreRun(tasks, targets, teams)
        run.runFor(options.caseMillis / 2)
        val instance = run.instance
        val events = instance.events
        val starts = instance.starts
        val startAllocatedBytes = currentThreadAllocatedBytes()
        val startCollectionMillis = collectionMillis()
        val startCpuNanos = currentThreadCpuNanos()
        val startNanos = System.nanoTime()
        run.runFor(options.caseMillis)
        val wallSeconds = (System.nanoTime() - startNanos) / NANOS
        val cpuSeconds = (currentThreadCpuNanos() - startCpuNanos) / NANOS
        val startCount = maxOf(1, instance.starts - starts)
        check(instance.notComplete == 0L) { "jobs did not complete: ${instance.lastProblem}" }
        table.add(
            "tasks" to tasks,
            "targets" to targets,
            "teams" to teams,
            "events/CPU-s" to ((instance.events - events) / cpuSeconds).toLong(),
            "events/s" to ((instance.events - events) / wallSeconds).toLong(),
            "starts/CPU-s" to (startCount / cpuSeconds).toLong(),
            "B/start" to (currentThreadAllocatedBytes() - startAllocatedBytes) / startCount,
            "GC share" to (collectionMillis() - startCollectionMillis) / MILLIS / wallSeconds,
        )
    }

    private companion object {
        const val NANOS = 1e9
        const val MILLIS = 1e3
    }
}

private class CoreRun(
    tasksPerJob: Int,
    targets: Int,
    private val teams: Int,
) {
    private val inFlight = targets * BUSY_SLOTS
    private val tasks = List(tasksPerJob) { TaskSpec(PAYLOAD, expectedMillis = RUN_MILLIS) }
    private val jobs = maxOf(1, inFlight / tasksPerJob)
    private var team = 0
    private var answered = 0L
    private var sessionMillis = 0L

    // Records would grow without bound at this rate, so sessions and answers are retained for a shorter time.
    val instance =
        ScriptedInstance(ScriptedStore(teams)) {
            sessionLifetimeMillis = SESSION_MILLIS
            answerRetentionMillis = RETENTION_MILLIS
            maxSubmissionsPerSession = Int.MAX_VALUE
            maxRecords = Int.MAX_VALUE
        }

    init {
        instance.handle(Event.InstancesListed(ScriptedInstance.instanceList(targets, teams)))
        instance.runTimers()
        instance.openSession()
    }

    fun runFor(millis: Long) {
        val endNanos = System.nanoTime() + millis * NANOS_PER_MILLI
        while (System.nanoTime() < endNanos) repeat(BATCH) { step() }
    }

    private fun step() {
        while (instance.openJobs < jobs) {
            instance.submit(ScriptedStore.service(team), tasks)
            team = (team + 1) % teams
        }
        check(instance.started.isNotEmpty()) { "no task was started: ${instance.lastProblem}" }
        instance.answerOldest()
        answered++
        instance.nowMillis = answered * RUN_MILLIS / inFlight
        instance.runTimers()
        if (instance.nowMillis - sessionMillis > SESSION_MILLIS / 2) {
            sessionMillis = instance.nowMillis
            instance.openSession()
        }
    }

    private companion object {
        const val BUSY_SLOTS = 4
        const val RUN_MILLIS = 100L
        const val SESSION_MILLIS = 10_000L
        const val RETENTION_MILLIS = 1_000L
        const val BATCH = 100
        const val NANOS_PER_MILLI = 1_000_000L
        val PAYLOAD = Payload.of("""{"dish":17,"detail":"0123456789012345678901234567890123456789"}""")
    }
}
