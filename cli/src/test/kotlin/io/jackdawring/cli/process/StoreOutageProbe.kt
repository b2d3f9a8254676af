package io.jackdawring.cli.process

import io.jackdawring.standins.platform.StandInPlatformStore
import org.junit.jupiter.api.Test

/**
 * Looks for tasks with two runs at the same time after the store has turned away the instances of a failure domain.
 *
 * Started by hand, as its name keeps it out of the build's tests:
 * `mvn -o -q -B test -pl cli -am -Dtest=StoreOutageProbe -Dsurefire.failIfNoSpecifiedTests=false`
 *
 * Properties start with `jackdawring.probe.`: `seeds` (number of them, 1), `firstSeed` (1), `parallel` (seeds at a
 * time, 1), `lengths` (of the outages in seconds, separated by commas; `e3.1` ends one 3.1 s after the domain's last member
 * entry has expired, and instances of other domains claim its shard 3 s after that), `restoreMillis` (2000; the entries of targets
 * are back within this time), `addresses` (true: a target's entry names another address for a while after an outage),
 * `dir` (of the report and the logs, `target/process-tests/probe`).
 */
class StoreOutageProbe {
    @Test
    fun `no task has two runs at the same time`() = playSeeds(::StoreOutageRun)
}

/** Outages of the store, each for one domain. */
private class StoreOutageRun(
    seed: Int,
) : ProbeRun(seed, TARGETS, CALLERS, LENGTHS) {
    private val doors = HashMap<String, StandInPlatformStore.Door>()
    override val instances =
        DOMAINS.flatMap { domain ->
            List(random.nextInt(2, 4)) {
                val name = "front-$domain-$it"
                val door = site.store.Door(freeAddress()).also { door -> doors[name] = door }
                start(name, domain, door.address)
            }
        }

    override fun outage(length: String): Outage {
        val domain = DOMAINS.random(random)
        val kind = listOf("refuse", "busy").random(random)
        val cutOff = instances.filter { it.domain == domain }
        val startMillis = clockMillis()
        val beginning = ArrayList<Pair<Long, () -> Unit>>()
        val ending = ArrayList<Pair<Long, () -> Unit>>()
        for (instance in cutOff) {
            val door = doors.getValue(instance.name)
            val turnAway = { if (kind == "refuse") door.refuse() else door.reopen(BUSY) }
            beginning += random.nextLong(CUT_SPREAD_MILLIS) to turnAway
            ending += random.nextLong(RETURN_SPREAD_MILLIS) to { door.reopen() }
        }
        loseEntries(domain, beginning, ending)
        if (probeSetting("addresses", "false").toBoolean()) ending += outdatedEntry(domain)
        take(beginning, startMillis)
        val endMillis =
            if (length.startsWith("e")) {
                awaitTrue("no member entries of $domain") {
                    cutOff.all { site.store.read("jackdawring/members/${it.name}") == null }
                }
                clockMillis() + (length.drop(1).toDouble() * 1_000).toLong()
            } else {
                startMillis + (length.toDouble() * 1_000).toLong()
            }
        take(ending, endMillis)
        Thread.sleep(SETTLE_MILLIS)
        return Outage(domain, kind, endMillis - startMillis, startMillis)
    }

    /** Steps after which the entry of one target names the address of another one for a while. */
    private fun outdatedEntry(domain: String): List<Pair<Long, () -> Unit>> {
        val (target, other) = targets.getValue(domain).shuffled(random)
        val from = probeNumber("restoreMillis", RESTORE_MILLIS) + random.nextLong(ENTRY_SPREAD_MILLIS)
        val until = from + random.nextLong(ENTRY_SPREAD_MILLIS)
        return listOf(from to { list(domain, target, other.address) }, until to { list(domain, target) })
    }

    private companion object {
        val BUSY = StandInPlatformStore.Mode.BUSY
        const val TARGETS = 6
        const val CALLERS = 20
        const val LENGTHS = "10.0,11.0,12.0,12.8,13.2,13.6"
    }
}
