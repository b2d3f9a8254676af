package io.jackdawring.testing

import io.jackdawring.core.FailureDomainId
import kotlin.random.Random

/** Delivers messages between failure domains after a delay, unless the domains are partitioned. */
class FakeNetwork(
    private val clock: VirtualClock,
    private val random: Random,
) {
    private val partitions = HashSet<Set<FailureDomainId>>()
    private val platformPartitions = HashSet<FailureDomainId>()

    /** Virtual time since which there is no partition, or null while there is one. */
    var healedSinceMillis: Long? = 0
        private set

    /** Partitions or reconnects two failure domains; a domain always reaches itself. */
    fun setPartitioned(
        one: FailureDomainId,
        other: FailureDomainId,
        partitioned: Boolean,
    ) {
        if (one == other) return
        if (partitioned) partitions.add(setOf(one, other)) else partitions.remove(setOf(one, other))
        updateHealed()
    }

    /** Partitions a failure domain from the platform or reconnects it. */
    fun setPlatformPartitioned(
        domain: FailureDomainId,
        partitioned: Boolean,
    ) {
        if (partitioned) platformPartitions.add(domain) else platformPartitions.remove(domain)
        updateHealed()
    }

    /** Restores all connections. */
    fun healAll() {
        partitions.clear()
        platformPartitions.clear()
        updateHealed()
    }

    private fun updateHealed() {
        val healed = partitions.isEmpty() && platformPartitions.isEmpty()
        healedSinceMillis = if (healed) healedSinceMillis ?: clock.nowMillis else null
    }

    fun reachesPlatform(domain: FailureDomainId): Boolean = domain !in platformPartitions

    fun isConnected(
        from: FailureDomainId,
        to: FailureDomainId,
    ): Boolean = setOf(from, to) !in partitions

    /** Runs [onArrival] after the delay between the domains if they are connected at both times. */
    fun deliver(
        from: FailureDomainId,
        to: FailureDomainId,
        onArrival: () -> Unit,
    ) {
        if (!isConnected(from, to)) return
        val delayMillis = if (from == to) 0L else CROSS_DOMAIN_DELAY_MILLIS
        clock.schedule(delayMillis + random.nextLong(MAX_JITTER_MILLIS)) { if (isConnected(from, to)) onArrival() }
    }

    private companion object {
        const val CROSS_DOMAIN_DELAY_MILLIS = 1L

        // Reorders messages that are sent within a few milliseconds of each other.
        const val MAX_JITTER_MILLIS = 4L
    }
}
