package io.jackdawring.fleet

import io.jackdawring.core.FailureDomainId

/** What is known of the operators' requests to evacuate failure domains. */
internal interface DomainEvacuations {
    /** Whether [domain] is evacuated; null if that is not known yet. */
    fun isEvacuated(domain: FailureDomainId): Boolean?

    /** Time for which jobs that have started in [domain] may start further tasks after its evacuation became known. */
    fun graceMillis(domain: FailureDomainId): Long

    /** Deployments without evacuations. */
    object Off : DomainEvacuations {
        override fun isEvacuated(domain: FailureDomainId) = false

        override fun graceMillis(domain: FailureDomainId) = 0L
    }
}
