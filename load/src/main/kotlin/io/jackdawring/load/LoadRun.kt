package io.jackdawring.load

import io.jackdawring.standins.Timers
import io.jackdawring.standins.doubleStarts
import java.util.EnumMap
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.LongAdder

/** One load run; [run] may be called once. */
internal class LoadRun(
    private val options: LoadOptions,
    private val callers: CallerClient,
    private val timers: Timers,
    private val targets: TargetReadings?,
) {
    private class Session(
        val owner: String,
        val token: String,
    )

    private class ClassRecord {
        val jobs = LongAdder()
        val answers = AnswerCounts()
        val slowdown = SlowdownRecorder()
    }

    private val runId = "load${java.lang.Long.toString(System.nanoTime(), RADIX)}"
    private val generator = JobGenerator(options, runId)
    private val balancer = AtomicInteger()
    private val sessions = ConcurrentHashMap<Int, CompletableFuture<Session?>>()
    private val records = options.classes.associate { it.kind to ClassRecord() }
    private val resubmissions = AnswerCounts()
    private val tasks = LongAdder()
    private val deliveredTasks = LongAdder()
    private val repeatedSends = LongAdder()
    private val forwards = LongAdder()
    private val sessionsFailed = LongAdder()
    private val maxSendLagNanos = AtomicLong()
    private val totalSendLagNanos = LongAdder()

    /** One for the generator and one for each unanswered request; the run ends at 0. */
    private val openCount = AtomicLong(1)
    private val done = CompletableFuture<Unit>()
    private var startNanos = 0L

    /** Sends the load, waits for the answers and returns the report. */
    fun run(): LoadReport {
        openSessions()
        val before = targets?.counts()
        startNanos = System.nanoTime()
        when (val pattern = options.pattern) {
            is LoadPattern.OpenLoop -> sendOpenLoop(nextJob())
            is LoadPattern.ClosedLoop -> timers.schedule(0) { startClosedLoop(pattern.concurrency) }
        }
        try {
            done.get(options.durationMillis + 2 * options.deadlineMillis + END_MARGIN_MILLIS, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            // The report then contains only the answers that have arrived.
        }
        val after = targets?.counts()
        val wasted =
            if (before == null || after == null) {
                null
            } else {
                WastedMessages.between(before, after, repeatedSends.sum(), forwards.sum(), deliveredTasks.sum())
            }
        return LoadReport(
            classes = records.map { (kind, record) -> record.toReport(kind) },
            tasks = tasks.sum(),
            resubmissions = resubmissions.toMap(),
            wasted = wasted,
            wastedPerTask = wasted?.perTask(tasks.sum()),
            doubleStarts = targets?.starts()?.let { starts -> doubleStarts(starts.filter { runId in it.task }).size },
            sessionsFailed = sessionsFailed.sum(),
            meanSendLagMillis =
                totalSendLagNanos.sum() / NANOS_PER_MILLI / records.values.sumOf { it.jobs.sum() }.coerceAtLeast(1),
            maxSendLagMillis = TimeUnit.NANOSECONDS.toMillis(maxSendLagNanos.get()),
        )
    }

    private fun ClassRecord.toReport(kind: String) =
        ClassReport(kind, jobs.sum(), answers.toMap(), slowdown.toSlowdown())

    private fun openSessions() {
        val opened = (0 until options.callers).map { session(it) }
        CompletableFuture.allOf(*opened.toTypedArray()).get()
    }

    /** Session of [caller], opened if there is none; null if every entry instance refused one. */
    private fun session(caller: Int): CompletableFuture<Session?> =
        sessions.computeIfAbsent(caller) {
            CompletableFuture<Session?>().also { openSession(caller, options.entries.size, it) }
        }

    private fun openSession(
        caller: Int,
        attempts: Int,
        result: CompletableFuture<Session?>,
    ) {
        val entry = nextEntry()
        callers.openSession(entry, "caller-$caller") { token ->
            when {
                token != null -> result.complete(Session(entry, token))
                attempts > 1 -> openSession(caller, attempts - 1, result)
                else -> {
                    sessionsFailed.increment()
                    sessions.remove(caller, result)
                    result.complete(null)
                }
            }
        }
    }

    private fun nextEntry(): String = options.entries[Math.floorMod(balancer.getAndIncrement(), options.entries.size)]

    private fun nextEntryExcept(entry: String): String = nextEntry().let { if (it == entry) nextEntry() else it }

    private fun elapsedNanos(): Long = System.nanoTime() - startNanos

    private fun nextJob(): PlannedJob? =
        generator.next(elapsedNanos()).takeIf {
            it.intendedNanos < TimeUnit.MILLISECONDS.toNanos(options.durationMillis)
        }

    private fun sendOpenLoop(first: PlannedJob?) {
        var planned = first
        while (planned != null) {
            val waitNanos = planned.intendedNanos - elapsedNanos()
            if (waitNanos > 0) {
                val next = planned
                timers.scheduleNanos(waitNanos) { sendOpenLoop(next) }
                return
            }
            send(planned) {}
            planned = nextJob()
        }
        closeOne()
    }

    private fun startClosedLoop(concurrency: Int) {
        repeat(concurrency) { sendClosedLoop() }
        closeOne()
    }

    private fun sendClosedLoop() {
        // The generator is not thread-safe; answers arrive on several event loops.
        val planned = synchronized(generator) { nextJob() } ?: return
        send(planned, ::sendClosedLoop)
    }

    private fun send(
        planned: PlannedJob,
        onAnswer: () -> Unit,
    ) {
        val lagNanos = elapsedNanos() - planned.intendedNanos
        maxSendLagNanos.accumulateAndGet(lagNanos, ::maxOf)
        totalSendLagNanos.add(lagNanos)
        records.getValue(planned.job.kind).jobs.increment()
        tasks.add(
            planned.job.runMillis.size
                .toLong(),
        )
        openCount.incrementAndGet()
        submit(planned, MAX_SENDS) { answer ->
            record(planned, answer)
            onAnswer()
            closeOne()
        }
    }

    private fun submit(
        planned: PlannedJob,
        sendsLeft: Int,
        onAnswer: (JobAnswer) -> Unit,
    ) {
        session(planned.caller).thenAccept { session ->
            if (session == null) {
                onAnswer(JobAnswer.NOT_SENT)
                return@thenAccept
            }
            val entry = if (options.balancing == Balancing.REQUESTS) nextEntry() else session.owner
            if (entry != session.owner) forwards.increment()
            if (planned.resubmit && sendsLeft == MAX_SENDS) scheduleResubmission(planned.job, session, entry)
            callers.submit(entry, session.token, planned.job) { answer, _ ->
                if (answer in SESSION_LOST) discardSession(planned.caller, session)
                // No byte was sent, so the caller sends the job again in a new session.
                if (answer == JobAnswer.NOT_SENT && sendsLeft > 1) {
                    repeatedSends.increment()
                    submit(planned, sendsLeft - 1, onAnswer)
                } else {
                    onAnswer(answer)
                }
            }
        }
    }

    /** Makes [caller] open a new session, unless it has replaced [session] already. */
    private fun discardSession(
        caller: Int,
        session: Session,
    ) {
        sessions.computeIfPresent(caller) { _, present -> present.takeIf { it.getNow(null) !== session } }
    }

    private fun scheduleResubmission(
        job: JobSpec,
        session: Session,
        firstEntry: String,
    ) {
        openCount.incrementAndGet()
        timers.schedule(options.resubmitAfterMillis) {
            val entry = nextEntryExcept(firstEntry)
            repeatedSends.increment()
            if (entry != session.owner) forwards.increment()
            callers.submit(entry, session.token, job) { answer, _ ->
                resubmissions.count(answer)
                closeOne()
            }
        }
    }

    private fun record(
        planned: PlannedJob,
        answer: JobAnswer,
    ) {
        val record = records.getValue(planned.job.kind)
        record.answers.count(answer)
        if (answer != JobAnswer.COMPLETE) return
        deliveredTasks.add(
            planned.job.runMillis.size
                .toLong(),
        )
        if (planned.intendedNanos < TimeUnit.MILLISECONDS.toNanos(options.warmUpMillis)) return
        record.slowdown.record(
            elapsedNanos() - planned.intendedNanos,
            planned.job.idealMillis(2 * options.callerOneWayMillis),
        )
    }

    private fun closeOne() {
        if (openCount.decrementAndGet() == 0L) done.complete(Unit)
    }

    private companion object {
        const val RADIX = 36
        const val NANOS_PER_MILLI = 1e6
        const val MAX_SENDS = 3
        const val END_MARGIN_MILLIS = 5_000L

        /** Answers after which a caller opens a new session. */
        val SESSION_LOST = setOf(JobAnswer.NOT_SENT, JobAnswer.NO_ANSWER, JobAnswer.UNKNOWN)
    }
}

/** Counts answers by kind; thread-safe. */
internal class AnswerCounts {
    private val counts = JobAnswer.entries.associateWithTo(EnumMap(JobAnswer::class.java)) { LongAdder() }

    fun count(answer: JobAnswer) = counts.getValue(answer).increment()

    /** Answers that occurred, with their number. */
    fun toMap(): Map<JobAnswer, Long> = counts.mapValues { it.value.sum() }.filterValues { it > 0 }
}
