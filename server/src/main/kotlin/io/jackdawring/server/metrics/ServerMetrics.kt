package io.jackdawring.server.metrics

import io.jackdawring.core.FailureReason
import io.jackdawring.core.Outcome
import io.jackdawring.core.StateChange
import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.StoreCall
import io.jackdawring.core.TargetAnswer
import io.jackdawring.server.burn.BurnSource
import io.jackdawring.server.burn.ObjectiveCounters
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Metrics of one process; labels never hold caller, session or submission ids. */
internal class ServerMetrics(
    private val catalog: ServiceCatalog = ServiceCatalog(),
) : BurnSource {
    private val registry = PrometheusRegistry()

    private val jobs =
        registry.counter("jackdawring_jobs", "Jobs answered, by outcome and reason.", "outcome", "reason")
    private val jobSeconds =
        Histogram
            .builder()
            .name("jackdawring_job_duration_seconds")
            .help("Time from the whole request to its answer, by service, kind and outcome.")
            .labelNames("service", "kind", "outcome")
            .classicOnly()
            .classicUpperBounds(*BUCKETS_SECONDS)
            .withoutExemplars()
            .register(registry)
    private val objectiveTotal =
        registry.counter(
            "jackdawring_objective_requests",
            "Jobs of kinds with an objective, without those that are wrong or cancelled by their caller.",
            "service",
            "kind",
            "priority",
        )
    private val objectiveGood =
        registry.counter(
            "jackdawring_objective_good_requests",
            "Jobs that were answered in full within the latency of their objective.",
            "service",
            "kind",
            "priority",
        )

    /** Requests by kind, counted apart from the metrics because their labels change with the priority of a kind. */
    private val objectiveCounts = ConcurrentHashMap<ServiceKind, ObjectiveCount>()
    private val tasks = registry.counter("jackdawring_task_answers", "Task starts that ended, by result.", "result")
    private val peerMessages =
        registry.counter(
            "jackdawring_peer_messages_sent",
            "Messages to peers, by result.",
            "result",
        )
    private val storeCalls =
        registry.counter(
            "jackdawring_store_calls",
            "Store calls, by call and answer.",
            "call",
            "answer",
        )
    private val sessions =
        registry.counter(
            "jackdawring_session_requests",
            "Requests for a session, by result.",
            "result",
        )
    private val invalid = registry.counter("jackdawring_invalid_requests", "Requests outside the documented limits.")
    private val refusedByQueue =
        registry.counter("jackdawring_queue_refusals", "Caller requests refused because the control queue was full.")
    private val changes = registry.counter("jackdawring_state_changes", "Changes of state, by kind.", "change")
    private val gauges = ConcurrentHashMap<String, Gauge>()

    /** Kinds known to exist; arbitrary names from callers must not become label values. */
    private val knownKinds = ConcurrentHashMap.newKeySet<ServiceKind>()

    fun jobAnswered(
        key: ServiceKind,
        outcome: Outcome,
        nanos: Long,
    ) {
        val name = outcomeName(outcome)
        jobs.labelValues(name, reasonName(outcome)).inc()
        countObjective(key, outcome, nanos)
        // Only a job that was admitted proves that its kind exists.
        if (outcome is Outcome.Complete || outcome is Outcome.Failed) {
            if (knownKinds.size < MAX_KINDS) knownKinds.add(key)
        }
        val known = key in knownKinds || catalog.find(key) != null
        jobSeconds
            .labelValues(if (known) key.service else OTHER, if (known) key.kind else OTHER, name)
            .observe(nanos / NANOS_PER_SECOND)
    }

    private fun countObjective(
        key: ServiceKind,
        outcome: Outcome,
        nanos: Long,
    ) {
        val kind = catalog.find(key) ?: return
        val objective = kind.objective ?: return
        if (!countsForObjective(outcome)) return
        val isGood = outcome is Outcome.Complete && nanos <= TimeUnit.MILLISECONDS.toNanos(objective.latencyMillis)
        objectiveTotal.labelValues(key.service, key.kind, "${kind.priority}").inc()
        if (isGood) objectiveGood.labelValues(key.service, key.kind, "${kind.priority}").inc()
        objectiveCounts.computeIfAbsent(key) { ObjectiveCount() }.add(isGood)
    }

    /** Counters of all kinds that have an objective now. A kind that is removed and returns continues its counters. */
    override fun counters(): List<ObjectiveCounters> =
        catalog.all().mapNotNull { (key, kind) ->
            kind.objective?.let { objective ->
                val (good, total) = objectiveCounts[key]?.read() ?: (0L to 0L)
                ObjectiveCounters(key.service, key.kind, kind.priority, objective, good, total)
            }
        }

    fun taskAnswered(answer: TargetAnswer) =
        tasks
            .labelValues(
                when (answer) {
                    is TargetAnswer.Succeeded -> "succeeded"
                    is TargetAnswer.TaskFailed -> "failed"
                    is TargetAnswer.NotStarted -> "not_started_${answer.reason.name.lowercase()}"
                    is TargetAnswer.Lost -> "lost"
                },
            ).inc()

    fun peerMessageSent(acknowledged: Boolean) =
        peerMessages.labelValues(if (acknowledged) "acknowledged" else "failed").inc()

    fun storeAnswered(
        call: StoreCall,
        answer: StoreAnswer,
    ) {
        val callName =
            when (call) {
                is StoreCall.Get -> "get"
                is StoreCall.Watch -> "watch"
                is StoreCall.CompareAndSwap -> "compare_and_swap"
            }
        val answerName =
            when (answer) {
                is StoreAnswer.Found -> "found"
                is StoreAnswer.Written -> "written"
                is StoreAnswer.Conflict -> "conflict"
                is StoreAnswer.Unavailable -> "unavailable"
            }
        storeCalls.labelValues(callName, answerName).inc()
    }

    fun sessionAnswered(granted: Boolean) = sessions.labelValues(if (granted) "granted" else "refused").inc()

    fun invalidRequest() = invalid.inc()

    fun requestRefusedByQueue() = refusedByQueue.inc()

    fun stateChanged(change: StateChange) = changes.labelValues(change.javaClass.simpleName).inc()

    /** Sets gauge [name], which is created on first use. */
    fun gauge(
        name: String,
        help: String,
        value: Double,
    ) {
        gauges
            .computeIfAbsent(name) {
                Gauge
                    .builder()
                    .name(name)
                    .help(help)
                    .register(registry)
            }.set(value)
    }

    /** All metrics in the Prometheus text format. */
    fun exposition(): ByteArray {
        val output = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(output, registry.scrape())
        return output.toByteArray()
    }

    companion object {
        /** Value of the `Content-Type` header for [exposition]. */
        val contentType: String = PrometheusTextFormatWriter.CONTENT_TYPE
        private const val OTHER = "other"

        /** Bounds the label values; the largest expected configuration has 160 teams with a few kinds each. */
        private const val MAX_KINDS = 2_000
        private const val NANOS_PER_SECOND = 1e9
        private val BUCKETS_SECONDS =
            doubleArrayOf(0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 30.0, 60.0)
    }
}

/** Requests of one kind; both counts are read atomically, because good above total would give a negative rate. */
private class ObjectiveCount {
    private var good = 0L
    private var total = 0L

    @Synchronized
    fun add(isGood: Boolean) {
        if (isGood) good++
        total++
    }

    @Synchronized
    fun read(): Pair<Long, Long> = good to total
}

/** Excludes outcomes that the caller caused and the service cannot improve. */
private fun countsForObjective(outcome: Outcome): Boolean =
    when (outcome) {
        is Outcome.Complete, is Outcome.Unknown -> true
        is Outcome.Failed -> outcome.reason != FailureReason.CANCELLED
        is Outcome.Refused -> outcome.reason.temporary
    }

private fun outcomeName(outcome: Outcome): String =
    when (outcome) {
        is Outcome.Complete -> "complete"
        is Outcome.Failed -> "failed"
        is Outcome.Refused -> "refused"
        is Outcome.Unknown -> "unknown"
    }

private fun reasonName(outcome: Outcome): String =
    when (outcome) {
        is Outcome.Complete -> ""
        is Outcome.Failed -> outcome.reason.name.lowercase()
        is Outcome.Refused -> outcome.reason.name.lowercase()
        is Outcome.Unknown -> outcome.reason.name.lowercase()
    }
