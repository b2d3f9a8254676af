package io.jackdawring.fleet.shard

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.TargetId
import io.jackdawring.core.shard.HandOver
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.ShardDecision
import io.jackdawring.core.shard.ShardDecision.TasksChangedShard.Change
import io.jackdawring.core.shard.TaskKey
import io.jackdawring.core.shard.WaiterId
import io.jackdawring.fleet.metrics.FleetMetrics
import java.util.Locale

private val logger = KotlinLogging.logger("io.jackdawring.decision")

/** Bounds the length of a log line. */
private const val MAX_LOGGED_TASKS = 20

/** Counts and logs the decisions of a shard, one line each. */
internal class DecisionLog(
    private val shardName: String,
    private val metrics: FleetMetrics,
) {
    /** Counts the tasks, targets and runs that decisions have examined. */
    fun examined(count: Long) = metrics.decisionsExamined(count)

    /** Logs and counts [decision]; [relayOf] names the entry instance that a request came through. */
    fun report(
        decision: ShardDecision,
        relayOf: (WaiterId) -> String? = { null },
    ) {
        when (decision) {
            is ShardDecision.JobAdmitted -> onAdmitted(decision, relayOf(decision.waiter))
            is ShardDecision.JobAnswered -> onAnswered(decision)
            is ShardDecision.DurableJobChanged -> onDurableJobChanged(decision)
            is ShardDecision.TasksChangedShard -> onTasksChangedShard(decision)
            is ShardDecision.RunLost -> onLost(decision)
            is ShardDecision.RunFound -> onFound(decision)
            is ShardDecision.EndFound -> onEndFound(decision)
            is ShardDecision.JobDelayed -> onDelayed(decision)
            is ShardDecision.JobResumed -> onResumed(decision)
            is ShardDecision.StartUnanswered -> onStartUnanswered(decision)
            is ShardDecision.RunStopRequested -> onStopRequested(decision)
            is ShardDecision.TargetCrashed -> onTargetCrashed(decision)
            is ShardDecision.EvacuationChanged -> onEvacuationChanged(decision)
            is ShardDecision.TargetChanged -> onTargetChanged(decision)
            is ShardDecision.KindsSeparated -> onKindsSeparated(decision)
            is ShardDecision.NeighbourAvoided -> metrics.neighbourAvoided()
        }
    }

    private fun onAdmitted(
        decision: ShardDecision.JobAdmitted,
        relay: String?,
    ) = log(
        "job admitted",
        "job" to decision.jobId.value,
        "relay" to relay.orEmpty(),
        "queue" to decision.queue,
        "forecastMillis" to decision.forecastMillis,
        "objectiveMillis" to decision.objectiveMillis,
        "waitingTasks" to decision.queuedTasks,
    )

    private fun onAnswered(decision: ShardDecision.JobAnswered) {
        val outcome = decision.outcome
        metrics.shardAnswered(outcome)
        if (outcome is JobOutcome.NotRun && outcome.isEvacuated) metrics.evacuationRefused(by = "holder")
        log(
            "job answered",
            "job" to decision.jobId.value,
            "queue" to decision.queue,
            "outcome" to outcome.label,
            "reason" to outcome.reasonText,
            "ageMillis" to decision.ageMillis,
            "objectiveMillis" to decision.objectiveMillis,
        )
    }

    private fun onDurableJobChanged(decision: ShardDecision.DurableJobChanged) {
        metrics.durableJobChanged(decision.state)
        log(
            "durable job ${decision.state.name.lowercase()}",
            "job" to decision.jobId.value,
            "queue" to decision.queue,
            "reason" to decision.reason,
        )
    }

    private fun onTasksChangedShard(decision: ShardDecision.TasksChangedShard) {
        val change = decision.change.name.lowercase()
        metrics.tasksChangedShard(change, decision.tasks.size)
        val tasks = decision.tasks.take(MAX_LOGGED_TASKS).joinToString(" ")
        log(
            if (decision.change == Change.CANCELLED) "part of a job cancelled" else "tasks of a job $change",
            "job" to decision.jobId.value,
            "count" to decision.tasks.size,
            "tasks" to tasks,
            "otherShard" to decision.otherShard.orEmpty(),
        )
    }

    /** Records that the shard runs [count] parts of jobs of other shards. */
    fun openParts(count: Int) = metrics.openParts(shardName, count)

    private fun onLost(decision: ShardDecision.RunLost) {
        metrics.runRepeated()
        logRun("run ended without a result", decision.task, decision.attempt, decision.targetId, decision.reason)
    }

    private fun onFound(decision: ShardDecision.RunFound) {
        metrics.runFound()
        logRun("run without a job found", decision.task, decision.attempt, decision.targetId, "listed by the target")
    }

    private fun onEndFound(decision: ShardDecision.EndFound) {
        metrics.endFound()
        val reason = "ended as ${decision.ending.name.lowercase()}"
        logRun("end without a job found", decision.task, decision.attempt, decision.targetId, reason)
    }

    private fun onDelayed(decision: ShardDecision.JobDelayed) =
        log(
            "job waits for earlier runs",
            "job" to decision.jobId.value,
            "knownTargets" to decision.knownTargets,
        )

    private fun onResumed(decision: ShardDecision.JobResumed) =
        log(
            "job resumed",
            "job" to decision.jobId.value,
            "earlierRuns" to decision.previousRuns.name.lowercase(),
            "knownTargets" to decision.knownTargets,
            "adoptedRuns" to decision.adoptedRuns,
            "heldMillis" to decision.heldMillis,
        )

    fun holderStopped(
        holderToken: Long,
        handOver: HandOver,
        agoMillis: Long,
    ) = log(
        "earlier holder has stopped",
        "holderToken" to holderToken,
        "agoMillis" to agoMillis,
        "knownTargets" to handOver.targets.size,
        "allRunsThere" to handOver.areAllRunsThere,
        "cutOffToken" to (handOver.cutOffToken ?: "none"),
    )

    /** Records that holders up to [holderToken], which may be cut off, have lost their ownership. */
    fun ownershipsEnded(
        holderToken: Long,
        heldMillis: Long,
    ) = log("earlier holders have lost their ownership", "holderToken" to holderToken, "heldMillis" to heldMillis)

    private fun onStartUnanswered(decision: ShardDecision.StartUnanswered) {
        metrics.startUnanswered()
        logRun("start not answered", decision.task, decision.attempt, decision.targetId, decision.reason)
    }

    private fun onStopRequested(decision: ShardDecision.RunStopRequested) {
        metrics.stopRequested()
        logRun(
            "stopping run",
            decision.task,
            decision.attempt,
            decision.targetId,
            decision.reason,
            "startedBy" to if (decision.isAdopted) "an earlier holder" else "this holder",
            "unclaimedMillis" to (decision.unclaimedMillis ?: "claimed"),
            "servedAgoMillis" to (decision.servedAgoMillis ?: "unknown"),
        )
    }

    private fun logRun(
        text: String,
        task: TaskKey,
        attempt: Int,
        targetId: TargetId,
        reason: String,
        vararg fields: Pair<String, Any>,
    ) = log(
        text,
        "job" to task.jobId.value,
        "task" to "${task.step}.${task.index}",
        "attempt" to attempt,
        "target" to targetId.value,
        "reason" to reason,
        *fields,
    )

    private fun onTargetCrashed(decision: ShardDecision.TargetCrashed) {
        metrics.targetCrashed()
        log(
            "target crashed during a run",
            "job" to decision.task.jobId.value,
            "task" to "${decision.task.step}.${decision.task.index}",
            "attempt" to decision.attempt,
            "target" to decision.targetId.value,
            "crashes" to decision.crashes,
        )
    }

    private fun onEvacuationChanged(decision: ShardDecision.EvacuationChanged) =
        log(
            if (decision.isEvacuated) "evacuation has begun" else "evacuation has ended",
            "refusedJobs" to decision.refusedJobs,
            "waitingJobs" to decision.waitingJobs,
        )

    private fun onTargetChanged(decision: ShardDecision.TargetChanged) {
        metrics.targetChanged(decision.state)
        log("target ${decision.state}", "target" to decision.targetId.value, "reason" to decision.reason)
    }

    private fun onKindsSeparated(decision: ShardDecision.KindsSeparated) {
        metrics.interferingPairsChanged(if (decision.areApart) 1 else -1)
        log(
            if (decision.areApart) "kinds of task are kept apart" else "kinds of task are no longer kept apart",
            "kind" to decision.kind,
            "neighbour" to decision.neighbour,
            "factor" to String.format(Locale.ROOT, "%.2f", decision.factor),
            "pairs" to decision.pairs,
        )
    }

    private fun log(
        text: String,
        vararg fields: Pair<String, Any>,
    ) = logger.atInfo {
        message = text
        payload = mapOf("shard" to shardName, *fields)
    }
}

/** Value of the outcome in log fields and metric labels. */
internal val JobOutcome.label: String
    get() =
        when (this) {
            is JobOutcome.Completed -> "completed"
            is JobOutcome.Failed -> "failed"
            is JobOutcome.NotRun -> "not-run"
            is JobOutcome.GivenUp -> "given-up"
            is JobOutcome.Moved -> "moved"
        }

private val JobOutcome.reasonText: String
    get() =
        when (this) {
            is JobOutcome.Completed, is JobOutcome.Moved -> ""
            is JobOutcome.Failed -> reason
            is JobOutcome.NotRun -> reason
            is JobOutcome.GivenUp -> reason
        }
