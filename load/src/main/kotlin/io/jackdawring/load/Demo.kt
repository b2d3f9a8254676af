package io.jackdawring.load

import io.jackdawring.core.configuration.KindDefinition
import io.jackdawring.core.configuration.ServiceDefinition
import io.jackdawring.core.configuration.TeamDocument
import io.jackdawring.server.EntryServer
import io.jackdawring.server.http.HttpTransport
import io.jackdawring.standins.TargetCounts
import io.jackdawring.standins.Timers
import io.jackdawring.standins.doubleStarts
import io.jackdawring.standins.realTimers
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import java.io.PrintStream
import java.util.Locale
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicInteger

/** Runs the demo with production entry instances; returns the process exit code. */
fun runDemo(out: PrintStream): Int = runDemo(out, EntryServer.Default)

/**
 * Runs a fleet in this process, sends jobs and single requests, and prints a summary to [out].
 *
 * Returns 0 if every answer was complete and no task started twice, else 1. Ends within [limitMillis].
 */
internal fun runDemo(
    out: PrintStream,
    entryServers: EntryServer.Factory,
    limitMillis: Long = DEMO_LIMIT_MILLIS,
): Int {
    val step = DemoStep()
    val result = CompletableFuture<Boolean>()
    val worker =
        Thread({
            try {
                result.complete(Demo(out, entryServers, step).run())
            } catch (e: Exception) {
                result.completeExceptionally(e)
            }
        }, "demo")
    worker.isDaemon = true
    worker.start()
    return try {
        if (result.get(limitMillis, TimeUnit.MILLISECONDS)) 0 else 1
    } catch (_: TimeoutException) {
        out.println("the demo did not end within $limitMillis ms; missing: ${step.awaited}")
        // All threads are daemon threads, so the fleet ends with the process.
        worker.interrupt()
        1
    } catch (e: ExecutionException) {
        out.println("the demo failed while waiting for ${step.awaited}: ${e.cause}")
        1
    }
}

/** Time limit of the demo: the documented 30 s minus 2 s for the start of the process. */
internal const val DEMO_LIMIT_MILLIS = 28_000L

/** Progress of the demo; [awaited] is what it currently waits for, printed when the time limit is reached. */
internal class DemoStep {
    @Volatile
    var awaited: String = "the start of the fleet"
}

private class Demo(
    private val out: PrintStream,
    private val entryServers: EntryServer.Factory,
    private val step: DemoStep,
) {
    private class SentRequest(
        val job: JobSpec,
        val label: String,
        val answer: CompletableFuture<JobAnswer>,
    ) {
        @Volatile
        var detail: String = ""
    }

    private val sent = ArrayList<SentRequest>()
    private val slowdowns = KINDS.associateWith { SlowdownRecorder() }
    private val problems = ArrayList<String>()
    private val nextId = AtomicInteger()
    private lateinit var callers: CallerClient

    fun run(): Boolean {
        val transport = HttpTransport(EVENT_LOOP_THREADS, "demo")
        val timers: Timers = realTimers()
        transport.use {
            transport.client().use { client ->
                timers.use {
                    callers = CallerClient(client, timers)
                    LocalFleet(FLEET, transport, entryServers).use(::runWith)
                }
            }
        }
        problems.forEach { out.println("wrong: $it") }
        return problems.isEmpty()
    }

    private fun runWith(fleet: LocalFleet) {
        step.awaited = "readiness of the entry instances"
        fleet.awaitReady(READY_LIMIT_MILLIS)?.let {
            problems += it
            return
        }
        val sessions = fleet.entries.map { openSession(it) ?: return }
        out.println("fleet: ${fleet.entries.size} entry instances, ${FLEET.targets} targets with $SLOTS slots in all")
        sendLargeJob(fleet, sessions)
        phase("single requests: ${SINGLE_REQUESTS * KINDS.size} in ${KINDS.size} classes") {
            sendSingleRequests(fleet, sessions)
        }
        phase("a job resubmitted through another entry instance while it runs") {
            resubmitWhileRunning(fleet, sessions)
        }
        phase("a job resubmitted through another entry instance after its end") {
            resubmitAfterwards(fleet, sessions)
        }
        report(fleet)
    }

    /** Runs [action] and prints [name] with the time that it took. */
    private inline fun phase(
        name: String,
        action: () -> Unit,
    ) {
        val startNanos = System.nanoTime()
        action()
        out.println("$name: ${TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)} ms")
    }

    private fun openSession(entry: EntryServer): String? {
        step.awaited = "a session at ${entry.callerAddress}"
        val token = CompletableFuture<String?>()
        callers.openSession(entry.callerAddress, "demo", token::complete)
        return token.get().also { if (it == null) problems += "${entry.callerAddress} refused a session" }
    }

    private fun sendLargeJob(
        fleet: LocalFleet,
        sessions: List<String>,
    ) {
        val job = job(KINDS[1], List(LARGE_JOB_TASKS) { LARGE_JOB_RUN_MILLIS + it % RUN_MILLIS_SPREAD })
        phase("job of $LARGE_JOB_TASKS tasks, at least ${job.idealMillisOn(SLOTS)} ms on $SLOTS slots") {
            await(send(fleet.entries[0], sessions[0], job, "job of $LARGE_JOB_TASKS tasks"))
        }
    }

    private fun sendSingleRequests(
        fleet: LocalFleet,
        sessions: List<String>,
    ) {
        repeat(SINGLE_REQUESTS) { index ->
            val entry = index % fleet.entries.size
            val requests =
                KINDS.map { kind ->
                    val job = job(kind, listOf(SINGLE_RUN_MILLIS + index))
                    send(fleet.entries[entry], sessions[entry], job, "single request")
                }
            if (index % fleet.entries.size == fleet.entries.size - 1) requests.forEach(::await)
        }
        sent.forEach(::await)
    }

    private fun resubmitWhileRunning(
        fleet: LocalFleet,
        sessions: List<String>,
    ) {
        val job = job(KINDS[0], List(RESUBMITTED_TASKS) { RESUBMITTED_RUN_MILLIS })
        val first = send(fleet.entries[0], sessions[0], job, "job before its resubmission")
        step.awaited = "the start of a task of ${job.submissionId}"
        while (fleet.targets.none { target -> target.starts().any { "/${job.submissionId}/" in "/${it.task}" } }) {
            if (first.answer.isDone) break
            Thread.sleep(POLL_MILLIS)
        }
        if (first.answer.isDone) problems += "${job.submissionId} ended before its resubmission"
        await(send(fleet.entries[1], sessions[0], job, "resubmission while running", measured = false))
        await(first)
    }

    private fun resubmitAfterwards(
        fleet: LocalFleet,
        sessions: List<String>,
    ) {
        val job = job(KINDS[2], List(RESUBMITTED_TASKS) { SINGLE_RUN_MILLIS })
        await(send(fleet.entries[2], sessions[2], job, "job before its resubmission"))
        await(send(fleet.entries[1], sessions[2], job, "resubmission after the end", measured = false))
    }

    private fun job(
        kind: String,
        runMillis: List<Long>,
    ) = JobSpec("demo-${nextId.incrementAndGet()}", SERVICE, kind, DEADLINE_MILLIS, runMillis.toImmutableList())

    private fun send(
        entry: EntryServer,
        session: String,
        job: JobSpec,
        label: String,
        measured: Boolean = true,
    ): SentRequest {
        val request = SentRequest(job, label, CompletableFuture())
        sent += request
        val startNanos = System.nanoTime()
        callers.submit(entry.callerAddress, session, job) { answer, detail ->
            if (answer == JobAnswer.COMPLETE && measured) {
                slowdowns.getValue(job.kind).record(System.nanoTime() - startNanos, job.idealMillisOn(SLOTS))
            }
            request.detail = detail
            request.answer.complete(answer)
        }
        return request
    }

    private fun await(request: SentRequest) {
        step.awaited = "the answer to ${request.label} ${request.job.submissionId}"
        request.answer.get()
    }

    private fun report(fleet: LocalFleet) {
        val answers = sent.groupingBy { it.answer.get() }.eachCount()
        sent.filter { it.answer.get() != JobAnswer.COMPLETE }.forEach {
            problems += "${it.label} ${it.job.submissionId} was answered ${it.answer.get()} ${it.detail}"
        }
        val jobs = sent.distinctBy { it.job.submissionId }
        val tasks =
            jobs.sumOf {
                it.job.runMillis.size
                    .toLong()
            }
        val delivered =
            jobs.filter { it.answer.get() == JobAnswer.COMPLETE }.sumOf {
                it.job.runMillis.size
                    .toLong()
            }
        val repeated = (sent.size - jobs.size).toLong()
        val targetCounts = LocalTargetReadings(fleet.targets).counts()
        val waste = WastedMessages.between(TargetCounts(), targetCounts, repeated, repeated, delivered)
        val starts = fleet.targets.flatMap { it.starts() }
        val double = doubleStarts(starts)
        double.forEach { (task, count) -> problems += "task $task started $count times" }
        val counts = fleet.platform.counts()
        out.println("answers: ${answers.entries.joinToString { "${it.key.name.lowercase()} ${it.value}" }}")
        slowdowns.forEach { (kind, recorder) -> out.println(line(kind, recorder.toSlowdown())) }
        out.println(
            "wasted messages per task: %.4f (%d of %d tasks: %s)"
                .format(Locale.ROOT, waste.perTask(tasks), waste.total, tasks, waste),
        )
        out.println(
            "starts per task: %.4f (%d starts, %d tasks started twice)"
                .format(Locale.ROOT, starts.size.toDouble() / tasks, starts.size, double.size),
        )
        out.println(
            "platform calls: ${counts.reads} store reads, ${counts.writes} store writes, " +
                "${counts.instanceReads} list reads, ${counts.instanceWrites} registrations, " +
                "${counts.waitingWatches} waiting",
        )
    }

    private fun line(
        kind: String,
        slowdown: Slowdown,
    ): String =
        "response time against the ideal, %s: mean %.3f, p99 %.3f (%d answers)"
            .format(Locale.ROOT, kind, slowdown.mean, slowdown.p99, slowdown.answers)

    private companion object {
        const val SERVICE = "orders"
        const val EVENT_LOOP_THREADS = 2
        const val READY_LIMIT_MILLIS = 10_000L
        const val DEADLINE_MILLIS = 10_000L
        const val LARGE_JOB_TASKS = 300
        const val LARGE_JOB_RUN_MILLIS = 50L
        const val RUN_MILLIS_SPREAD = 100L
        const val SINGLE_REQUESTS = 20
        const val SINGLE_RUN_MILLIS = 80L
        const val RESUBMITTED_TASKS = 10
        const val RESUBMITTED_RUN_MILLIS = 600L
        const val POLL_MILLIS = 5L
        val KINDS = persistentListOf("allergen-check", "menu-confirmation", "seating-update")
        private val DOCUMENT =
            TeamDocument(
                "stillwater",
                listOf(
                    ServiceDefinition(
                        service = SERVICE,
                        team = "stillwater",
                        kinds =
                            KINDS.mapIndexed { index, name ->
                                KindDefinition(name, priority = index + 1, expectedMillis = 100)
                            },
                    ),
                ),
            )
        val FLEET = fleetOptions { documents = listOf(DOCUMENT) }
        val SLOTS = FLEET.targets * FLEET.slots
    }
}
