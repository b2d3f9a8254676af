package io.jackdawring.fleet.model

import org.junit.jupiter.api.Test
import java.util.SplittableRandom
import kotlin.test.assertEquals

/**
 * Guards against a holder of a shard that starts tasks again which its cut off predecessor still runs.
 *
 * One failure domain is cut off, and its shard is claimed and handed back. The lengths lie on both sides of each time
 * constant that decides about runs: expiry of the members at 10 s, claim at 13 s, the longest lease after that, expiry
 * of the ownership at 15 s, and the ownership and two leases after the claim at 28 to 30 s. A task that runs twice at a
 * time fails the test.
 */
class CutOffDomainTest {
    private class Row(
        val name: String,
        val instances: Int,
        /** Whether the domain is cut off from everything, or from the store only. */
        val isPartition: Boolean,
        /** Whether a holder of the domain is killed when the cut ends. */
        val killsHolder: Boolean = false,
    )

    private fun rows(isPartition: Boolean) =
        listOf(
            Row("one instance a domain", 1, isPartition),
            Row("three instances a domain", 3, isPartition),
            Row("the next holder is killed", 3, isPartition, killsHolder = true),
        )

    private class Play(
        private val row: Row,
        private val cutMillis: Long,
        private val random: SplittableRandom,
    ) {
        private val fleet = FakeFleet(DOMAINS, row.instances, targetsPerDomain = 4, random.split())
        private var jobs = 0

        fun run() {
            cutOff("a")
            fleet.run(maxOf(0, cutMillis - SUBMIT_BEFORE_MILLIS))
            val endMillis = fleet.clock.nowMillis + minOf(cutMillis, SUBMIT_BEFORE_MILLIS)
            if (row.killsHolder) fleet.clock.schedule(cutMillis + random.nextLong(KILL_MILLIS)) { killHolder("a") }
            while (fleet.clock.nowMillis < endMillis + SUBMIT_AFTER_MILLIS) {
                submitJob(if (random.nextInt(3) > 0) "a" else fleet.domainNames.pick())
                fleet.run(random.nextLong(20, 100))
            }
            fleet.run(SETTLE_MILLIS)
            fleet.checkRefusals()
        }

        private fun cutOff(domain: String) {
            val (inside, outside) = fleet.instances.map { it.id }.partition { it.startsWith(domain) }
            if (row.isPartition) {
                val otherDomains = fleet.domainNames - domain
                val others = outside + otherDomains.flatMap(fleet::targetsOf) + otherDomains.map(FakeLinks::callers)
                for (node in inside + fleet.targetsOf(domain) + FakeLinks.callers(domain)) {
                    others.forEach { fleet.links.cut(node, it, cutMillis + random.nextLong(RECONNECT_MILLIS)) }
                }
            }
            inside.forEach { fleet.links.cut(it, FakeLinks.STORE, cutMillis + random.nextLong(RECONNECT_MILLIS)) }
            for (target in fleet.targetsOf(domain)) {
                fleet.clock.schedule(random.nextLong(4_500, 6_000)) { fleet.unlist(target) }
                fleet.clock.schedule(cutMillis + random.nextLong(RELIST_MILLIS)) { fleet.list(target) }
            }
        }

        private fun killHolder(domain: String) {
            fleet.holder(domain)?.let { fleet.kill(it.id, restartAfterMillis = 500) }
        }

        private fun submitJob(domain: String) {
            val durationMillis = random.nextLong(100, 1_600)
            val job = FakeFleet.job("j${jobs++}", random.nextInt(1, 4), durationMillis)
            fleet.submit(job, domain, durationMillis) { submission ->
                fleet.instances
                    .filter { mayGet(it, domain, submission) }
                    .takeIf { it.isNotEmpty() }
                    ?.pick()
            }
        }

        /** Callers send a job to their own failure domain first, and again to any instance that they reach. */
        private fun mayGet(
            instance: FakeEntryInstance,
            domain: String,
            submission: Int,
        ): Boolean {
            val isReached = !fleet.links.isCut(FakeLinks.callers(domain), instance.id)
            return instance.process.alive && if (submission == 1) instance.domain == domain else isReached
        }

        private fun <T> List<T>.pick(): T = this[random.nextInt(size)]
    }

    /** The first failure for each length of the cut. */
    private fun failures(row: Row): List<String> =
        CUTS_MILLIS.mapNotNull { cutMillis ->
            (FIRST_SEED until FIRST_SEED + SEEDS).firstNotNullOfOrNull { seed ->
                runCatching { Play(row, cutMillis, SplittableRandom(seed)).run() }
                    .exceptionOrNull()
                    ?.let { "${row.name}, cut off for $cutMillis ms, seed $seed: ${it.message}" }
            }
        }

    @Test
    fun `a task does not start again while its holder is cut off from everything outside its domain`() =
        assertEquals(emptyList(), rows(isPartition = true).flatMap(::failures))

    @Test
    fun `a task does not start again while its holder is cut off from the store`() =
        assertEquals(emptyList(), rows(isPartition = false).flatMap(::failures))

    private companion object {
        /** More seeds are run by hand, with `-Dmodel.firstSeed=1 -Dmodel.seeds=100`. */
        val FIRST_SEED: Long = java.lang.Long.getLong("model.firstSeed", 1)
        val SEEDS: Long = java.lang.Long.getLong("model.seeds", 4)
        val CUTS_MILLIS =
            listOf(9_500L, 10_500, 12_500, 13_500, 14_500, 16_000, 20_000, 27_000, 28_500, 30_000, 31_000, 33_000)
        const val DOMAINS = 3
        const val RECONNECT_MILLIS = 400L
        const val RELIST_MILLIS = 2_000L
        const val KILL_MILLIS = 1_500L
        const val SUBMIT_BEFORE_MILLIS = 3_000L
        const val SUBMIT_AFTER_MILLIS = 4_000L
        const val SETTLE_MILLIS = 6_000L
    }
}
