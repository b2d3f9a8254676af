package io.jackdawring.cli.process

import io.jackdawring.standins.platform.StandInSite
import org.junit.jupiter.api.Test

/**
 * Looks for tasks with two runs at the same time after a failure domain was cut off from everything outside it.
 *
 * Guards against a successor in the other domain that takes the time since its claim for proof that the runs of the
 * holder behind the cut are over. That holder is alive and goes on for its own callers on its own targets.
 *
 * Started by hand, as its name keeps it out of the build's tests:
 * `mvn -o -q -B test -pl cli -am -Dtest=PartitionProbe -Dsurefire.failIfNoSpecifiedTests=false`
 *
 * Properties start with `jackdawring.probe.`: `lengths` (of the cuts in seconds, 6 at least, separated by commas),
 * and `seeds`, `firstSeed`, `parallel`, `restoreMillis` and `dir` as for [StoreOutageProbe].
 */
class PartitionProbe {
    @Test
    fun `no task has two runs at the same time`() = playSeeds(::PartitionRun)
}

/** Cuts, each around one domain; the callers of a domain are on its side. */
private class PartitionRun(
    seed: Int,
) : ProbeRun(seed, TARGETS, CALLERS, LENGTHS) {
    private val border = DomainBorder(DOMAINS)
    override val instances =
        DOMAINS.flatMap { domain ->
            targets.getValue(domain).forEach { border.addServer(domain, it.address) }
            List(INSTANCES) {
                val addresses = StandInSite.Addresses(freeAddress(), freeAddress(), freeAddress(), freeAddress())
                border.addServer(domain, addresses.peers)
                start("front-$domain-$it", domain, border.addStore(domain, site.store.address), addresses)
            }
        }

    @Volatile
    private var isCut = false

    override fun outage(length: String): Outage {
        val domain = DOMAINS.random(random)
        val startMillis = clockMillis()
        val lengthMillis = (length.toDouble() * 1_000).toLong()
        require(lengthMillis >= ENTRY_LIFE_MILLIS + ENTRY_SPREAD_MILLIS) { "the entries of targets outlast $length s" }
        val beginning = mutableListOf<Pair<Long, () -> Unit>>(0L to { isCut = true })
        val ending = mutableListOf(random.nextLong(LINK_SPREAD_MILLIS) to { isCut = false })
        for (gate in border.gatesAround(domain)) {
            beginning += random.nextLong(CUT_SPREAD_MILLIS) to gate::cut
            ending += random.nextLong(LINK_SPREAD_MILLIS) to gate::restore
        }
        loseEntries(domain, beginning, ending)
        take(beginning, startMillis)
        take(ending, startMillis + lengthMillis)
        Thread.sleep(SETTLE_MILLIS)
        return Outage(domain, "cut", lengthMillis, startMillis)
    }

    /** A job goes to the caller's own domain first. */
    override fun reaches(
        number: Int,
        attempt: Int,
        instance: Instance,
    ) = instance.domain == DOMAINS[number % DOMAINS.size] || (attempt > 0 && !isCut)

    override fun close() {
        super.close()
        border.close()
    }

    private companion object {
        /** Around the lease of the member entries, the claim after it, and the wait for earlier runs after that. */
        const val LENGTHS = "9.5,13.5,16,28.5,31"
        const val INSTANCES = 3
        const val TARGETS = 5
        const val CALLERS = 24
        const val LINK_SPREAD_MILLIS = 400L
    }
}
