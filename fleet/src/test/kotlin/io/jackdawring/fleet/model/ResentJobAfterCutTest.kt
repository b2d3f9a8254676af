package io.jackdawring.fleet.model

import io.jackdawring.core.shard.JobId
import io.jackdawring.fleet.FleetKeys
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.util.SplittableRandom

/**
 * Guards against runs of an earlier holder that still go on when their caller, who has given them up, sends its job again.
 *
 * A failure domain is cut off, adopted and handed back while callers give up jobs that take longer than they wait. A task
 * that runs twice at a time fails the test, and so does any run that goes on when the caller sends its job again, 1.3 s
 * after its try ended: whatever that try has started has to be over by then.
 */
class ResentJobAfterCutTest {
    private class Cut(
        val domain: String,
        val atMillis: Long,
        val millis: Long,
        /** Whether the domain is cut off from the store only, and not from everything. */
        val isStoreOnly: Boolean = false,
    ) {
        val endMillis = atMillis + millis
    }

    /** What goes wrong beside the cuts, in or for the domain that is cut off. */
    private enum class Fault(
        val text: String,
        /** The adopter holds the shard of the domain when the links begin to return. */
        val inject: FakeFleet.(domain: String, adopter: String) -> Unit,
    ) {
        ADOPTER_KILLED("the adopter is killed", { _, adopter -> kill(adopter, restartAfterMillis = 500) }),
        ADOPTER_FROZEN("the adopter is frozen", { _, adopter -> freeze(adopter, millis = 700) }),
        HOLDER_KILLED("an instance that was cut off is killed", { domain, _ -> kill("${domain}1", 500) }),
        HOLDER_FROZEN("an instance that was cut off is frozen", { domain, _ -> freeze("${domain}1", millis = 700) }),
        ANSWERS_LOST("answers of a target are lost", { domain, _ -> loseAnswers("$domain-t1", millis = 150) }),
        TARGET_SILENT("a target is silent", { domain, _ -> silence("$domain-t1", millis = 150) }),
    }

    private class PlannedFault(
        val fault: Fault,
        val cut: Cut,
        val afterEndMillis: Long,
    )

    /** A job of a play, and the time until the next one is submitted. */
    private class NextJob(
        val domain: String,
        val tasks: Int,
        val durationMillis: Long,
        val pauseMillis: Long,
    )

    private class Play(
        private val instances: Int,
        private val cuts: List<Cut>,
        private val faults: List<PlannedFault>,
        private val random: SplittableRandom,
        private val nextJob: (number: Int) -> NextJob,
    ) {
        private val fleet = FakeFleet(DOMAINS, instances, TARGETS, random.split())
        private val beginMillis = fleet.clock.nowMillis
        private var jobs = 0

        fun run() {
            cuts.forEach { cut -> at(cut.atMillis) { cutOff(cut) } }
            for (planned in faults) {
                at(planned.cut.endMillis + minOf(0, planned.afterEndMillis)) {
                    val domain = planned.cut.domain
                    val adopter = holderOf(domain)
                    fleet.clock.schedule(maxOf(0, planned.afterEndMillis)) {
                        planned.fault.inject(fleet, domain, adopter)
                    }
                }
            }
            while (nowMillis < cuts.maxOf { it.endMillis } + SUBMIT_AFTER_MILLIS) submitOrIdle()
            fleet.run(SETTLE_MILLIS)
            fleet.checkRefusals()
        }

        private val nowMillis: Long get() = fleet.clock.nowMillis - beginMillis

        private fun at(
            millis: Long,
            action: () -> Unit,
        ) = fleet.clock.schedule(millis - nowMillis, action)

        /** Submits the next job, or runs on until the end of a cut is near. */
        private fun submitOrIdle() {
            val now = nowMillis
            val endMillis = cuts.map { it.endMillis }.filter { now < it + SUBMIT_AFTER_MILLIS }.min()
            val next = endMillis - SUBMIT_BEFORE_MILLIS
            if (now < next) {
                fleet.run(next - now)
            } else {
                val job = nextJob(jobs)
                submit(job)
                fleet.run(job.pauseMillis)
            }
        }

        /** Cuts the domain off from everything; its links return one after the other. */
        private fun cutOff(cut: Cut) {
            val domain = cut.domain
            fleet.trace.add("$domain is cut off for ${cut.millis} ms")
            val instances = fleet.instances.map { it.id }
            val others =
                (fleet.domainNames - domain).flatMap {
                    instances.filter { id -> id.startsWith(it) } + fleet.targetsOf(it) + FakeLinks.callers(it)
                }
            val inside = instances.filter { it.startsWith(domain) }
            val partitioned = inside + fleet.targetsOf(domain) + FakeLinks.callers(domain)
            for (node in if (cut.isStoreOnly) emptyList() else partitioned) {
                others.forEach { fleet.links.cut(node, it, cut.millis + random.nextLong(RECONNECT_MILLIS)) }
            }
            inside.forEach { fleet.links.cut(it, FakeLinks.STORE, cut.millis + random.nextLong(RECONNECT_MILLIS)) }
            for (target in fleet.targetsOf(domain)) {
                val unlistedMillis = random.nextLong(4_500, 6_000)
                if (unlistedMillis >= cut.millis) continue
                fleet.clock.schedule(unlistedMillis) { fleet.unlist(target) }
                at(cut.endMillis + random.nextLong(RELIST_MILLIS)) { relist(target, domain) }
            }
        }

        /** Lists [target] again; a further cut delays that. */
        private fun relist(
            target: String,
            domain: String,
        ) {
            val current = cuts.firstOrNull { it.domain == domain && nowMillis in it.atMillis until it.endMillis }
            if (current == null) {
                fleet.list(target)
            } else {
                at(current.endMillis + random.nextLong(RELIST_MILLIS)) { relist(target, domain) }
            }
        }

        /** The instance that the store names as holder of the shard of [domain]. */
        private fun holderOf(domain: String): String {
            val claim =
                fleet.store.items
                    .getValue("${FleetKeys.SHARDS}$domain/0")
                    .value
                    .decodeToString()
            return fleet.instances.map { it.id }.first { "\"$it\"" in claim }
        }

        private fun submit(next: NextJob) {
            val number = jobs++
            val job = FakeFleet.job("j$number", next.tasks, next.durationMillis, cpuMillis = CPU_MILLIS)
            fleet.submit(job, next.domain, next.durationMillis) { submission ->
                // Called when the caller sends the job, and thus 1.3 s after the try before has ended.
                if (submission > 1) checkOver(job.id, submission)
                if (submission == 1) {
                    fleet.instance("${next.domain}${1 + number % instances}").takeIf { it.process.alive }
                } else {
                    resendTo(next.domain, number + submission)
                }
            }
        }

        /** Fails if something that an earlier try has started goes on. */
        private fun checkOver(
            job: JobId,
            submission: Int,
        ) {
            val left = fleet.runs.targetsOf(job)
            if (left.isEmpty()) return
            throw AssertionError(
                "${job.value} runs on $left when its caller begins try $submission\n${fleet.trace.describe(job)}",
            )
        }

        /** Another try goes to another failure domain, if the caller reaches one. */
        private fun resendTo(
            domain: String,
            number: Int,
        ): FakeEntryInstance? {
            val reached =
                fleet.instances.filter { it.process.alive && !fleet.links.isCut(FakeLinks.callers(domain), it.id) }
            val candidates = reached.filter { it.domain != domain }.ifEmpty { reached }
            return if (candidates.isEmpty()) null else candidates[number % candidates.size]
        }
    }

    private class Row(
        val name: String,
        val instances: Int,
        val firstMillis: Long,
        val isStoreOnly: Boolean = false,
        /** Time from the end of the first cut to the second one, and the length of that; null without. */
        val second: Pair<Long, Long>? = null,
        val fault: Fault? = null,
        val faultAfterMillis: Long = 0,
    ) {
        fun play(seed: Long) {
            val first = Cut("a", 0, firstMillis, isStoreOnly)
            val cuts = listOfNotNull(first, second?.let { (after, millis) -> Cut("a", firstMillis + after, millis) })
            val faults = listOfNotNull(fault?.let { PlannedFault(it, first, faultAfterMillis) })
            Play(instances, cuts, faults, SplittableRandom(seed), ::longJob).run()
        }

        /** A job that takes longer than its caller waits. */
        private fun longJob(number: Int) =
            NextJob("a", tasks = 2, durationMillis = 1_500L + number * 370L % 1_500, pauseMillis = STEP_MILLIS)
    }

    private fun tests(rows: List<Row>) =
        rows.flatMap { row ->
            (FIRST_SEED until FIRST_SEED + ROW_SEEDS).map { seed ->
                DynamicTest.dynamicTest("${row.name}, seed $seed") { row.play(seed) }
            }
        }

    /** Guards against waits for unclaimed runs that are counted from a hand-over, for cuts around each time constant. */
    @TestFactory
    fun `runs of given up jobs end in time after a cut`() =
        tests(
            INSTANCES.flatMap { instances ->
                CUTS_MILLIS.map { Row("$instances instances a domain, cut off for $it ms", instances, it) } +
                    STORE_CUTS_MILLIS.map {
                        val name = "$instances instances a domain, cut off from the store for $it ms"
                        Row(name, instances, it, isStoreOnly = true)
                    }
            },
        )

    /** Guards against a wait that begins anew with each holder, if the domain is cut off again during its return. */
    @TestFactory
    fun `runs of given up jobs end in time after two cuts in a row`() =
        tests(
            INSTANCES.flatMap { instances ->
                SECOND_AFTER_MILLIS.flatMap { after ->
                    SECOND_MILLIS.map { millis ->
                        val name = "$instances instances a domain, cut off again after $after ms for $millis ms"
                        Row(name, instances, firstMillis = 14_500, second = after to millis)
                    }
                }
            },
        )

    /** Guards against a hand-back that counts on its holders to live, and on each answer of a target. */
    @TestFactory
    fun `runs of given up jobs end in time although something fails during the hand-back`() =
        tests(
            INSTANCES.flatMap { instances ->
                Fault.entries.flatMap { fault ->
                    FAULT_AFTER_MILLIS.map { after ->
                        val name = "$instances instances a domain, ${fault.text} $after ms from the end of the cut"
                        Row(name, instances, firstMillis = 14_500, fault = fault, faultAfterMillis = after)
                    }
                }
            },
        )

    /** Guards against a holder that is about to hand the shard over and conceals targets that it was told of meanwhile. */
    @TestFactory
    fun `runs of a cut off holder are known although its adopter freezes during the hand-back`() =
        listOf(100L, 400L).map { after ->
            DynamicTest.dynamicTest("the adopter is frozen $after ms after the end of the cut") {
                Row(
                    "",
                    2,
                    firstMillis = 14_500,
                    fault = Fault.ADOPTER_FROZEN,
                    faultAfterMillis = after,
                ).play(seed = 5_003)
            }
        }

    /** Guards against a hand-over that leaves out a job whose last request was withdrawn a moment before. */
    @Test
    fun `runs of a job without a request end in time although its holder freezes and is replaced`() =
        randomPlay(SplittableRandom(2_389)).run()

    /** Guards against the same under random cuts, jobs and faults. */
    @TestFactory
    fun `runs of given up jobs end in time after random cuts`() =
        (FIRST_SEED until FIRST_SEED + SEEDS).map { seed ->
            DynamicTest.dynamicTest("seed $seed") { randomPlay(SplittableRandom(seed)).run() }
        }

    private fun randomPlay(random: SplittableRandom): Play {
        val first = Cut("a", 0, random.nextLong(9_000, 70_000))
        val isAgain = random.nextBoolean()
        val second =
            Cut(
                domain = if (isAgain) "a" else "b",
                atMillis = first.endMillis + random.nextLong(if (isAgain) 100 else -3_000, 4_000),
                millis = random.nextLong(9_000, 70_000),
                isStoreOnly = random.nextInt(6) == 0,
            )
        val cuts = listOf(first, second)
        val faults =
            cuts
                .filter { random.nextBoolean() }
                .map { PlannedFault(Fault.entries[random.nextInt(Fault.entries.size)], it, random.nextLong(1_500)) }
        return Play(random.nextInt(1, 4), cuts, faults, random.split()) {
            NextJob(
                domain = listOf("a", "a", "b", "c")[random.nextInt(4)],
                tasks = random.nextInt(1, 4),
                durationMillis = random.nextLong(100, 3_000),
                pauseMillis = random.nextLong(20, 100),
            )
        }
    }

    private companion object {
        /** More seeds are run by hand, with `-Dmodel.firstSeed=1 -Dmodel.seeds=100`. */
        val FIRST_SEED: Long = java.lang.Long.getLong("model.firstSeed", 1)
        val SEEDS: Long = java.lang.Long.getLong("model.seeds", 20)
        val ROW_SEEDS: Long = java.lang.Long.getLong("model.seeds", 1)
        val INSTANCES = listOf(1, 2, 3)

        /**
         * On both sides of the suspicion at 0.45 s, the callers' return at 1.15 and 1.3 s, the expiry of members at 10 s,
         * the claim at 13 s, the expiry of the ownership at 15 s, and that and two leases after the claim at 28 to 30 s.
         */
        val CUTS_MILLIS =
            listOf(400L, 500, 1_100, 1_200, 1_250, 1_350, 9_500, 10_500, 12_500, 13_500, 14_500, 15_500, 20_000) +
                listOf(27_500L, 28_500, 29_500, 30_500, 35_000, 50_000, 70_000)
        val STORE_CUTS_MILLIS = listOf(9_500L, 12_500, 13_500, 14_500, 30_500)
        val SECOND_AFTER_MILLIS = listOf(200L, 500, 700, 900, 1_300)
        val SECOND_MILLIS = listOf(300L, 700, 1_200, 2_000, 14_000)
        val FAULT_AFTER_MILLIS = listOf(-700L, -500, -300, -100, 100, 400, 600, 700, 900)
        const val DOMAINS = 4
        const val TARGETS = 4
        const val CPU_MILLIS = 700
        const val STEP_MILLIS = 70L
        const val RECONNECT_MILLIS = 400L
        const val RELIST_MILLIS = 2_000L
        const val SUBMIT_BEFORE_MILLIS = 3_200L
        const val SUBMIT_AFTER_MILLIS = 1_500L
        const val SETTLE_MILLIS = 6_000L
    }
}
