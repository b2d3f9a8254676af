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
 * Properties start with `jackdawring.probe.`:
 * - `lengths`: outages, separated by commas. An outage is a step or several joined by `+`, of which each begins soon
 *   after the end of the one before. A step is the length of a cut in seconds (`31`; entries of targets outlast
 *   those below 6 s), that of a pause of an instance of the domain (`p0.5`), or the time after which such an instance is
 *   started again after it was killed (`k0`).
 * - `instances` (`3,3`): numbers of instances of the two domains. The outages are around the domain with fewer of them.
 * - `late` (false): what is sent into a cut arrives after it, if the sender has gone then followed by that news; callers
 *   send to any instance, across the border too.
 * - `linkSpreadMillis` (400): time within which the paths are back after a cut.
 * - `betweenMillis` (1000): longest time between two steps.
 * - `elsewhere` (false): callers send a job again to another instance than before, if they reach one.
 * - `callers` (24), `waitMillis` (5000; of the callers), `longestRunMillis` (900; of every third task),
 *   `seeds`, `firstSeed`, `parallel`, `restoreMillis` and `dir` as for [StoreOutageProbe].
 */
class PartitionProbe {
    @Test
    fun `no task has two runs at the same time`() = playSeeds(::PartitionRun)
}

/** Cuts, pauses and restarts, each of one domain; the callers of a domain are on its side. */
private class PartitionRun(
    seed: Int,
) : ProbeRun(seed, TARGETS, probeNumber("callers", CALLERS), LENGTHS) {
    private val linkSpreadMillis = probeNumber("linkSpreadMillis", LINK_SPREAD_MILLIS).toLong()
    private val betweenMillis = probeNumber("betweenMillis", MAX_BETWEEN_MILLIS).toLong()
    private val isLate = probeSetting("late", "false").toBoolean()
    private val border = DomainBorder(DOMAINS, isLate)
    private val instanceCounts =
        DOMAINS.zip(probeSetting("instances", "$INSTANCES,$INSTANCES").split(',').map(String::toInt)).toMap()
    override val instances =
        DOMAINS.flatMap { domain ->
            targets.getValue(domain).forEach { border.addServer(domain, it.address) }
            List(instanceCounts.getValue(domain)) {
                val addresses = StandInSite.Addresses(freeAddress(), freeAddress(), freeAddress(), freeAddress())
                border.addServer(domain, addresses.peers)
                if (isLate) border.addServer(domain, addresses.callers)
                start("front-$domain-$it", domain, border.addStore(domain, site.store.address), addresses)
            }
        }

    @Volatile
    private var isCut = false

    override fun outage(length: String): Outage {
        val fewest = instanceCounts.values.min()
        val domain = DOMAINS.filter { instanceCounts[it] == fewest }.random(random)
        val startMillis = clockMillis()
        for ((i, step) in length.split('+').withIndex()) {
            if (i > 0) Thread.sleep(random.nextLong(betweenMillis))
            val millis = (step.trimStart('p', 'k').toDouble() * 1_000).toLong()
            when (step.first()) {
                'p' -> pause(domain, millis)
                'k' -> restart(domain, millis)
                else -> cut(domain, millis)
            }
        }
        val lengthMillis = clockMillis() - startMillis
        Thread.sleep(SETTLE_MILLIS)
        return Outage(domain, length, lengthMillis, startMillis)
    }

    private fun cut(
        domain: String,
        lengthMillis: Long,
    ) {
        val startMillis = clockMillis()
        val beginning = mutableListOf<Pair<Long, () -> Unit>>(0L to { isCut = true })
        val ending = mutableListOf(random.nextLong(linkSpreadMillis) to { isCut = false })
        for (gate in border.gatesAround(domain)) {
            beginning += random.nextLong(minOf(CUT_SPREAD_MILLIS, lengthMillis)) to gate::cut
            ending += random.nextLong(linkSpreadMillis) to gate::restore
        }
        if (lengthMillis >= ENTRY_LIFE_MILLIS + ENTRY_SPREAD_MILLIS) loseEntries(domain, beginning, ending)
        take(beginning, startMillis)
        take(ending, startMillis + lengthMillis)
    }

    private fun pause(
        domain: String,
        lengthMillis: Long,
    ) {
        val process = instanceOf(domain).process
        process.signal("STOP")
        Thread.sleep(lengthMillis)
        process.signal("CONT")
    }

    private fun restart(
        domain: String,
        afterMillis: Long,
    ) {
        val instance = instanceOf(domain)
        instance.process.close()
        Thread.sleep(afterMillis)
        instance.restart()
    }

    private fun instanceOf(domain: String) = instances.filter { it.domain == domain }.random(random)

    /** A job goes to the caller's own domain first, unless what is sent into a cut arrives late. */
    override fun reaches(
        number: Int,
        attempt: Int,
        instance: Instance,
    ) = isLate || instance.domain == domainOf(number) || (attempt > 0 && !isCut)

    override fun addressOf(
        instance: Instance,
        number: Int,
    ): String =
        if (isLate && instance.domain != domainOf(number)) {
            border.outside(instance.addresses.callers)
        } else {
            instance.addresses.callers
        }

    private fun domainOf(number: Int) = DOMAINS[number % DOMAINS.size]

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
        const val LINK_SPREAD_MILLIS = 400
        const val MAX_BETWEEN_MILLIS = 1_000
    }
}
