package io.jackdawring.core.queue

import io.jackdawring.core.EntryOptions
import io.jackdawring.core.RefusalReason
import io.jackdawring.core.target.Availability
import io.jackdawring.core.target.PoolCapacity

/** Decides whether a new job can finish within its deadline, and sheds the lowest classes first under overload. */
internal interface AdmissionControl {
    /** Returns why [request] must be refused now, or null to admit it. */
    fun check(request: AdmissionRequest): AdmissionRefusal?

    /** Creates admission controls. */
    fun interface Factory {
        fun create(
            options: EntryOptions,
            queue: TaskQueue,
        ): AdmissionControl
    }
}

/** The properties of a job on which its admission depends, with the capacity available to it. */
internal data class AdmissionRequest(
    val team: String,
    val priority: Int,
    val tasks: Int,
    val expectedMillisPerTask: Long,
    val deadlineMillis: Long,
    val availability: Availability,
    val capacity: PoolCapacity,
)

/** A refusal; [retryAfterMillis] is null if a retry cannot succeed. */
internal data class AdmissionRefusal(
    val reason: RefusalReason,
    val retryAfterMillis: Long?,
)
