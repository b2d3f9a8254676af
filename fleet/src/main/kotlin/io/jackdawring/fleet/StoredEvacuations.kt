package io.jackdawring.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.core.FailureDomainId
import io.jackdawring.fleet.metrics.FleetMetrics
import io.jackdawring.fleet.store.StoreMirror

private val logger = KotlinLogging.logger("io.jackdawring.fleet")

/**
 * Requests to evacuate failure domains, as mirrored from the store; confined to the control thread.
 *
 * A request is in force while its key exists; the value is not interpreted.
 */
internal class StoredEvacuations(
    private val mirror: StoreMirror,
    private val keyPrefix: String,
    /** Time after which nothing may start in an evacuated failure domain. */
    private val boundMillis: Long,
    private val loop: ControlLoop,
    private val metrics: FleetMetrics,
) : DomainEvacuations {
    /** Ends of the grace by evacuated failure domain. */
    private val graceEnds = HashMap<FailureDomainId, Long>()
    private var isLoaded = false

    /** The evacuated failure domains, sorted by name. */
    val domains: List<FailureDomainId> get() = graceEnds.keys.sortedBy { it.value }

    override fun isEvacuated(domain: FailureDomainId): Boolean? =
        if (domain in graceEnds) true else false.takeIf { isLoaded }

    override fun graceMillis(domain: FailureDomainId): Long =
        maxOf(0, (graceEnds[domain] ?: Long.MIN_VALUE) - loop.nowMillis())

    /** Reads the mirror; returns whether anything has changed. */
    fun update(): Boolean {
        val requested =
            mirror.items
                .map { it.key }
                .filter { it.startsWith(keyPrefix) && it.length > keyPrefix.length }
                .map { FailureDomainId(it.removePrefix(keyPrefix)) }
                .toSet()
        val ended = graceEnds.keys - requested
        val added = requested - graceEnds.keys
        val isFirstLoad = mirror.isLoaded && !isLoaded
        isLoaded = mirror.isLoaded
        ended.forEach(::end)
        added.forEach(::begin)
        metrics.evacuatedDomains(graceEnds.size)
        return isFirstLoad || ended.isNotEmpty() || added.isNotEmpty()
    }

    private fun begin(domain: FailureDomainId) {
        val now = loop.nowMillis()
        // The request was stored after the store was asked for an answer that lacks it.
        val earliestRequestMillis = mirror.confirmedBeforeMillis
        val latestMillis = earliestRequestMillis?.let { it + boundMillis - GRACE_MARGIN_MILLIS } ?: now
        graceEnds[domain] = minOf(now + MAX_GRACE_MILLIS, latestMillis)
        logger.info {
            "failure domain ${domain.value} is evacuated; jobs that have started get ${graceMillis(
                domain,
            )} ms"
        }
    }

    private fun end(domain: FailureDomainId) {
        graceEnds.remove(domain)
        logger.info { "failure domain ${domain.value} is in service again" }
    }

    private companion object {
        /** Long enough for the remaining tasks of most jobs. */
        const val MAX_GRACE_MILLIS = 1_000L

        /** Time for starts that are held up on their way to the target. */
        const val GRACE_MARGIN_MILLIS = 1_000L
    }
}
