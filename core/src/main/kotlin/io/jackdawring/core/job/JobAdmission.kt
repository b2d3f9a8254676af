package io.jackdawring.core.job

import io.jackdawring.core.Outcome
import io.jackdawring.core.RefusalReason
import io.jackdawring.core.Submission
import io.jackdawring.core.configuration.ConfigurationRegistry
import io.jackdawring.core.configuration.KindDefinition
import io.jackdawring.core.configuration.ServiceDefinition
import io.jackdawring.core.queue.AdmissionControl
import io.jackdawring.core.queue.AdmissionRequest
import io.jackdawring.core.target.TargetPool
import io.jackdawring.core.target.TaskRequirements

/** Checks a submission against the limits, the configuration, the targets and the current load. */
internal class JobAdmission(
    private val configuration: ConfigurationRegistry,
    private val pool: TargetPool,
    private val control: AdmissionControl,
    private val quotas: TeamQuotas,
    private val isDraining: () -> Boolean,
) {
    /** Service and kind of [submission] in the current configuration, or null. */
    fun kind(submission: Submission): ServiceKind? {
        val service = configuration.current.services[submission.service] ?: return null
        val kind = service.kinds.firstOrNull { it.name == submission.kind } ?: return null
        return ServiceKind(service, kind)
    }

    /** Returns why [submission] must be refused now, or null to admit it. */
    fun check(submission: Submission): Outcome.Refused? {
        val limit = checkLimits(submission)
        if (limit != null) return limit
        if (isDraining()) return Outcome.Refused(RefusalReason.DRAINING, retryAfterMillis = 0)
        if (configuration.current.version == 0L) return Outcome.Refused(RefusalReason.NOT_READY, NOT_READY_RETRY_MILLIS)
        val kind = kind(submission) ?: return unknownService(submission)
        if (quotas.shareOf(kind.service.team) == 0) return Outcome.Refused(RefusalReason.QUOTA_EXCEEDED, 0)
        val refusal = control.check(request(submission, kind)) ?: return null
        return Outcome.Refused(refusal.reason, refusal.retryAfterMillis)
    }

    private fun checkLimits(submission: Submission): Outcome.Refused? {
        val tasks = submission.tasks.size
        val deadline = submission.deadlineMillis
        return when {
            tasks !in 1..Submission.MAX_TASKS -> invalid("tasks: $tasks, allowed 1 to ${Submission.MAX_TASKS}")
            deadline !in 1..Submission.MAX_DEADLINE_MILLIS ->
                invalid("deadlineMillis: $deadline, allowed 1 to ${Submission.MAX_DEADLINE_MILLIS}")
            else -> null
        }
    }

    private fun invalid(detail: String) = Outcome.Refused(RefusalReason.INVALID, null, detail)

    private fun unknownService(submission: Submission) =
        Outcome.Refused(
            RefusalReason.UNKNOWN_SERVICE,
            null,
            "service \"${submission.service}\" with kind \"${submission.kind}\" is not configured",
        )

    private fun request(
        submission: Submission,
        kind: ServiceKind,
    ): AdmissionRequest {
        val requirements = largestRequirements(submission, kind)
        return AdmissionRequest(
            team = kind.service.team,
            priority = kind.kind.priority,
            tasks = submission.tasks.size,
            expectedMillisPerTask = requirements.expectedMillis,
            deadlineMillis = submission.deadlineMillis,
            availability = pool.availability(requirements),
            capacity = pool.capacity(kind.service.service),
        )
    }

    // A job is admitted only if a single target meets the largest memory and accelerator requirements of its tasks.
    private fun largestRequirements(
        submission: Submission,
        kind: ServiceKind,
    ): TaskRequirements =
        TaskRequirements(
            service = kind.service.service,
            memoryMb = submission.tasks.maxOf { it.memoryMb },
            accelerators = submission.tasks.maxOf { it.accelerators },
            expectedMillis =
                submission.tasks.sumOf { it.expectedMillis ?: kind.kind.expectedMillis } / submission.tasks.size,
            priority = kind.kind.priority,
            idempotent = kind.kind.idempotent,
        )

    private companion object {
        const val NOT_READY_RETRY_MILLIS = 1_000L
    }
}

/** A kind of request with the service that defines it. */
internal data class ServiceKind(
    val service: ServiceDefinition,
    val kind: KindDefinition,
)
