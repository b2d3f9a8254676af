package io.jackdawring.fleet.model

import io.jackdawring.core.shard.JobSpec
import io.jackdawring.core.shard.JobState
import io.jackdawring.fleet.CallerAnswer
import io.jackdawring.fleet.durable.DurableJobRecord
import io.jackdawring.fleet.store.StoreChange
import io.jackdawring.fleet.store.StoreItem
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against accepted jobs that never run, or cannot be cancelled, because the answer of one write was lost or late,
 * and against refused jobs that run.
 */
class LostCommitAnswerTest {
    /** A write in the life of a durable job. */
    private enum class Write {
        ACCEPTANCE,
        PROGRESS,
        MOVE,
        DELEGATION,
        CANCELLATION,
        END,
        ;

        companion object {
            /** Which write [change] is for the job [JOB]; null for all others. */
            fun of(change: StoreChange): Write? {
                val written = change.writes.filter { it.key.endsWith("/$JOB") }
                val records = written.filter { "/records/" in it.key && "/part/" !in it.key }
                val states =
                    records.mapNotNull { DurableJobRecord.decode(StoreItem(it.key, it.value, 0))?.progress?.state }
                return when {
                    written.isEmpty() -> null
                    written.any { "/part/" in it.key } -> DELEGATION
                    written.any { "/places/" in it.key } ->
                        if (change.removals.any { it.endsWith("/$JOB") }) MOVE else ACCEPTANCE
                    JobState.CANCELLED in states -> CANCELLATION
                    states.any { it.isEnded } -> END
                    else -> PROGRESS
                }
            }
        }
    }

    private class Row(
        val write: Write,
        val fate: CommitFate,
        /** Whether other jobs of the shard are written all the time. */
        val isBusy: Boolean,
        /** Whether the holder that sent the write is killed, so that another one continues. */
        val isHolderReplaced: Boolean,
    ) {
        val name =
            "$write, $fate, ${if (isBusy) "busy" else "quiet"} shard" +
                if (isHolderReplaced) ", holder replaced" else ""
    }

    private class Play(
        private val row: Row,
        private val isCancelled: Boolean = false,
    ) {
        private val fleet = FakeFleet(domains = 2, instancesPerDomain = 2, targetsPerDomain = 3)
        private val answers = ArrayList<CallerAnswer>()
        private val isLongRunning = row.write == Write.DELEGATION
        private val durationMillis =
            when (row.write) {
                Write.ACCEPTANCE, Write.PROGRESS, Write.END -> if (isCancelled) 600_000L else 1_000L
                Write.MOVE, Write.CANCELLATION, Write.DELEGATION -> 600_000L
            }
        private val job: JobSpec =
            when (row.write) {
                Write.DELEGATION ->
                    FakeFleet.job(JOB, tasks = 3, durationMillis, cpuMillis = 16_000, isLongRunning = true)
                else ->
                    FakeFleet.job(JOB, tasks = 2, durationMillis, steps = if (row.write == Write.PROGRESS) 2 else 1)
            }
        private var isStruck = false
        private var others = 0

        fun run() {
            fleet.store.fateOf = ::fateOf
            if (row.isBusy) submitOthers()
            submit()
            fleet.run(1_500)
            when (row.write) {
                Write.MOVE -> fleet.targetsOf("a").forEach(fleet::crashForGood)
                Write.DELEGATION -> fleet.crashForGood("a-t1")
                Write.CANCELLATION -> return assertCancelled()
                else -> Unit
            }
            fleet.run(SETTLE_MILLIS)
            assertTrue(isStruck, "the write was not seen")
            if (isCancelled || isLongRunning) return assertCancelled()
            assertRuns()
        }

        private fun fateOf(change: StoreChange): CommitFate {
            if (isStruck || Write.of(change) != row.write) return CommitFate.ANSWERED
            isStruck = true
            fleet.trace.add("${row.fate}: ${change.writes.map { it.key }}", job.id)
            if (row.isHolderReplaced) {
                fleet.clock.schedule(KILL_AFTER_MILLIS) {
                    fleet.holder("a")?.let { fleet.kill(it.id, 2_000) }
                }
            }
            return row.fate
        }

        /** Sends the job, and again as long as the answer does not say whether it is accepted. */
        private fun submit() {
            val instance = fleet.instances.first { it.domain == "a" && it.isListening }
            var isAnswered = false
            val onAnswer = { answer: CallerAnswer ->
                if (!isAnswered) {
                    isAnswered = true
                    answers.add(answer)
                    if (answer is CallerAnswer.GivenUp) fleet.clock.schedule(FakeJobCaller.RESEND_MILLIS, ::submit)
                }
            }
            fleet.submitDurable(job, instance.id, durationMillis, onAnswer)
            fleet.clock.schedule(FakeJobCaller.WAIT_MILLIS + 500) { onAnswer(CallerAnswer.GivenUp("no answer")) }
        }

        private fun submitOthers() {
            val instance = fleet.instances.first { it.domain == "a" && it.isListening }
            fleet.submitDurable(
                FakeFleet.job("other${others++}", 1, OTHER_MILLIS, cpuMillis = 100),
                instance.id,
                OTHER_MILLIS,
            )
            if (others < OTHERS) fleet.clock.schedule(OTHERS_INTERVAL_MILLIS, ::submitOthers)
        }

        private fun assertRuns() {
            val description = { "answers $answers\n${fleet.trace.describe(job.id)}" }
            if (answers.all { it is CallerAnswer.NotRun }) {
                assertEquals(0, fleet.runs.countOf(job.id), description())
                return
            }
            assertTrue(job.id in fleet.accepted, description())
            if (row.write == Write.MOVE) {
                assertEquals(2, fleet.runs.runningTasksOf(job.id).size, description())
            } else {
                assertEquals(JobState.COMPLETED, fleet.storedJobs().getValue(job.id).second, description())
                assertEquals(2 * job.steps.size, fleet.runs.countOf(job.id), description())
            }
        }

        private fun assertCancelled() {
            var state: JobState? = null
            repeat((CANCEL_MILLIS / RETRY_MILLIS).toInt()) {
                if (state != null) return@repeat
                val asked = fleet.instances.last { it.domain == "b" && it.isListening }
                fleet.queryState(job, asked.id, cancel = true) { answer ->
                    state = state ?: (answer as? CallerAnswer.State)?.state?.takeIf { it.isEnded }
                }
                fleet.run(RETRY_MILLIS)
            }
            fleet.run(AFTER_CANCELLATION_MILLIS)
            assertEquals(JobState.CANCELLED, state, fleet.trace.describe(job.id))
            assertEquals(emptySet(), fleet.runs.runningTasksOf(job.id), fleet.trace.describe(job.id))
        }
    }

    private val rows =
        Write.entries.flatMap { write ->
            (CommitFate.entries - CommitFate.ANSWERED).flatMap { fate ->
                listOf(false, true).flatMap { isBusy ->
                    listOf(false, true).map { isHolderReplaced -> Row(write, fate, isBusy, isHolderReplaced) }
                }
            }
        }

    @TestFactory
    fun `a durable job after a write whose answer is lost or late`() =
        rows.map { row -> DynamicTest.dynamicTest(row.name) { Play(row).run() } }

    @TestFactory
    fun `the cancellation of a job whose acceptance was not answered`() =
        rows
            .filter { it.write == Write.ACCEPTANCE }
            .map { row -> DynamicTest.dynamicTest(row.name) { Play(row, isCancelled = true).run() } }

    private companion object {
        const val JOB = "k"
        const val SETTLE_MILLIS = 12_000L

        /** Longer than a holder waits for the answer of a write. */
        const val KILL_AFTER_MILLIS = 1_200L
        const val OTHERS = 100
        const val OTHER_MILLIS = 200L
        const val OTHERS_INTERVAL_MILLIS = 100L
        const val RETRY_MILLIS = 1_300L

        /** Time in which a cancellation has to be confirmed while its write is not answered. */
        const val CANCEL_MILLIS = 5_200L
        const val AFTER_CANCELLATION_MILLIS = 3_000L
    }
}
