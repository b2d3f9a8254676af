package io.jackdawring.fleet.metrics

import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.JobState
import io.jackdawring.fleet.CallerAnswer
import io.jackdawring.fleet.shard.label
import io.jackdawring.server.http.HttpResponseMessage
import io.jackdawring.server.logging.droppedLogLines
import io.jackdawring.server.metrics.counter
import io.jackdawring.server.metrics.expose
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Metrics of an entry instance; labels never contain job or target ids, which would be unbounded. */
internal class FleetMetrics {
    private val registry = PrometheusRegistry()
    private val answers =
        registry.counter(
            "jackdawring_caller_answers",
            "Requests of callers answered, by outcome.",
            "outcome",
        )
    private val answerSeconds =
        Histogram
            .builder()
            .name("jackdawring_caller_answer_seconds")
            .help("Time from a caller's job to its answer, by queue and outcome.")
            .labelNames("queue", "outcome")
            .classicOnly()
            .classicUpperBounds(*BUCKETS_SECONDS)
            .withoutExemplars()
            .register(registry)
    private val retryAfterSeconds =
        registry.counter("jackdawring_caller_retry_after_seconds", "Seconds that refused callers were told to wait.")
    private val shardAnswers =
        registry.counter("jackdawring_shard_answers", "Jobs answered by held shards, by outcome.", "outcome")
    private val durableJobs =
        registry.counter("jackdawring_kept_jobs", "Changes of kept jobs at held shards, by new state.", "state")
    private val delegatedTasks =
        registry.counter(
            "jackdawring_delegated_tasks",
            "Tasks of durable jobs that held shards have delegated, got back or run for others, by change.",
            "change",
        )
    private val openParts =
        Gauge
            .builder()
            .name("jackdawring_open_parts")
            .help("Parts of jobs of other shards that held shards run.")
            .labelNames("shard")
            .register(registry)
    private val repeatedRuns = registry.counter("jackdawring_repeated_runs", "Runs that were over without a result.")
    private val foundRuns = registry.counter("jackdawring_found_runs", "Runs found on targets without a job.")
    private val foundEnds = registry.counter("jackdawring_found_ends", "Ends of runs on targets without a job.")
    private val unansweredStarts = registry.counter("jackdawring_unanswered_starts", "Starts that were not answered.")
    private val stopRequests = registry.counter("jackdawring_stop_requests", "Runs whose stop was requested.")
    private val targetCrashes =
        registry.counter("jackdawring_target_crashes", "Runs of open jobs during which their target crashed.")
    private val examinations =
        registry.counter(
            "jackdawring_decision_examinations",
            "Waiting tasks, targets and runs that the decisions of held shards have looked at.",
        )
    private val evacuationRefusals =
        registry.counter(
            "jackdawring_evacuation_refusals",
            "Jobs refused because a failure domain is evacuated, by the holder or the relay.",
            "by",
        )
    private val evacuatedDomains =
        Gauge
            .builder()
            .name("jackdawring_evacuated_domains")
            .help("Failure domains that are evacuated.")
            .register(registry)
    private val targetChanges =
        registry.counter("jackdawring_target_changes", "Changes of belief about targets, by new state.", "state")
    private val interferingPairs =
        Gauge
            .builder()
            .name("jackdawring_interfering_pairs")
            .help("Pairs of kinds of task that held shards keep apart, because they slow each other down.")
            .register(registry)
    private val avoidedNeighbours =
        registry.counter(
            "jackdawring_avoided_neighbours",
            "Placements on another target than otherwise, because runs there would interfere.",
        )
    private val shardChanges =
        registry.counter(
            "jackdawring_shard_changes",
            "Shards taken and let go, by change.",
            "change",
        )

    init {
        CounterWithCallback
            .builder()
            .name("jackdawring_dropped_log_lines")
            .help("Log lines dropped because the queue of the log was full.")
            .callback { it.call(droppedLogLines.toDouble()) }
            .register(registry)
    }

    /** Counts [answer] to a caller's job of [queue], [ageMillis] after the job arrived. */
    fun jobAnswered(
        queue: String,
        answer: CallerAnswer,
        ageMillis: Long,
    ) {
        val outcome = answer.label
        answers.labelValues(outcome).inc()
        answerSeconds.labelValues(queue, outcome).observe(ageMillis / MILLIS_PER_SECOND)
        if (answer is CallerAnswer.NotRun) retryAfterSeconds.inc(answer.retryAfterMillis / MILLIS_PER_SECOND)
    }

    fun shardAnswered(outcome: JobOutcome) = shardAnswers.labelValues(outcome.label).inc()

    fun durableJobChanged(state: JobState) = durableJobs.labelValues(state.name.lowercase()).inc()

    fun tasksChangedShard(
        change: String,
        tasks: Int,
    ) = delegatedTasks.labelValues(change).inc(tasks.toLong())

    fun openParts(
        shard: String,
        count: Int,
    ) = openParts.labelValues(shard).set(count.toDouble())

    fun runRepeated() = repeatedRuns.inc()

    fun runFound() = foundRuns.inc()

    fun endFound() = foundEnds.inc()

    fun startUnanswered() = unansweredStarts.inc()

    fun stopRequested() = stopRequests.inc()

    fun targetCrashed() = targetCrashes.inc()

    fun decisionsExamined(count: Long) = examinations.inc(count)

    fun targetChanged(state: String) = targetChanges.labelValues(state).inc()

    /** Counts a job that was refused because of an evacuation, [by] the holder or the relay. */
    fun evacuationRefused(by: String) = evacuationRefusals.labelValues(by).inc()

    fun evacuatedDomains(count: Int) = evacuatedDomains.set(count.toDouble())

    fun interferingPairsChanged(change: Int) = interferingPairs.inc(change.toDouble())

    fun neighbourAvoided() = avoidedNeighbours.inc()

    fun shardAcquired() = shardChanges.labelValues("taken").inc()

    fun shardReleased() = shardChanges.labelValues("let-go").inc()

    /** Response with all metrics in the Prometheus text format. */
    fun expose(): HttpResponseMessage = registry.expose()

    private val CallerAnswer.label: String
        get() =
            when (this) {
                is CallerAnswer.Ended -> if (completed) "completed" else "failed"
                is CallerAnswer.NotRun -> "not-run"
                is CallerAnswer.GivenUp -> "given-up"
                else -> "other"
            }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Finest around the latency objectives of sub-second tasks. */
        val BUCKETS_SECONDS = doubleArrayOf(0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0)
    }
}
