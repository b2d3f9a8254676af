package io.jackdawring.testing

import io.jackdawring.core.FailureDomainId
import kotlin.random.Random

/** Delivers messages between failure domains after a delay, unless the domains are cut off from each other. */
class FakeNetwork(
    private val clock: VirtualClock,
    private val random: Random,
) {
    private val cuts = HashSet<Set<FailureDomainId>>()
    private val platformCuts = HashSet<FailureDomainId>()

    /** Virtual time since which nothing is cut, or null while something is. */
    var wholeSinceMillis: Long? = 0
        private set

    /** Cuts or restores the connection between two failure domains; a domain is never cut off from itself. */
    fun setCut(
        one: FailureDomainId,
        other: FailureDomainId,
        cut: Boolean,
    ) {
        if (one == other) return
        if (cut) cuts.add(setOf(one, other)) else cuts.remove(setOf(one, other))
        updateWhole()
    }

    /** Cuts or restores the connection between a failure domain and the platform. */
    fun setPlatformCut(
        domain: FailureDomainId,
        cut: Boolean,
    ) {
        if (cut) platformCuts.add(domain) else platformCuts.remove(domain)
        updateWhole()
    }

    /** Restores all connections. */
    fun healAll() {
        cuts.clear()
        platformCuts.clear()
        updateWhole()
    }

    private fun updateWhole() {
        val whole = cuts.isEmpty() && platformCuts.isEmpty()
        wholeSinceMillis = if (whole) wholeSinceMillis ?: clock.nowMillis else null
    }

    fun reachesPlatform(domain: FailureDomainId): Boolean = domain !in platformCuts

    fun isConnected(
        from: FailureDomainId,
        to: FailureDomainId,
    ): Boolean = setOf(from, to) !in cuts

    /** Runs [onArrival] after the delay between the domains if they are connected both now and then. */
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
