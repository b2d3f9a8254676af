package io.jackdawring.fleet.shard

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.shard.JobOutcome
import io.jackdawring.core.shard.ShardDecision

private val logger = KotlinLogging.logger("io.jackdawring.decision")

/** Writes one line for each decision of a shard. */
internal class DecisionLog(
    private val shardName: String,
) {
    fun report(decision: ShardDecision) {
        when (decision) {
            is ShardDecision.JobAdmitted -> {
                logger.info {
                    "$shardName job ${decision.jobId.value} queue ${decision.queue} admitted, forecast " +
                        "${decision.forecastMillis} ms, objective ${decision.objectiveMillis} ms, ${decision.queuedTasks} tasks wait"
                }
            }

            is ShardDecision.JobAnswered -> {
                logger.info {
                    "$shardName job ${decision.jobId.value} queue ${decision.queue} ${describe(decision.outcome)} " +
                        "after ${decision.ageMillis} ms, objective ${decision.objectiveMillis} ms"
                }
            }

            is ShardDecision.RunRepeated -> {
                logger.info {
                    "$shardName task ${decision.task.jobId.value}.${decision.task.step}.${decision.task.index} attempt " +
                        "${decision.attempt} on ${decision.targetId.value} is over: ${decision.reason}"
                }
            }

            is ShardDecision.TargetChanged -> {
                logger.info { "$shardName target ${decision.targetId.value} ${decision.state}: ${decision.reason}" }
            }
        }
    }

    private fun describe(outcome: JobOutcome): String =
        when (outcome) {
            is JobOutcome.Completed -> "completed"
            is JobOutcome.Failed -> "failed (${outcome.reason})"
            is JobOutcome.NotRun -> "refused (${outcome.reason}), retry after ${outcome.retryAfterMillis} ms"
            is JobOutcome.GivenUp -> "given up (${outcome.reason})"
            is JobOutcome.Moved -> "moved"
        }
}
